package main

type demoCommand struct{}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error { return nil }
