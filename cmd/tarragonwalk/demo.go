package main

import (
	"context"
	"os"
	"time"

	"tarragonwalk/core/demo"
)

// demoTimeout is the time limit of the whole demo.
const demoTimeout = 3 * time.Minute

type demoCommand struct {
	Log string `long:"log" default:"error" description:"Log level: debug, info, warn or error"`
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()

	return demo.New(os.Stdout, newLogger(c.Log)).Run(ctx)
}
