//go:build review3

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	cases := map[string]func(*site) (int, error){
		"weights": weightsCase,
		"path":    pathCase,
		"grey":    greyCase,
		"split":   splitCase,
		"silent":  silentCase,
	}
	play := cases[os.Args[1]]
	s, err := newSite()
	if play == nil || err != nil {
		fmt.Println("the case cannot run:", err)
		os.Exit(failed)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		s.close() // the processes that it started must not stay
		os.Exit(failed)
	}()
	code, err := play(s)
	if err != nil {
		s.note("the case could not run: %v", err)
		code = failed
	}
	s.note("exit %d", code)
	s.close()
	os.Exit(code)
}
