package peer

import (
	"errors"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/record"
)

// ToUnixNano returns the wire form of a time: nanoseconds since the Unix epoch,
// or 0 for the zero time.
func ToUnixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// FromUnixNano returns the time of a wire form. The result has no monotonic
// clock reading, so that comparisons use the wall clock, which goes on while the
// instance is suspended.
func FromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// ToFailure returns the wire form of an error.
func ToFailure(e *fault.Error) *peerpb.Failure {
	return &peerpb.Failure{Run: int32(e.Run), Kind: int32(e.Kind), Step: string(e.Step), Text: e.Error(), RetryAt: ToUnixNano(e.RetryAt)}
}

// FromFailure returns the error of a wire form that was received from a peer.
func FromFailure(f *peerpb.Failure, from string) *fault.Error {
	return &fault.Error{Step: fault.Step(f.Step), Peer: from, Kind: fault.Kind(f.Kind), Run: fault.Run(f.Run), RetryAt: FromUnixNano(f.RetryAt), Err: errors.New(f.Text)}
}

// ToResult returns the wire form of a result; nil stays nil.
func ToResult(r *record.Result) *peerpb.Result {
	if r == nil {
		return nil
	}
	out := &peerpb.Result{Status: int32(r.Status), ContentType: r.ContentType, Body: r.Body}
	if r.Failure != nil {
		out.Failure = ToFailure(r.Failure)
	}
	return out
}

// FromResult returns the result of a wire form that was received from a peer;
// nil stays nil.
func FromResult(r *peerpb.Result, from string) *record.Result {
	if r == nil {
		return nil
	}
	out := &record.Result{Status: int(r.Status), ContentType: r.ContentType, Body: r.Body}
	if r.Failure != nil {
		out.Failure = FromFailure(r.Failure, from)
	}
	return out
}

// ToRecord returns the wire form of a record, including the tokens and the
// result that it has so far.
func ToRecord(r *record.Record) *peerpb.Record {
	p, _ := r.Progress(0)
	version, _ := r.Version()
	return &peerpb.Record{
		Id: r.ID, Account: r.Account, Class: r.Class, Kind: string(r.Kind), Target: r.Target,
		ContentType: r.ContentType, Body: r.Body, Digest: r.Digest, Session: r.Session,
		MaxTokens: int32(r.MaxTokens), Priority: int32(r.Priority), Seed: r.Seed,
		Deadline: ToUnixNano(r.Deadline), Arrived: ToUnixNano(r.ArrivedAt), Repeatable: r.Repeatable, Fresh: r.GeneratedID,
		Chat: r.Chat, Owner: p.Owner, Endpoint: r.Endpoint(), Version: version, Tokens: p.Tokens, Result: ToResult(p.Result),
	}
}

// ToHead returns the wire form of a record without the request body, the tokens
// and the result.
func ToHead(r *record.Record) *peerpb.Record {
	head := ToRecord(r)
	head.Body, head.Tokens, head.Result = nil, nil, nil
	return head
}

// FromRecord returns the record of a wire form that was received from a peer.
func FromRecord(m *peerpb.Record, from string) *record.Record {
	r := record.New(record.Request{
		ID: m.Id, Account: m.Account, Class: m.Class, Kind: record.Kind(m.Kind), Target: m.Target,
		ContentType: m.ContentType, Body: m.Body, Digest: m.Digest, Session: m.Session,
		MaxTokens: int(m.MaxTokens), Priority: int(m.Priority), Seed: m.Seed,
		Deadline: FromUnixNano(m.Deadline), ArrivedAt: FromUnixNano(m.Arrived), Repeatable: m.Repeatable, GeneratedID: m.Fresh,
		Chat: m.Chat,
	}, m.Owner)
	r.SetEndpoint(m.Endpoint, m.Version)
	_ = r.Append(0, m.Tokens...) // cannot fail on an empty record
	if res := FromResult(m.Result, from); res != nil {
		r.Finish(*res)
	}
	return r
}
