package forward

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Quarantine keeps requests from running under which servers end.
type Quarantine interface {
	// Knows reports whether a request of this length may be under suspicion. Only then is
	// its fingerprint worked out.
	Knows(length int) bool
	// Enter asks whether a request may run until a deadline. leave, which may be nil, is
	// called when its run is over, and told whether it is known what became of it. A
	// *quarantine.RefusedError says why it may not.
	Enter(ctx context.Context, f quarantine.Fingerprint, until time.Time) (leave func(decided bool), err error)
	// Allows looks once more whether the request may run, right before it is sent.
	Allows(f quarantine.Fingerprint) error
	// Broke takes note that a server cut a run off, and finds out whether it has ended.
	Broke(ctx context.Context, s registry.Endpoint, f quarantine.Fingerprint, account string) (ended bool)
	// Left takes note that a run was given up because its client left or its time is over.
	Left(s registry.Endpoint, f quarantine.Fingerprint, account string)
	// Unreached takes note that a server's address refused a connection.
	Unreached(s registry.Endpoint)
	// CameThrough takes note that a run came to its end at a server.
	CameThrough(f quarantine.Fingerprint, s registry.Endpoint)
}

// length is the length of the request's fingerprint.
func (q *request) length() int { return quarantine.Length(q.method, q.host, q.uri, q.body) }

// fingerprint tells the request apart by what a server receives. It is worked out once.
func (q *request) fingerprint() quarantine.Fingerprint {
	if q.hash == nil {
		f := quarantine.Of(q.method, q.host, q.uri, q.body)
		q.hash = &f
	}
	return *q.hash
}

// enter asks whether the request may be tried, and refuses it if not.
func (h *Handler) enter(ctx context.Context, q *request) (leave func(decided bool), d *denial) {
	if ctx.Err() != nil || !h.Quarantine.Knows(q.length()) {
		return nil, nil // one whose client left is told so
	}
	leave, err := h.Quarantine.Enter(ctx, q.fingerprint(), q.deadline)
	if err != nil {
		return nil, h.quarantined(q, err)
	}
	return leave, nil
}

// quarantined is the denial for a request that may not run.
func (h *Handler) quarantined(q *request, err error) *denial {
	d := &denial{
		status: h.unless(q, http.StatusServiceUnavailable), why: "servers ended under this request", wait: waitFull, err: err,
		fields: []zap.Field{zap.Stringer("fingerprint", q.fingerprint())},
	}
	if r, ok := quarantine.AsRefused(err); ok && !r.Until.IsZero() {
		d.wait = h.Clock.Until(r.Until)
	}
	return d
}

// stillAllowed looks once more, after a server was chosen and before anything is sent.
func (h *Handler) stillAllowed(q *request) *denial {
	if !h.Quarantine.Knows(q.length()) {
		return nil
	}
	if err := h.Quarantine.Allows(q.fingerprint()); err != nil {
		return h.quarantined(q, err)
	}
	return nil
}

// broke takes note that the request's run was cut off: by the server, or because its client
// left or its time is over.
func (h *Handler) broke(ctx context.Context, q *request, server registry.Endpoint) {
	if ctx.Err() != nil {
		h.left(q, server)
		return
	}
	q.undecided = !h.Quarantine.Broke(ctx, server, q.fingerprint(), q.accountName())
}

// left takes note that the request's run was given up. The server may end under it all the
// same, a moment after its client has left.
func (h *Handler) left(q *request, server registry.Endpoint) {
	q.undecided = true
	h.Quarantine.Left(server, q.fingerprint(), q.accountName())
}

// cameThrough takes note that a server has answered the request whole, if that shows that it
// has run.
func (h *Handler) cameThrough(q *request, server registry.Endpoint, resp *backend.Response) {
	if provesRun(resp) && h.Quarantine.Knows(q.length()) {
		h.Quarantine.CameThrough(q.fingerprint(), server)
	}
}

// provesRun reports whether an answer shows that the server took the request up and lived. A
// failure does not: a server may fail a request before it begins, and one that other servers
// end under would be free again with each such answer.
func provesRun(resp *backend.Response) bool {
	return resp.Status < http.StatusInternalServerError && !promises(resp.Status) && !resp.Answer.NotRun
}
