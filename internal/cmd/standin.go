package cmd

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/standin"
)

func newStandin(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank standin", e)
	file := fs.String("settings", "", "settings file (TOML)")
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "shelfcrank standin -settings FILE",
		ShortHelp:  "Run stand-ins for the platform and the endpoints on loopback.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, _ []string) error {
			if *file == "" {
				return usagef("-settings FILE is missing")
			}
			set, err := standin.Load(*file)
			if err != nil {
				return usageError{err}
			}
			w := standin.New(netx.TCP{}, nil, set)
			if err := w.Start(); err != nil {
				return err
			}
			<-ctx.Done()
			w.Stop()
			return nil
		},
	}
}
