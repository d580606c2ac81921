// Package usage counts the requests that endpoints began to run, over all instances, by client
// account and by window of the wall clock.
//
// The package does no I/O and reads no clock. A Counter must be used by one goroutine at a time.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Counts holds numbers of requests by client account.
type Counts map[string]int64

// RetainedWindows is the number of windows before the current one that Expire keeps.
const RetainedWindows = 8

// WindowOf returns the number of the window that contains a time, counted from the Unix epoch.
func WindowOf(at time.Time, window time.Duration) int64 {
	n := at.UnixNano()
	w := int64(window)
	if n < 0 {
		n -= w - 1
	}
	return n / w
}

// WindowEnd returns the end of a window.
func WindowEnd(number int64, window time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(window))
}

// source is one incarnation of another instance.
type source struct {
	instance    string
	incarnation int64
}

// Counter holds the counts of this instance and those that others reported.
type Counter struct {
	own      map[int64]Counts            // by window
	received map[int64]map[source]Counts // by window
}

// New returns an empty counter.
func New() *Counter {
	return &Counter{own: make(map[int64]Counts), received: make(map[int64]map[source]Counts)}
}

// Add counts n requests of a client account in a window. n is -1 to take back a request that turned
// out not to have run.
func (c *Counter) Add(window int64, account string, n int64) {
	w := c.own[window]
	if w == nil {
		w = make(Counts)
		c.own[window] = w
	}
	w[account] += n
}

// Own returns a copy of this instance's counts, by window.
func (c *Counter) Own() map[int64]Counts {
	out := make(map[int64]Counts, len(c.own))
	for w, counts := range c.own {
		out[w] = maps.Clone(counts)
	}
	return out
}

// Apply replaces the counts of one incarnation of another instance in the windows given. The counts
// of its earlier incarnations stay.
func (c *Counter) Apply(instance string, incarnation int64, counts map[int64]Counts) {
	for w, reported := range counts {
		all := c.received[w]
		if all == nil {
			all = make(map[source]Counts)
			c.received[w] = all
		}
		all[source{instance, incarnation}] = reported
	}
}

// Sum returns the counts of a window over all instances. It contains each of the given client
// accounts, with 0 if nothing was counted.
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

// Record holds the counts of one incarnation of an instance in a window.
type Record struct {
	Instance    string `json:"node"`
	Incarnation int64  `json:"incarnation"`
	Window      int64  `json:"window"`
	Counts      Counts `json:"counts"`
}

// Records returns all counts of the window from and later ones, ordered by window, instance and
// incarnation. instance and incarnation are this instance's own.
func (c *Counter) Records(instance string, incarnation, from int64) []Record {
	var out []Record
	for w, counts := range c.own {
		if w >= from {
			out = append(out, Record{instance, incarnation, w, maps.Clone(counts)})
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

// Restore merges records that were saved in case all instances fail at once. Where the same
// incarnation has reported a count itself since, the larger one is kept. Records of this
// incarnation, given by instance and incarnation, are ignored.
func (c *Counter) Restore(records []Record, instance string, incarnation int64) {
	for _, r := range records {
		if r.Instance == instance && r.Incarnation == incarnation {
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

// Expire removes windows that are more than RetainedWindows before the current one.
func (c *Counter) Expire(current int64) {
	maps.DeleteFunc(c.own, func(w int64, _ Counts) bool { return w < current-RetainedWindows })
	maps.DeleteFunc(c.received, func(w int64, _ map[source]Counts) bool { return w < current-RetainedWindows })
}
