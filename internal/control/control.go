// Package control owns the control state of an entry instance.
//
// One goroutine takes typed events, changes the state, and publishes an
// immutable Snapshot through an atomic pointer. Traffic goroutines read a
// snapshot and send events; they never touch the state. Effects are handed to
// a subscriber in order, on a goroutine of their own, so that a slow
// subscriber does not hold up control.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/platform"
)

const (
	eventQueue = 1024
	tickEvery  = 200 * time.Millisecond
	wedgedFor  = 2 * time.Second
)

// Loop is the control goroutine and its mailbox.
type Loop struct {
	events        chan Event
	snap          atomic.Pointer[Snapshot]
	state         *State // owned by control
	clock         *clock.Clock
	recentLeaving atomic.Pointer[[]platform.Notice]
	aliveAt       atomic.Int64 // Unix nanoseconds of the last answered probe

	mu      sync.Mutex
	pending []Effect      // guarded by mu
	signal  chan struct{} // has room for one
}

// New returns a loop for an instance; Serve runs it. The clock may be nil.
func New(self member.Member, c *clock.Clock) *Loop {
	l := &Loop{clock: c, events: make(chan Event, eventQueue), state: NewState(self), signal: make(chan struct{}, 1)}
	l.publish()
	l.recentLeaving.Store(&[]platform.Notice{})
	l.aliveAt.Store(l.clock.Now().UnixNano())
	return l
}

// Snapshot returns the newest published state.
func (l *Loop) Snapshot() *Snapshot { return l.snap.Load() }

// RecentLeaving returns the endpoints that began to leave of late.
func (l *Loop) RecentLeaving() []platform.Notice { return *l.recentLeaving.Load() }

// Send hands an event to the control goroutine. It waits while the mailbox is
// full and gives up when ctx ends.
func (l *Loop) Send(ctx context.Context, e Event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// Members returns the members as the control goroutine sees them right now.
func (l *Loop) Members(ctx context.Context) []member.Member {
	reply := make(chan []member.Member, 1)
	l.Send(ctx, status{reply})
	select {
	case m := <-reply:
		return m
	case <-ctx.Done():
		return nil
	}
}

// Serve runs the control goroutine until ctx ends. It is a suture service.
func (l *Loop) Serve(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		var e Event = tick{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case e = <-l.events:
		}
		l.handle(e, l.clock.Now())
	}
}

func (l *Loop) handle(e Event, now time.Time) {
	switch e := e.(type) {
	case probe:
		close(e.done)
		return
	case status:
		e.reply <- l.state.members.Members()
		return
	}
	effects := l.state.Apply(e, now)
	l.publish()
	if _, ok := e.(tick); ok {
		news := l.state.recentLeaving(now)
		l.recentLeaving.Store(&news)
	}
	l.queue(effects)
}

func (l *Loop) publish() {
	if s, changed := l.state.Snapshot(); changed || l.snap.Load() == nil {
		l.snap.Store(&s)
	}
}

func (l *Loop) queue(effects []Effect) {
	if len(effects) == 0 {
		return
	}
	l.mu.Lock()
	l.pending = append(l.pending, effects...)
	l.mu.Unlock()
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// Effects hands each effect to act, in order, until ctx ends.
func (l *Loop) Effects(ctx context.Context, act func(Effect)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.signal:
		}
		l.mu.Lock()
		batch := l.pending
		l.pending = nil
		l.mu.Unlock()
		for _, e := range batch {
			act(e)
		}
	}
}

// Watchdog probes the control goroutine until ctx ends and calls wedged when
// it does not answer.
func (l *Loop) Watchdog(ctx context.Context, wedged func()) error {
	for {
		p := probe{make(chan struct{})}
		l.Send(ctx, p)
		select {
		case <-p.done:
			l.aliveAt.Store(l.clock.Now().UnixNano())
		case <-time.After(wedgedFor):
			wedged()
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-time.After(wedgedFor / 4):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Alive reports whether the control goroutine answered of late.
func (l *Loop) Alive(now time.Time) bool {
	return now.UnixNano()-l.aliveAt.Load() < int64(2*wedgedFor)
}
