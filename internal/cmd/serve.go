package cmd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/entry"
	"github.com/shelfcrank/shelfcrank/internal/keys"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/settings"
)

func newServe(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank serve", e)
	file := fs.String("settings", "", "settings file (TOML)")
	level := fs.String("log-level", "info", "debug, info, warn or error")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "shelfcrank serve -settings FILE",
		ShortHelp:  "Run one instance until SIGTERM, which starts a planned stop.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, _ []string) error {
			// Before anything that takes time: until then, SIGHUP ends the process.
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			lvl, err := zapcore.ParseLevel(*level)
			if err != nil {
				return usageError{err}
			}
			if settings.IsFront(*file) {
				return serveFront(ctx, e.out, *file, lvl, reload)
			}
			set, err := loadSettings(*file)
			if err != nil {
				return err
			}
			return serve(ctx, set, newLogger(e.err, lvl))
		},
	}
}

func loadSettings(file string) (settings.Entry, error) {
	if file == "" {
		return settings.Entry{}, usagef("-settings FILE is missing")
	}
	set, err := settings.LoadEntry(file)
	if err != nil {
		return set, usageError{err}
	}
	return set, nil
}

// serve runs an entry instance until ctx is done. It fails if the planned stop
// left requests that no other instance took over.
func serve(ctx context.Context, set settings.Entry, log *zap.Logger) error {
	defer func() { _ = log.Sync() }()
	o := entry.Options{Settings: set, Net: netx.TCP{}, Clock: clock.New(clock.System{}), Log: log, Seed: rand.Uint64()}
	if !set.PlainText {
		loader, err := keys.NewLoader(keys.Files{Authority: set.TLS.Authority, Cert: set.TLS.Cert, Key: set.TLS.Key})
		if err != nil {
			return usageError{err}
		}
		o.CallerTLS, o.PeerTLS = loader.PublicConfig(), loader.PeerConfig()
	}
	inst, err := entry.New(o)
	if err != nil {
		return err
	}
	left, err := inst.Run(ctx)
	if err != nil {
		return err
	}
	if left > 0 {
		return fmt.Errorf("%d requests could not be handed over", left)
	}
	return nil
}
