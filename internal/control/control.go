// Package control owns the control state of an entry instance.
//
// One goroutine processes typed events, updates the state, and publishes an
// immutable Snapshot through an atomic pointer. Goroutines that serve requests read
// snapshots and send events; they never access the state. Effects are delivered to a
// subscriber in order and on a separate goroutine, so that a slow subscriber does not
// block the control loop.
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
	eventQueueLen = 1024
	tickInterval  = 200 * time.Millisecond
	probeTimeout  = 2 * time.Second // time to answer a probe before the loop counts as stalled
)

// Loop is the control loop with its event queue.
type Loop struct {
	events          chan Event
	snap            atomic.Pointer[Snapshot]
	state           *State // accessed by the control goroutine only
	clock           *clock.Clock
	recentLeaving   atomic.Pointer[[]platform.Notice] // endpoints that started to leave recently
	probeAnsweredAt atomic.Int64                      // Unix nanoseconds of the last answered probe

	mu      sync.Mutex
	pending []Effect      // guarded by mu
	signal  chan struct{} // capacity 1; signals that pending is not empty
}

// New returns a control loop for an instance. It processes events while Serve runs.
// The clock may be nil.
func New(self member.Member, c *clock.Clock) *Loop {
	l := &Loop{clock: c, events: make(chan Event, eventQueueLen), state: NewState(self), signal: make(chan struct{}, 1)}
	l.publish()
	l.recentLeaving.Store(&[]platform.Notice{})
	l.probeAnsweredAt.Store(l.clock.Now().UnixNano())
	return l
}

// Snapshot returns the most recently published state.
func (l *Loop) Snapshot() *Snapshot { return l.snap.Load() }

// RecentLeaving returns the endpoints that started to leave recently, to be reported
// to the other instances.
func (l *Loop) RecentLeaving() []platform.Notice { return *l.recentLeaving.Load() }

// Send queues an event for the control loop. It blocks while the queue is full, and
// drops the event if ctx is done first.
func (l *Loop) Send(ctx context.Context, e Event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// Members returns the current members, as of the events queued before. It returns nil
// if ctx is done first.
func (l *Loop) Members(ctx context.Context) []member.Member {
	reply := make(chan []member.Member, 1)
	l.Send(ctx, membersRequest{reply})
	select {
	case m := <-reply:
		return m
	case <-ctx.Done():
		return nil
	}
}

// Serve runs the control loop until ctx is done. It implements suture.Service.
func (l *Loop) Serve(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
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

// handle processes one event and queues its effects.
func (l *Loop) handle(e Event, now time.Time) {
	switch e := e.(type) {
	case probe:
		close(e.done)
		return
	case membersRequest:
		e.reply <- l.state.members.Members()
		return
	}
	effects := l.state.Apply(e, now)
	l.publish()
	if _, ok := e.(tick); ok {
		recent := l.state.recentLeaving(now)
		l.recentLeaving.Store(&recent)
	}
	l.queue(effects)
}

// publish publishes the state if it has changed.
func (l *Loop) publish() {
	if s, changed := l.state.Snapshot(); changed || l.snap.Load() == nil {
		l.snap.Store(&s)
	}
}

// queue appends effects for the subscriber.
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

// Effects calls act for each effect in order, until ctx is done.
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

// Watchdog probes the control loop until ctx is done, and calls onStall for each probe
// that is not answered within probeTimeout.
func (l *Loop) Watchdog(ctx context.Context, onStall func()) error {
	for {
		p := probe{make(chan struct{})}
		l.Send(ctx, p)
		select {
		case <-p.done:
			l.probeAnsweredAt.Store(l.clock.Now().UnixNano())
		case <-time.After(probeTimeout):
			onStall()
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-time.After(probeTimeout / 4):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Alive reports whether the control loop answered a probe within the last two probe
// timeouts.
func (l *Loop) Alive(now time.Time) bool {
	return now.UnixNano()-l.probeAnsweredAt.Load() < int64(2*probeTimeout)
}
