package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"tarragonwalk/io/logline"
	"tarragonwalk/platform/entry"
	"tarragonwalk/platform/settings"
	"tarragonwalk/platform/storage"
)

type entryCommand struct{}

type storageCommand struct{}

// Execute runs an entry instance on the users' platform until SIGTERM or SIGINT; SIGHUP reloads the settings.
func (*entryCommand) Execute([]string) error {
	s, log, flush, err := startPlatform()
	defer flush()
	if err != nil {
		return err
	}
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	e, err := entry.New(s, log)
	if err != nil {
		return err
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for range hangup {
			changed, err := settings.Load()
			if err != nil {
				log.Error("settings not reloaded", "error", err.Error())

				continue
			}
			e.Reload(changed)
		}
	}()

	return e.Run(ctx)
}

// Execute runs the storage role on a machine with a disk until SIGTERM or SIGINT. It has no settings to reload, so it
// ignores SIGHUP.
func (*storageCommand) Execute([]string) error {
	s, log, flush, err := startPlatform()
	defer flush()
	if err != nil {
		return err
	}
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	signal.Ignore(syscall.SIGHUP)

	return storage.New(s, log).Run(ctx)
}

func startPlatform() (*settings.Settings, *slog.Logger, func(), error) {
	w := logline.New(os.Stdout)
	log := slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{
		Level: slog.LevelDebug,
	}))
	s, err := settings.Load()

	return s, log, w.Flush, err
}
