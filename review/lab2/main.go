//go:build review2

// Command lab2 plays the scripts of the second review against the entry program, with stand-ins on loopback.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(s *site, trouble bool) (result int, err error){
	"catch-all": catchAll,
	"few-back":  fewBack,
	"last-one":  lastOne,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab2 CASE RECORD")
		os.Exit(notRun)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(notRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		s.log("the script is ended: %s", <-stopped)
		s.close()
		os.Exit(notRun)
	}()
	result, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		s.log("the case could not run: %s", err)
		result = notRun
	}
	s.log("result %d", result)
	s.close()
	os.Exit(result)
}
