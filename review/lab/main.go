package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// main runs the case named by the first argument; the second one is the path of its record.
func main() {
	cases := map[string]func(s *site, trouble bool) (int, error){
		"half-written": halfWritten,
		"repeated":     repeated,
		"forgotten":    forgotten,
		"alone":        alone,
		"over-limit":   overLimit,
		"unstamped":    unstamped,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(unable)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		s.close()
		os.Exit(unable)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("case %s, trouble %t", os.Args[1], trouble)
	code, err := cases[os.Args[1]](s, trouble)
	if err != nil {
		code = unable
		s.note("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
	}
	s.note("exit code %d", code)
	s.close()
	os.Exit(code)
}
