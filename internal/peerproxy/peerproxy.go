// Package peerproxy has requests of clients served by other instances, when this one has no path to
// an endpoint that could serve them.
//
// A request goes to one other instance only, which handles it as if the client had connected there,
// and never passes it on. Before anything of the request is sent, the other instance accepts it or
// refuses: a refusal leaves the request free to go elsewhere. The request and the response travel as
// HTTP/1.1 on a stream of their own, so that back-pressure, aborted responses and clients that
// disconnect reach both ends as on a direct connection.
//
// Client and Acceptor are safe for concurrent use.
package peerproxy

import (
	"context"
	"errors"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
)

// Request is a client's request with what the instance that got it has done for it already.
type Request struct {
	Service     string
	Deadline    time.Time
	Tried       []string // endpoints that it was sent to
	MayHaveRun  bool     // one of them may have run it
	TryCounted  bool     // an attempt counts in the retry budget of the service
	RunCounted  bool     // a run counts in the usage of the client account
	Answered    bool     // the client has the head of the response
	LastEventID string   // of the last event that the client has
	Resumes     bool     // it is for the rest of a stream, which began at Version
	Version     string   // of the software of the endpoints that serve the stream

	BrokenOffBy []string // instances that are not asked, as they broke it off; used only by Client

	Call *backend.Call // the request as the client sent it; used only by Client
}

// message returns the wire form of the request without its call. The rest of a stream is a call of its own,
// which an instance that does not know versions refuses.
func (r *Request) message(now time.Time) *peerpb.Call {
	m := &peerpb.Proxy{
		Service: r.Service, Left: int64(r.Deadline.Sub(now)), Tried: r.Tried, MayHaveRun: r.MayHaveRun,
		TryCounted: r.TryCounted, RunCounted: r.RunCounted, Answered: r.Answered, LastEventId: r.LastEventID, Version: r.Version,
	}
	if r.Resumes {
		return &peerpb.Call{Body: &peerpb.Call_Resume{Resume: m}}
	}
	return &peerpb.Call{Body: &peerpb.Call_Proxy{Proxy: m}}
}

// FromCall returns the request of a call that is received now, nil if it is another call.
func FromCall(call *peerpb.Call, now time.Time) *Request {
	m := call.GetProxy()
	resumes := m == nil
	if resumes {
		m = call.GetResume()
	}
	if m == nil {
		return nil
	}
	return &Request{
		Resumes: resumes, Version: m.Version,
		Service: m.Service, Deadline: now.Add(time.Duration(m.Left)), Tried: m.Tried, MayHaveRun: m.MayHaveRun,
		TryCounted: m.TryCounted, RunCounted: m.RunCounted, Answered: m.Answered, LastEventID: m.LastEventId,
	}
}

// EndpointHeader names, in a response to another instance, the endpoint that gave it. What endpoints
// announce binds the instance that passes their responses on to clients as well.
const EndpointHeader = "Shelfcrank-Endpoint"

// DeclinedHeader marks a refusal by the instance that accepted a request, before anything was sent to an endpoint, for a
// reason that concerns only that instance.
const DeclinedHeader = "Shelfcrank-Declined"

// ErrNotTaken reports that no other instance takes a request. Nothing of it was sent.
var ErrNotTaken = errors.New("no other instance takes the request")

// Reasons for which an instance refuses a request.
var (
	ErrNoPath  = errors.New("no path to an endpoint")
	ErrFull    = errors.New("too many requests of other instances")
	ErrLeaving = errors.New("shutting down")

	errDeclined = errors.New("declined after it was accepted")
)

type requestKey struct{}

// FromContext returns the Request that Acceptor passes to its handler with an HTTP request.
func FromContext(ctx context.Context) *Request {
	r, _ := ctx.Value(requestKey{}).(*Request)
	return r
}
