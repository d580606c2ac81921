package storetest

import (
	"context"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Limits are the capacity of the store for all callers together. A field that is zero sets no
// limit.
type Limits struct {
	ReadsPerSecond  int           // reads, watches and lease renewals; more are refused
	WritesPerSecond int           // transactions and other lease calls; more are refused
	Latency         time.Duration // of each answer, without the time that it takes on the link
	PageItems       int           // most items of one answer to a listing, which takes a call for each page
	LinkBytes       int           // bytes a second of the link that all answers share, in the order of their calls
}

// Load is what the store was asked to do since it was created.
type Load struct {
	Reads, StaleReads, Writes, Renewals int           // calls; a listing counts once for each page
	Refused                             int           // calls beyond the limits
	Bytes                               int64         // of all answers, sent or given up by their callers
	LongestQueue                        time.Duration // longest time that an answer waited for the link
	BusiestReads, BusiestWrites         int           // calls in the busiest second; renewals count as reads
}

// callKind selects the limit that applies to a call.
type callKind int

const (
	readCall callKind = iota
	staleReadCall
	writeCall
	renewalCall
)

// capacity tracks the use of the limits. It is guarded by the store's mu.
type capacity struct {
	limits              Limits
	load                Load
	second              int64 // that reads and writes count, since 1970
	readsNow, writesNow int
	readTokens          float64
	writeTokens         float64
	refilledAt          time.Time
	linkFreeAt          time.Time
}

// SetLimits sets the limits from now on.
func (s *Store) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.limits = l
	s.capacity.readTokens, s.capacity.writeTokens = float64(l.ReadsPerSecond), float64(l.WritesPerSecond)
	s.capacity.refilledAt = time.Now()
}

// Load returns the load so far.
func (s *Store) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity.load
}

// admit counts a call and reports whether the limits allow it. The allowance of a second
// accumulates for a second at most.
func (c *capacity) admit(kind callKind, now time.Time) bool {
	if second := now.Unix(); second != c.second {
		c.second, c.readsNow, c.writesNow = second, 0, 0
	}
	passed := now.Sub(c.refilledAt).Seconds()
	c.refilledAt = now
	refill := func(tokens *float64, perSecond int) {
		*tokens = min(*tokens+passed*float64(perSecond), float64(perSecond))
	}
	refill(&c.readTokens, c.limits.ReadsPerSecond)
	refill(&c.writeTokens, c.limits.WritesPerSecond)
	tokens, limit := &c.readTokens, c.limits.ReadsPerSecond
	switch kind {
	case staleReadCall:
		c.load.StaleReads++
		return true
	case writeCall:
		c.load.Writes++
		c.writesNow++
		tokens, limit = &c.writeTokens, c.limits.WritesPerSecond
	case renewalCall:
		c.load.Renewals++
		c.readsNow++
	default:
		c.load.Reads++
		c.readsNow++
	}
	c.load.BusiestReads, c.load.BusiestWrites = max(c.load.BusiestReads, c.readsNow), max(c.load.BusiestWrites, c.writesNow)
	if limit > 0 && *tokens < 1 {
		c.load.Refused++
		return false
	}
	*tokens--
	return true
}

// send queues an answer of some bytes on the link, and returns when it has arrived.
func (c *capacity) send(bytes int, now time.Time) time.Time {
	c.load.Bytes += int64(bytes)
	if c.limits.LinkBytes > 0 {
		begins := now
		if c.linkFreeAt.After(begins) {
			begins = c.linkFreeAt
		}
		c.load.LongestQueue = max(c.load.LongestQueue, begins.Sub(now))
		c.linkFreeAt = begins.Add(time.Duration(float64(bytes) / float64(c.limits.LinkBytes) * float64(time.Second)))
		now = c.linkFreeAt
	}
	return now.Add(c.limits.Latency)
}

// answer waits until an answer of some bytes has arrived. An answer that its caller gives up
// still occupies the link.
func (s *Store) answer(ctx context.Context, bytes int) error {
	s.mu.Lock()
	now := time.Now()
	arrives := s.capacity.send(bytes, now)
	s.mu.Unlock()
	if !arrives.After(now) {
		return nil
	}
	t := time.NewTimer(arrives.Sub(now))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Sizes of answers, in bytes: headers, and the fields of an item without its key and value.
const (
	answerBytes = 200
	itemBytes   = 80
)

// bytesOf returns the size of an answer with items, whose values are sent as base64 text.
func bytesOf(items []store.Item) int {
	bytes := answerBytes
	for _, i := range items {
		bytes += itemBytes + len(i.Key) + (len(i.Value)+2)/3*4
	}
	return bytes
}

// answerPages waits for the pages of a listing whose first page is admitted already, one after
// the other.
func (s *Store) answerPages(ctx context.Context, kind callKind, items []store.Item) error {
	for first := true; ; first = false {
		s.mu.Lock()
		page := items
		if n := s.capacity.limits.PageItems; n > 0 {
			page = items[:min(n, len(items))]
		}
		admitted := first || s.capacity.admit(kind, time.Now())
		s.mu.Unlock()
		if !admitted {
			return store.ErrRefused
		}
		if err := s.answer(ctx, bytesOf(page)); err != nil {
			return err
		}
		if items = items[len(page):]; len(items) == 0 {
			return nil
		}
	}
}
