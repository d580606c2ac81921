package experiment

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/relay"
	"github.com/shelfcrank/shelfcrank/internal/standin"
	"github.com/shelfcrank/shelfcrank/internal/traffic"
)

// versionedStreams starts long streams at engines of two versions and calls injectFault. It returns how many callers
// got the whole answer of one version, and how many got something else.
func versionedStreams(c *chaos, ctx context.Context, injectFault func()) (whole, wrong int) {
	const tokens = 400
	var mu sync.Mutex
	var all sync.WaitGroup
	for n := range longStreamCount {
		prompt := fmt.Sprintf("a long story, number %d", n)
		all.Go(func() {
			o := c.client.Do(ctx, traffic.Call{Key: c.spec.Accounts[1].Key, Model: "sale-question", Prompt: prompt, MaxTokens: tokens, User: prompt, Deadline: time.Now().Add(40 * time.Second)})
			mu.Lock()
			defer mu.Unlock()
			if !o.Complete {
				return
			}
			if o.Body == standin.AnswerOf("v1", prompt, tokens) || o.Body == standin.AnswerOf("v2", prompt, tokens) {
				whole++
			} else {
				wrong++
			}
		})
	}
	sleepContext(ctx, time.Second)
	injectFault()
	all.Wait()
	return whole, wrong
}

func TestAnAnswerOfTheOwnInterfaceHoldsOneVersion(t *testing.T) {
	for name, fault := range map[string]func(c *chaos, ctx context.Context){
		"a hall is reclaimed":         func(c *chaos, _ context.Context) { c.reclaimHall(c.spec.Halls[0], 1200*time.Millisecond) },
		"an entry instance is killed": func(c *chaos, ctx context.Context) { c.killEntry(ctx, 0) },
		"both": func(c *chaos, ctx context.Context) {
			c.reclaimHall(c.spec.Halls[0], 1200*time.Millisecond)
			sleepContext(ctx, 300*time.Millisecond)
			c.killEntry(ctx, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			whole, wrong := 0, 0
			runVirtual(t, func(t *testing.T) {
				c := newVersionedChaos(t)
				c.run(5, func(ctx context.Context, _ time.Time) {
					whole, wrong = versionedStreams(c, ctx, func() { fault(c, ctx) })
				})
				c.embedded.Stop()
			})
			t.Logf("%d of %d answers whole, %d not of one version", whole, longStreamCount, wrong)
			is.Equal(wrong, 0)
			is.Equal(whole, longStreamCount)
		})
	}
}

// newVersionedChaos returns a deployment with two engines of each of two versions in each hall.
func newVersionedChaos(t *testing.T) *chaos {
	spec := chaosSpec(t, "bazaarline")
	halls := len(spec.Halls)
	spec.Models[0].Engines = 4 * halls
	spec.Models[0].Versions = slices.Concat(slices.Repeat([]string{"v1"}, halls), slices.Repeat([]string{"v2"}, halls))
	return newChaosOf(t, spec, 5, relay.Switches{})
}
