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
	Started            Code = 101
	Stopping           Code = 102
	Stopped            Code = 103
	ChildRestarted     Code = 104
	ControlWedged      Code = 105
	Resumed            Code = 106
	ClockStandsStill   Code = 107
	TableInForce       Code = 201
	TableStale         Code = 202
	StoreDown          Code = 203
	StoreBack          Code = 204
	EditAccepted       Code = 205
	EditRefused        Code = 206
	PeerSuspect        Code = 301
	PeerDead           Code = 302
	PeerJoined         Code = 303
	PeerLeaving        Code = 304
	ViewInstalled      Code = 305
	ShardsUnknown      Code = 306
	RequestFailed      Code = 401
	RequestResumed     Code = 402
	RecordTakenOver    Code = 403
	RecordHandedOver   Code = 404
	RecordLost         Code = 405
	OutcomeUnknown     Code = 406
	ForwardAnswered    Code = 411
	ForwardRefused     Code = 412
	StreamBroken       Code = 413
	ClientLeft         Code = 414
	EndedUnder         Code = 421
	Quarantined        Code = 422
	QuarantineOver     Code = 423
	QuarantineLifted   Code = 424
	DutyTaken          Code = 601
	DutyLost           Code = 602
	UsageReported      Code = 603
	UsageMissed        Code = 604
	FleetOrdered       Code = 605
	FleetRefused       Code = 606
	RolloutOrdered     Code = 621
	RolloutFollowed    Code = 622
	RolloutLed         Code = 623
	RolloutLooked      Code = 624
	RolloutNotWritten  Code = 625
	RolloutOdd         Code = 626
	Reloaded           Code = 106
	ConfigInForce      Code = 211
	ConfigRejected     Code = 212
	ConfigStale        Code = 213
	ConfigProved       Code = 214
	StoreFollowed      Code = 215
	WatchSilent        Code = 216
	ConfigPassedOver   Code = 217
	StoreRestored      Code = 218
	ServerJoined       Code = 511
	ServerLeaving      Code = 512
	ServerGone         Code = 513
	ServerAbsent       Code = 514
	ServerOdd          Code = 515
	ServerRestarted    Code = 516
	ServerWithheld     Code = 517
	ServerSaysLeaving  Code = 518
	ServerAsksRest     Code = 519
	ServerRateLimit    Code = 520
	EndpointPassedOver Code = 521
	NodeJoined         Code = 311
	NodeGone           Code = 312
	NodeOdd            Code = 314
	ClockCorrected     Code = 313
	EndpointJoined     Code = 501
	EndpointLeaving    Code = 502
	EndpointGone       Code = 503
	EndpointEjected    Code = 504
	EndpointAsksRest   Code = 507
	EndpointRateLimit  Code = 508
	KVMoved            Code = 505
	KVMoveFailed       Code = 506
	InvariantBroken    Code = 901
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
	{Resumed, zap.WarnLevel, "instance stood still", "The process was stopped or its machine suspended, for as long as stood tells, and goes on. suspended is the part of it that the steady clock did not count, ended tells how many requests and calls were ended whose time had passed meanwhile, config_age how old the configuration in hand is; what is older than allowed is not used until it is heard anew."},
	{ClockStandsStill, zap.WarnLevel, "clock does not count suspensions", "This system cannot tell its boot time: while the machine is suspended, deadlines and leases seem to stand still."},
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
	{ForwardAnswered, zap.InfoLevel, "request answered", "A server's answer was passed on whole. servers lists those that the request was sent to, config the version it was decided by and config_age how long before its arrival that version was proved to be the newest."},
	{ForwardRefused, zap.InfoLevel, "request refused", "This node gave the final answer; why says the reason. may_have_run tells whether a server may have run it."},
	{StreamBroken, zap.WarnLevel, "answer broken off", "A server broke off in the middle of its answer and no other could go on; the client's connection was closed so that the answer does not look whole."},
	{ClientLeft, zap.InfoLevel, "client left", "The client closed its connection; the work at the server was cancelled."},
	{EndedUnder, zap.WarnLevel, "server ended under a request", "The server ended while the request with this fingerprint ran there, as this instance or another one saw. One of all that ran there did it, or none; ends tells under how many servers' ends this one was since it last came through."},
	{Quarantined, zap.WarnLevel, "request quarantined", "Servers ended under the request with this fingerprint again and again: it does not run until the time told, under whatever id it comes."},
	{QuarantineLifted, zap.InfoLevel, "quarantine lifted", "An operator lets the request with this fingerprint run again."},
	{QuarantineOver, zap.InfoLevel, "suspicion of a request is over", "A run of the request came through, at this instance or another one, or an operator lifted the quarantine. server is the one that answered this instance; it is empty where another instance or an operator told."},
	{DutyTaken, zap.InfoLevel, "duty taken", "This node now acts for all: it reports usage and orders servers. until is when it falls silent unless it renews its lease."},
	{DutyLost, zap.InfoLevel, "duty lost", "This node no longer acts for all; why says the reason. Another takes over when the lease has ended."},
	{UsageReported, zap.InfoLevel, "usage reported", "The platform took the counts of a window."},
	{UsageMissed, zap.WarnLevel, "usage not reported", "The counts of a window could not be reported in time."},
	{FleetOrdered, zap.InfoLevel, "servers ordered", "The platform took an order for a hall; the inputs that led to it are in the event."},
	{FleetRefused, zap.WarnLevel, "order of servers refused", "The platform refused an order; the planner looks elsewhere."},
	{RolloutOrdered, zap.InfoLevel, "roll-out ordered", "The operators want a service moved to the version target; order is the revision of their order."},
	{RolloutFollowed, zap.InfoLevel, "roll-out followed", "This instance goes by this phase from now on: on trial a small share of the requests goes to the target, in the shift all new ones do, after that the target is all that is used, or nothing of it is."},
	{RolloutLed, zap.InfoLevel, "roll-out led on", "This instance wrote a new phase to the store, with the status for the operators; why says the reason, seen, ended and failed count requests of the target over all instances, and evidence is what speaks against it (bad from 4 on) with the sign that it comes from."},
	{RolloutLooked, zap.InfoLevel, "roll-out looked at", "The figures of a roll-out under way, each second, at the instance that leads it."},
	{RolloutNotWritten, zap.WarnLevel, "roll-out not written", "The store did not take the new phase of a roll-out; it is tried again."},
	{RolloutOdd, zap.ErrorLevel, "roll-out not understood", "An order or a record of a roll-out could not be read; the one before stays in force."},
	{Reloaded, zap.InfoLevel, "settings read again", "The settings file was read again after a signal or a change."},
	{ConfigInForce, zap.InfoLevel, "configuration in force", "This node now decides by the version."},
	{ConfigRejected, zap.ErrorLevel, "configuration rejected", "The store holds a configuration that cannot be used; the version before stays in force, and keys are refused once it may be old."},
	{ConfigStale, zap.WarnLevel, "configuration not proved", "For a while no read showed that the configuration in force is the newest: requests that need a key are refused."},
	{ConfigProved, zap.InfoLevel, "configuration proved again", "A read showed which configuration is the newest."},
	{StoreFollowed, zap.InfoLevel, "store followed", "From now on this node reads the store itself (directly) or through the hubs of its fleet. Only a large fleet has hubs; a node that no hub helps reads the store itself for a while. standby is the instance that it reads through while the hubs that read the store cannot; stands_in says that this node reads it for others meanwhile."},
	{WatchSilent, zap.WarnLevel, "watch of the store is silent", "Another node knows a change of a server that this one has not heard of: its watches are begun anew."},
	{ConfigPassedOver, zap.WarnLevel, "configuration passed over", "The store has the configuration at a revision below that of the one in force (in_hand), which stays in force. The answer came late."},
	{StoreRestored, zap.WarnLevel, "store restored from an older copy", "The store is in a later era than before. Versions in force and leaving endpoints are kept; what operators and endpoints write again is taken, with revisions that were given out before."},
	{ServerJoined, zap.InfoLevel, "server joined", "The server takes work."},
	{ServerLeaving, zap.InfoLevel, "server leaving", "The server gets no new work."},
	{ServerGone, zap.InfoLevel, "server gone", "The server's entry is no more; it gets no new work."},
	{ServerAbsent, zap.WarnLevel, "server's entry lapsed", "The entry went while the store was in trouble; the server is used on for a moment, until that is believed."},
	{ServerOdd, zap.WarnLevel, "server's entry not understood", "The entry names no server to use, for the reason told: it cannot be read, or a field is missing, of another type or out of its range. Told once for each change (revision). No new work goes there until it reads well; what runs there goes on."},
	{ServerRestarted, zap.InfoLevel, "server started again", "A later incarnation of the server takes work. Its id ends with the Unix millisecond of its start; nothing that was known of the incarnation before counts for it."},
	{ServerWithheld, zap.WarnLevel, "server withheld", "The entry names an earlier incarnation of the server than the newest, or does not say which, as another writer's or a late write does: no new work goes there. An earlier incarnation is believed once the entry has stood for 5 s."},
	{ServerSaysLeaving, zap.InfoLevel, "server said that it leaves", "An answer of the server says so: it gets no new work from this instance from now on, whatever the store says. listed tells whether the store's word was still that it takes work."},
	{ServerAsksRest, zap.InfoLevel, "server asked for rest", "The server turned a request away and wants none from this instance until the time told. Told once for each rest."},
	{ServerRateLimit, zap.InfoLevel, "rate limit of an endpoint changed", "The endpoint (server) accepts so many requests a second (to, where limited is true) from all instances together. by_peer tells that another instance reported it, not an answer to this one."},
	{EndpointPassedOver, zap.InfoLevel, "endpoint's entry passed over", "The entry was read at a revision below one that is known for the server, and changed nothing."},
	{NodeJoined, zap.InfoLevel, "node joined", "Another node registered itself, or others tell of it while the store has lost some."},
	{NodeGone, zap.InfoLevel, "node gone", "Another node's registration ended and it is not heard of."},
	{NodeOdd, zap.WarnLevel, "word of a node not understood", "What another node (peer), or its registration in the store (revision), tells of one that runs could not be read, and is passed over."},
	{ClockCorrected, zap.WarnLevel, "time of day corrected", "This node's time of day is far from that of most others; theirs is used."},
	{EndpointJoined, zap.InfoLevel, "endpoint joined", "The endpoint takes work."},
	{EndpointLeaving, zap.InfoLevel, "endpoint leaving", "The endpoint gets no new work."},
	{EndpointGone, zap.InfoLevel, "endpoint gone", "The endpoint left the list or its deadline passed."},
	{EndpointEjected, zap.WarnLevel, "endpoint ejected", "Calls to the endpoint failed in a row; it rests for a while."},
	{EndpointAsksRest, zap.InfoLevel, "endpoint asked for rest", "The endpoint turned a call away and wants none from this instance until the time told. Told once for each rest."},
	{EndpointRateLimit, zap.InfoLevel, "rate limit of an endpoint changed", "The endpoint accepts so many calls a second (to, where limited is true) from all instances together. by_peer tells that another instance reported it, not an answer to this one."},
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
