// Command tarragonwalk serves online and batch inference on one fleet.
package main

import (
	"errors"
	"fmt"
	"os"
	"sort"

	"github.com/jessevdk/go-flags"

	"tarragonwalk/core/fault"
)

// Exit codes for scripts.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3 // stale version or conflict
	exitNotRun   = 4 // refused, no part of the request ran; a retry is safe
	exitFiring   = 5 // a burn alert is firing
)

type options struct {
	Serve      serveCommand      `command:"serve" description:"Run an entry instance"`
	Config     configCommand     `command:"config" description:"Read and change the numbered configuration"`
	Batch      batchCommand      `command:"batch" description:"Submit, watch and cancel batch jobs"`
	Address    addressCommand    `command:"addresses" description:"List the entry instances that callers may use"`
	Status     statusCommand     `command:"status" description:"Show the state of an entry instance"`
	Report     reportCommand     `command:"report" description:"Report on service levels"`
	Standin    standinCommand    `command:"standin" description:"Run a stand-in of an outside system"`
	Demo       demoCommand       `command:"demo" description:"Run the whole path on loopback and check every outcome"`
	Experiment experimentCommand `command:"experiment" description:"Measure latency and throughput targets on stand-in engines"`
	Entry      entryCommand      `command:"entry" description:"Run an entry instance on the users' platform, with the settings that TARRAGONWALK_SETTINGS names"`
	Storage    storageCommand    `command:"storage" description:"Run on a machine with a disk of the users' platform"`
	Capacity   capacityCommand   `command:"capacity" description:"Measure the slopes that the capacity page quotes"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	parser := flags.NewParser(&options{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tarragonwalk"
	parser.LongDescription = "Serves online and batch inference on one fleet.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 stale version or conflict, 4 refused and not run, " +
		"5 a burn alert is firing."
	_, err := parser.ParseArgs(arguments)
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		return reportUsage(usage)
	}
	reportFault(err)

	return exitCode(err)
}

func reportUsage(usage *flags.Error) int {
	if usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)

		return exitOK
	}
	fmt.Fprintln(os.Stderr, usage.Message)

	return exitUsage
}

func reportFault(err error) {
	fmt.Fprintln(os.Stderr, "error:", err)
	var f *fault.Error
	if !errors.As(err, &f) {
		return
	}
	paths := make([]string, 0, len(f.Fields))
	for path := range f.Fields {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	for _, path := range paths {
		fmt.Fprintf(os.Stderr, "  %s: %s\n", path, f.Fields[path])
	}
}

func exitCode(err error) int {
	switch code := fault.CodeOf(err); {
	case errors.Is(err, errFiring):
		return exitFiring
	case code == fault.CodeStaleVersion || code == fault.CodeConflict:
		return exitConflict
	case code == fault.CodeInvalid:
		return exitUsage
	case fault.NotRun(err):
		return exitNotRun
	default:
		return exitFailed
	}
}
