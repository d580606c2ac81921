package cmd

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newBench(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank bench", e)
	return &ffcli.Command{
		Name: "bench", ShortUsage: "shelfcrank bench", ShortHelp: "Load and experiment tool.", FlagSet: fs,
		Exec: func(context.Context, []string) error { return errors.New("not built yet") },
	}
}
