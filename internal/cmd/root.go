// Package cmd implements the shelfcrank command line, with one file for each
// subcommand.
//
// Exit codes: 0 done, 1 failed, 2 wrong usage or input.
package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError marks an error that is due to wrong usage or invalid input. Main
// returns exitUsage for it.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }
func (e usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// env holds the output streams that all subcommands share.
type env struct {
	out io.Writer
	err io.Writer
}

// envPrefix is the prefix of the environment variables that set flags:
// SHELFCRANK_SETTINGS sets -settings.
const envPrefix = "SHELFCRANK"

// Main runs the command given by args and returns the exit code of the process.
// SIGTERM and SIGINT cancel the command's context.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := newRoot(&env{out, errOut}).ParseAndRun(ctx, args)
	var usage usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, "shelfcrank:", err)
		return exitUsage
	case errors.As(err, &ffcli.NoExecError{}):
		return exitUsage
	default:
		fmt.Fprintln(errOut, "shelfcrank:", err)
		return exitFailed
	}
}

func newRoot(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank", e)
	return &ffcli.Command{
		ShortUsage: "shelfcrank <command> [flags]",
		ShortHelp:  "A serving system on cheap, reclaimable instances.",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			newDemo(e), newServe(e), newStandin(e), newCheck(e), newTable(e), newStatus(e), newLoad(e), newAudit(e), newBench(e), newCompare(e), newSoak(e), newQuarantine(e), newKeys(e), newDocs(e),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("unknown command %q; see shelfcrank -h", args[0])
			}
			return flag.ErrHelp
		},
	}
}

func newFlags(name string, e *env) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(e.err)
	return fs
}

// fromEnv lets environment variables set flags that are not given.
func fromEnv() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(envPrefix)} }

// printJSON writes v as one line of JSON.
func (e *env) printJSON(v any) error { return json.NewEncoder(e.out).Encode(v) }

// newLogger returns a logger that writes JSON lines to w.
func newLogger(w io.Writer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(zapcore.AddSync(w)), level))
}
