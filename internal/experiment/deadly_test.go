package experiment

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/relay"
	"github.com/shelfcrank/shelfcrank/internal/traffic"
)

// deadlyPrompt ends engines; deadlyEnds of them may end under it, and as many runs may be under
// way when the last of these is seen.
const (
	deadlyPrompt = "a prompt that no engine bears"
	deadlyEnds   = 3
	deadlyAfter  = 3
)

// Engines of the own interface ended under one prompt, again and again, until its deadline; its
// caller came back with it, at any instance.
//
// Cause: a model request went on at another endpoint whenever one broke, without a bound but its
// deadline, and nothing knew of it when it came again. Evidence: each line "request resumed" or
// failure of the requests names an engine that had just ended.
func TestADeadlyModelRequestIsStopped(t *testing.T) {
	tally, truth, broken := directed(t, "bazaarline", relay.Switches{}, func(c *chaos, ctx context.Context) {
		sleepCtx(ctx, 2*time.Second)
		f := c.e.World.Faults()
		f.DeadlyPrompt = deadlyPrompt
		c.e.World.SetFaults(f)
		var all sync.WaitGroup
		for n := range 12 {
			all.Go(func() {
				c.client.Do(ctx, traffic.Call{Key: c.spec.Accounts[1].Key, Model: "sale-question", Prompt: deadlyPrompt, MaxTokens: 100, User: fmt.Sprint("u", n), Deadline: time.Now().Add(8 * time.Second)})
			})
			sleepCtx(ctx, time.Second)
		}
		all.Wait()
	})
	t.Logf("%d engines ended, sent %d times, %d after the third; %d of %d others answered", truth.EndedUnder, truth.DeadlySent, truth.DeadlySentAfter, tally.Answered, tally.Sent)
	if truth.EndedUnder < deadlyEnds {
		t.Error("the prompt was not deadly")
	}
	if truth.DeadlySentAfter > deadlyAfter {
		t.Errorf("it was sent %d times after the third engine had ended", truth.DeadlySentAfter)
	}
	for _, b := range broken {
		t.Error(b)
	}
}
