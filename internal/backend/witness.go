package backend

import (
	"context"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// witness is another connection to the endpoint of a response without framing, held until the end of the body. It ends
// with the endpoint's process: if it is open after the end of the body, no other process at the same address has been taken
// for the one that sent the body.
type witness struct {
	held   *heldConn // nil if there is none yet, or it ended
	ended  bool      // it ended, and nothing of the body has been read since
	reads  int       // of the body
	dialed bool      // a connection was made for it
}

// heldConn is an idle connection outside the pool. The witnesses of an endpoint share one, so that few connections are
// held where their number is limited.
type heldConn struct {
	*conn
	holders int // guarded by Client.mu
}

// holdIdle returns an idle connection to an endpoint, or nil if there is none. ended reports whether there was one that
// ended although the endpoint had no reason to close it.
func (c *Client) holdIdle(endpoint string) (held *heldConn, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.endpoints[endpoint]
	if s == nil {
		return nil, false
	}
	if s.held != nil && s.held.silent() {
		s.held.holders++
		return s.held, false
	}
	now := c.clock.Now()
	for len(s.idle) > 0 {
		k := s.idle[0] // the next request uses the last one
		s.idle = s.idle[1:]
		if k.usable(now, 0) {
			s.held = &heldConn{conn: k, holders: 1}
			return s.held, false
		}
		ended = ended || k.fresh(now, 0)
		s.open--
		k.close()
	}
	return nil, ended
}

// releaseHeld returns a connection to the pool when the last witness releases it, unless it has ended.
func (c *Client) releaseHeld(endpoint string, h *heldConn) {
	c.mu.Lock()
	h.holders--
	last := h.holders == 0
	if s := c.endpoints[endpoint]; last && s != nil && s.held == h {
		s.held = nil
	}
	c.mu.Unlock()
	switch {
	case !last:
	case h.silent():
		c.putBack(endpoint, h.conn)
	default:
		c.discard(endpoint, h.conn)
	}
}

// readsUntilDial is the number of reads of a body after which a connection is made if none is idle. Short bodies, which
// a read or two bring, need none.
const readsUntilDial = 2

// bodyRead checks the witness when a part of the body has been read. An endpoint may close an idle connection at any
// time, and has not ended if more of the body comes afterwards.
func (x *exchange) bodyRead() {
	w := &x.witness
	w.ended = false
	w.reads++
	switch {
	case w.held != nil:
		if !w.held.silent() {
			w.release(x.client, x.endpoint.ID)
			w.ended = true
		}
	case x.hold():
	case w.reads >= readsUntilDial && !w.dialed:
		w.dialed = true
		go x.client.addIdle(x.ctx, x.endpoint, x.maxConns)
	}
}

// hold makes an idle connection the witness, and reports whether there is one.
func (x *exchange) hold() bool {
	x.witness.held, x.witness.ended = x.client.holdIdle(x.endpoint.ID)
	return x.witness.held != nil
}

// addIdle makes a connection and adds it to the pool, unless there are as many as allowed.
func (c *Client) addIdle(ctx context.Context, endpoint registry.Endpoint, maxConns int) {
	c.mu.Lock()
	s := c.endpoints[endpoint.ID]
	full := s == nil || maxConns > 0 && s.open >= maxConns
	c.mu.Unlock()
	if full {
		return
	}
	if k, err := c.dial(ctx, &endpoint, endTimeout); err == nil {
		c.adopt(endpoint.ID, k)
	}
}

// endpointLives reports, at the end of the body, whether the endpoint's process has not ended. Without a witness, that it
// accepts connections counts.
func (x *exchange) endpointLives(settle time.Duration) bool {
	w := &x.witness
	switch {
	case w.ended, x.client.addressTaken(x.endpoint.ID):
		return false
	case w.held != nil, x.hold():
		return x.client.settles(x.ctx, w.held.conn, settle)
	case w.ended:
		return false
	}
	return x.client.accepts(x.ctx, x.endpoint, settle)
}

func (w *witness) release(c *Client, endpoint string) {
	if w.held != nil {
		c.releaseHeld(endpoint, w.held)
		w.held = nil
	}
}
