// Command tarragonwalk serves online and batch inference on one fleet.
package main

func main() {}
