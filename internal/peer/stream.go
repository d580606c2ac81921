package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
)

// StreamHandler is a Handler that uses the streams of some calls for more than responses.
type StreamHandler interface {
	Handler
	// HandleStream reports whether it handled the call. If so, the stream is closed when it returns.
	HandleStream(ctx context.Context, call *peerpb.Call, stream net.Conn) bool
}

// Accept sends the response to a call after which its stream is the caller's connection.
func Accept(stream net.Conn) error {
	return respond(stream, &peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
}

// Refuse sends the response to a call whose stream is not used. reason goes to the caller, which may
// rely on it that the call had no effect.
func Refuse(stream net.Conn, reason error) error {
	failure := fault.New(fault.StepPeer, "", fault.KindRefused, fault.NotRun, "%w", reason)
	return respond(stream, &peerpb.Answer{Body: &peerpb.Answer_Failure{Failure: ToFailure(failure)}})
}

func respond(stream net.Conn, a *peerpb.Answer) error {
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	defer func() { _ = stream.SetWriteDeadline(time.Time{}) }()
	_, err := protodelim.MarshalTo(stream, a)
	return err
}

// Open makes a call and returns its stream once the other instance has accepted it, which it must do
// before ctx ends. The error of a call that was not accepted says that it had no effect: the other
// instance does nothing before more is sent. The caller closes the stream, which is not bound to ctx.
func (t *Transport) Open(ctx context.Context, addr netip.AddrPort, call *peerpb.Call) (net.Conn, error) {
	stream, s, err := t.openStream(ctx, addr)
	if err != nil {
		return nil, err
	}
	s.unansweredSince.CompareAndSwap(0, t.clock.Now().UnixNano())
	if err := t.handshake(ctx, s, stream, call); err != nil {
		_ = stream.Close()
		t.dropIfUnresponsive(addr, s)
		return nil, fault.New(fault.StepPeer, addr.String(), fault.KindRefused, fault.NotRun, "open: %w", err)
	}
	return stream, nil
}

var errDataBeforeRequest = errors.New("data received before anything was sent")

// handshake sends the call and waits for its response.
func (t *Transport) handshake(ctx context.Context, s *session, stream net.Conn, call *peerpb.Call) error {
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	call.From = t.self
	if _, err := protodelim.MarshalTo(stream, call); err != nil {
		return errors.Join(err, ctx.Err())
	}
	r := bufio.NewReader(stream)
	var a peerpb.Answer
	if err := readMessage(r, &a); err != nil {
		return errors.Join(err, ctx.Err())
	}
	s.unansweredSince.Store(0) // a refusal is a response, too
	if f := a.GetFailure(); f != nil {
		return FromFailure(f, "")
	}
	if !stop() {
		return ctx.Err() // the deadlines of the stream have been set
	}
	if r.Buffered() > 0 {
		return errDataBeforeRequest
	}
	return nil
}
