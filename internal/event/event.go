// Package event is the catalogue of numbered log events. docs/events.md is
// generated from it.
//
// A number is never used again for something else. The package is safe for
// concurrent use.
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Code is the number of an event.
type Code int

// The events. Hundreds group them: 1xx process, 2xx table, 3xx membership,
// 4xx requests, 5xx endpoints, 9xx broken invariants.
const (
	Started          Code = 101
	Stopping         Code = 102
	Stopped          Code = 103
	ChildRestarted   Code = 104
	ControlWedged    Code = 105
	TableInForce     Code = 201
	TableStale       Code = 202
	StoreDown        Code = 203
	StoreBack        Code = 204
	EditAccepted     Code = 205
	EditRefused      Code = 206
	PeerSuspect      Code = 301
	PeerDead         Code = 302
	PeerJoined       Code = 303
	PeerLeaving      Code = 304
	ViewInstalled    Code = 305
	ShardsUnknown    Code = 306
	RequestFailed    Code = 401
	RequestResumed   Code = 402
	RecordTakenOver  Code = 403
	RecordHandedOver Code = 404
	RecordLost       Code = 405
	OutcomeUnknown   Code = 406
	EndpointJoined   Code = 501
	EndpointLeaving  Code = 502
	EndpointGone     Code = 503
	EndpointEjected  Code = 504
	KVMoved          Code = 505
	KVMoveFailed     Code = 506
	InvariantBroken  Code = 901
)

// Entry describes one event.
type Entry struct {
	Code    Code
	Level   zapcore.Level
	Message string
	Meaning string // what happened and what an operator should do
}

// Catalogue lists every event in the order of its number.
var Catalogue = []Entry{
	{Started, zap.InfoLevel, "entry instance started", "The instance listens. It is ready once it has a table."},
	{Stopping, zap.InfoLevel, "entry instance stopping", "A stop or a reclaim notice arrived; no new request is taken."},
	{Stopped, zap.InfoLevel, "entry instance stopped", "All records were finished or handed over, or the deadline passed; left says how many were not."},
	{ChildRestarted, zap.WarnLevel, "child restarted", "The supervisor restarted a part that failed. Repeated often it is a defect: report it."},
	{ControlWedged, zap.ErrorLevel, "control loop wedged", "The control goroutine did not answer the watchdog; /readyz fails until it does."},
	{TableInForce, zap.InfoLevel, "table revision in force", "This instance now decides by the revision."},
	{TableStale, zap.WarnLevel, "older table revision ignored", "The store or a peer offered a revision below the one in force. If the store does so for long, it was restored from a copy."},
	{StoreDown, zap.WarnLevel, "store unavailable", "Edits are refused; everything else goes on with the revision in force."},
	{StoreBack, zap.InfoLevel, "store available again", "Edits are taken again."},
	{EditAccepted, zap.InfoLevel, "edit accepted", "An operator's edit was written to the store."},
	{EditRefused, zap.InfoLevel, "edit refused", "An operator's edit was not written; the reason is in the event."},
	{PeerSuspect, zap.WarnLevel, "peer suspect", "No heartbeat for a while; nothing is taken over yet."},
	{PeerDead, zap.WarnLevel, "peer dead", "No heartbeat until the dead line passed; its records are taken over."},
	{PeerJoined, zap.InfoLevel, "peer joined", "A new entry instance, or a new incarnation of one."},
	{PeerLeaving, zap.InfoLevel, "peer leaving", "The peer takes no new requests."},
	{ViewInstalled, zap.InfoLevel, "view installed", "A new agreed set of keepers for calls that may not be repeated."},
	{ShardsUnknown, zap.WarnLevel, "claims may have been lost", "Most keepers of some shards went at once. Repeats of calls that may not be repeated are answered may_have_run there until the retention passes."},
	{RequestFailed, zap.InfoLevel, "request failed", "A request got an error as its final answer."},
	{RequestResumed, zap.InfoLevel, "stream resumed", "A stream went on at another endpoint after the first one broke or left."},
	{RecordTakenOver, zap.WarnLevel, "record taken over", "The owner died; this instance runs the request on."},
	{RecordHandedOver, zap.InfoLevel, "record handed over", "A leaving owner gave a request to this instance."},
	{RecordLost, zap.ErrorLevel, "record lost", "Both holders of an accepted request are gone. The caller gets an error."},
	{OutcomeUnknown, zap.ErrorLevel, "outcome unknown", "A call that may not be repeated may have run; it is not run again. Check with the service."},
	{EndpointJoined, zap.InfoLevel, "endpoint joined", "The endpoint takes work."},
	{EndpointLeaving, zap.InfoLevel, "endpoint leaving", "The endpoint gets no new work."},
	{EndpointGone, zap.InfoLevel, "endpoint gone", "The endpoint left the list or its deadline passed."},
	{EndpointEjected, zap.WarnLevel, "endpoint ejected", "Calls to the endpoint failed in a row; it rests for a while."},
	{KVMoved, zap.InfoLevel, "KV cache moved", "A stream's cache was imported by another endpoint."},
	{KVMoveFailed, zap.WarnLevel, "KV cache move failed", "The stream goes on by recomputing."},
	{InvariantBroken, zap.ErrorLevel, "invariant broken", "A promise was broken. Report it with the log; the run counts as failed."},
}

// Log writes the event with its fields.
func Log(l *zap.Logger, c Code, fields ...zap.Field) {
	for _, e := range Catalogue {
		if e.Code != c {
			continue
		}
		if ce := l.Check(e.Level, e.Message); ce != nil {
			ce.Write(append(fields, zap.Int("event", int(c)))...)
		}
		return
	}
}
