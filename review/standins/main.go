// Command standins plays the cases of the review that are no days of the users' bench. It starts front
// instances as separate processes, and plays the platform, the endpoints and the clients around them, as
// far as a case needs them.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not be run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// longestRun ends a case that hangs.
const longestRun = 115 * time.Second

// play is one run of a case.
type play struct {
	*world
	record  *recorder
	trouble bool // whether the disruption of the case is played
}

// cases are the cases by name. Each reports whether its rule held.
var cases = map[string]func(ctx context.Context, p *play) (held bool, err error){
	"refusal": playRefusal,
	"memory":  playMemory,
	"crash":   playCrash,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/shelfcrank", "the built program")
	template := flag.String("template", "deploy/front.toml", "template of the settings")
	out := flag.String("record", "record.txt", "file for the record")
	endpoint := flag.String("endpoint", "", "ID of the endpoint that this process is; set by the case that starts it")
	flag.Parse()
	if *endpoint != "" {
		fmt.Fprintln(os.Stderr, serveUnframed(*endpoint))
		return exitNoRun
	}
	c, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNoRun
	}
	record, err := newRecorder(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer record.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longestRun)
	defer cancel()
	w, err := newWorld(*program, *template, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer w.close()
	p := &play{world: w, record: record, trouble: os.Getenv("TROUBLE") != "0"}
	record.line("case %s, trouble %t", *name, p.trouble)
	held, err := c(ctx, p)
	if err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		record.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNoRun
	case !held:
		return exitBroken
	}
	return exitHeld
}
