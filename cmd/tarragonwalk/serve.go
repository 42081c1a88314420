package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tarragonwalk/core/instance"
	"tarragonwalk/io/settings"
)

// stopTimeout is the time limit of a graceful shutdown; it leaves room for the deadline of an online route, 60 s by default.
const stopTimeout = 2 * time.Minute

type serveCommand struct {
	Settings string `long:"settings" short:"s" required:"yes" description:"TOML file with the instance's settings"`
	Check    bool   `long:"check" description:"Check the settings and exit"`
}

// Execute runs an entry instance until SIGTERM or SIGINT, then stops it gracefully.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		return nil
	}
	signals, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	i := instance.New(s, newLogger(string(s.Log.Level)), time.Now)
	if err := i.Start(); err != nil {
		return err
	}
	<-signals.Done()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()

	return i.Stop(ctx)
}

func newLogger(level string) *slog.Logger {
	l := slog.LevelInfo
	_ = l.UnmarshalText([]byte(level))

	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{
		Level: l,
	}))
}
