// Package usage counts, by client account and window of the wall clock, the requests
// that servers began to run, over all nodes.
//
// The package is pure; a Counter belongs to one goroutine at a time.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Counts holds a number of requests by client account.
type Counts map[string]int64

// KeepWindows is how many windows are remembered.
const KeepWindows = 8

// WindowOf returns the number of the window that a time is in.
func WindowOf(at time.Time, window time.Duration) int64 {
	n := at.UnixNano()
	w := int64(window)
	if n < 0 {
		n -= w - 1
	}
	return n / w
}

// End returns when a window ends.
func End(number int64, window time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(window))
}

type source struct {
	instance    string
	incarnation int64
}

// Counter holds the counts of this node and those that others reported.
type Counter struct {
	own      map[int64]Counts
	received map[int64]map[source]Counts
}

// New returns an empty counter.
func New() *Counter {
	return &Counter{own: make(map[int64]Counts), received: make(map[int64]map[source]Counts)}
}

// Add counts requests of a client account in a window; n is negative for one that
// turned out not to have run.
func (c *Counter) Add(window int64, account string, n int64) {
	w := c.own[window]
	if w == nil {
		w = make(Counts)
		c.own[window] = w
	}
	w[account] += n
}

// Own returns this node's counts by window.
func (c *Counter) Own() map[int64]Counts {
	out := make(map[int64]Counts, len(c.own))
	for w, counts := range c.own {
		out[w] = maps.Clone(counts)
	}
	return out
}

// Apply replaces what one incarnation of another node counted. What an earlier
// incarnation counted stays.
func (c *Counter) Apply(node string, incarnation int64, counts map[int64]Counts) {
	for w, of := range counts {
		all := c.received[w]
		if all == nil {
			all = make(map[source]Counts)
			c.received[w] = all
		}
		all[source{node, incarnation}] = of
	}
}

// Sum returns the counts of a window over all nodes. Each of the client accounts named
// stands in it, with 0 if nothing was counted.
func (c *Counter) Sum(window int64, accounts []string) Counts {
	out := make(Counts)
	for _, name := range accounts {
		out[name] = 0
	}
	for account, n := range c.own[window] {
		out[account] += n
	}
	for _, counts := range c.received[window] {
		for account, n := range counts {
			out[account] += n
		}
	}
	return out
}

// Record is what one incarnation of a node counted in a window.
type Record struct {
	Instance    string `json:"node"`
	Incarnation int64  `json:"incarnation"`
	Window      int64  `json:"window"`
	Counts      Counts `json:"counts"`
}

// Records returns all counts from a window on, in a fixed order. node and
// incarnation are this node's own.
func (c *Counter) Records(node string, incarnation, from int64) []Record {
	var out []Record
	for w, counts := range c.own {
		if w >= from {
			out = append(out, Record{node, incarnation, w, maps.Clone(counts)})
		}
	}
	for w, sources := range c.received {
		for s, counts := range sources {
			if w >= from {
				out = append(out, Record{s.instance, s.incarnation, w, counts})
			}
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// Recall takes records that were kept for when all nodes die at once. What was
// heard since from the same incarnation counts more where it is more; this
// incarnation knows better itself.
func (c *Counter) Recall(records []Record, node string, incarnation int64) {
	for _, r := range records {
		if r.Instance == node && r.Incarnation == incarnation {
			continue
		}
		all := c.received[r.Window]
		if all == nil {
			all = make(map[source]Counts)
			c.received[r.Window] = all
		}
		merged := maps.Clone(r.Counts)
		for account, n := range all[source{r.Instance, r.Incarnation}] {
			merged[account] = max(merged[account], n)
		}
		all[source{r.Instance, r.Incarnation}] = merged
	}
}

// Expire forgets the windows long before current.
func (c *Counter) Expire(current int64) {
	maps.DeleteFunc(c.own, func(w int64, _ Counts) bool { return w < current-KeepWindows })
	maps.DeleteFunc(c.received, func(w int64, _ map[source]Counts) bool { return w < current-KeepWindows })
}
