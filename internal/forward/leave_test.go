package forward

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// slowPlacer delays each choice, like a request to a hub.
type slowPlacer struct {
	Placer
	takes time.Duration
}

// Place implements Placer.
func (p slowPlacer) Place(ctx context.Context, endpoints []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	select {
	case <-ctx.Done():
	case <-time.After(p.takes):
	}
	return p.Placer.Place(ctx, endpoints, r, until, now)
}

// seen returns how many requests reached endpoints, and when the connections that they kept
// open were closed.
func (w *fixture) seen() (sent int, closed []time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.got), slices.Clone(w.closed)
}

// When a client disconnects, the connection to the endpoint is closed at once and nothing more
// is sent, in any phase of the request.
func TestAClientThatDisconnects(t *testing.T) {
	const (
		leaves = 200 * time.Millisecond // after the request was sent
		soon   = 50 * time.Millisecond  // after that no endpoint works on it
	)
	paused := strings.TrimSuffix(events(1, 4, true), "0\r\n\r\n")
	for _, test := range []struct {
		name    string
		path    string
		scripts []string
		placing time.Duration
		sent    int
	}{
		{name: "while an endpoint works", path: "/once/a", scripts: []string{"hang"}, sent: 1},
		{name: "while an endpoint works that may be repeated", path: "/safe/a", scripts: []string{"hang", sealed(200, "hi")}, sent: 1},
		{name: "before the first event", path: "/resume/a", scripts: []string{"hang", events(1, 9, true)}, sent: 1},
		{name: "in the middle of a stream", path: "/resume/a", scripts: []string{paused, events(5, 9, true)}, sent: 1},
		{name: "while an endpoint is chosen", path: "/resume/a", scripts: []string{events(1, 9, true)}, placing: time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 0, test.scripts...)
				if test.placing > 0 {
					w.handler.Placer = slowPlacer{w.handler.Placer, test.placing}
				}
				begun := time.Now()
				ctx, leave := context.WithTimeout(context.Background(), leaves)
				defer leave()
				w.askUntil(ctx, test.path, "k")
				is.True(time.Since(begun) < leaves+soon)
				time.Sleep(2 * time.Second)
				sent, closed := w.seen()
				is.Equal(sent, test.sent)
				is.Equal(len(closed), test.sent)
				for _, at := range closed {
					is.True(at.Sub(begun) < leaves+soon)
				}
				w.handler.Backends.CloseIdle()
			})
		})
	}
}
