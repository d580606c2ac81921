// Package event defines the catalogue of numbered log events, from which
// docs/events.md is generated.
//
// The number of a removed event must not be reused. The package is safe for
// concurrent use.
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Code is the number of an event.
type Code int

// The events, grouped by hundreds: 1xx process, 2xx table, configuration and
// store, 3xx membership, 4xx requests, 5xx endpoints, 6xx leadership, usage
// reports and roll-outs, 9xx broken invariants.
const (
	Started                      Code = 101
	Stopping                     Code = 102
	Stopped                      Code = 103
	ChildRestarted               Code = 104
	ControlLoopStalled           Code = 105
	ProcessResumed               Code = 106
	ClockExcludesSuspensions     Code = 107
	ReceiveBufferNotLimited      Code = 108
	ConnectionsClosed            Code = 109
	TableInForce                 Code = 201
	TableStale                   Code = 202
	StoreDown                    Code = 203
	StoreRecovered               Code = 204
	EditAccepted                 Code = 205
	EditRefused                  Code = 206
	PeerSuspect                  Code = 301
	PeerDead                     Code = 302
	PeerJoined                   Code = 303
	PeerLeaving                  Code = 304
	ViewInstalled                Code = 305
	ClaimsUncertain              Code = 306
	RequestFailed                Code = 401
	StreamResumed                Code = 402
	RecordTakenOver              Code = 403
	RecordHandedOver             Code = 404
	RecordLost                   Code = 405
	OutcomeUnknown               Code = 406
	ForwardAnswered              Code = 411
	ForwardRefused               Code = 412
	StreamBroken                 Code = 413
	ClientDisconnected           Code = 414
	ForwardProxied               Code = 415
	ProxyRefused                 Code = 416
	ProxiedAccepted              Code = 417
	StreamResumedByClient        Code = 418
	StreamOriginUnknown          Code = 419
	EndpointEndedDuringRequest   Code = 421
	Quarantined                  Code = 422
	SuspicionCleared             Code = 423
	QuarantineLifted             Code = 424
	EndpointEndedDuringPart      Code = 425
	PartQuarantined              Code = 426
	ServiceScheduled             Code = 431
	ServiceUnscheduled           Code = 432
	AccountOverShare             Code = 433
	AccountWithinShare           Code = 434
	LeaseAcquired                Code = 601
	LeaseLost                    Code = 602
	UsageReported                Code = 603
	UsageReportFailed            Code = 604
	EndpointsOrdered             Code = 605
	EndpointOrderRefused         Code = 606
	RolloutOrdered               Code = 621
	RolloutPhaseApplied          Code = 622
	RolloutPhaseWritten          Code = 623
	RolloutFigures               Code = 624
	RolloutWriteFailed           Code = 625
	RolloutInvalid               Code = 626
	SettingsReloaded             Code = 106
	ConfigInForce                Code = 211
	ConfigRejected               Code = 212
	ConfigStale                  Code = 213
	ConfigConfirmed              Code = 214
	StoreSourceChanged           Code = 215
	WatchMissedChange            Code = 216
	OlderConfigIgnored           Code = 217
	StoreRestored                Code = 218
	DirectorySlotClaimed         Code = 219
	FrontEndpointJoined          Code = 511
	FrontEndpointLeaving         Code = 512
	FrontEndpointGone            Code = 513
	FrontEndpointLapsed          Code = 514
	FrontEndpointInvalid         Code = 515
	FrontEndpointRestarted       Code = 516
	FrontEndpointWithheld        Code = 517
	FrontEndpointReportedLeaving Code = 518
	FrontEndpointBackoff         Code = 519
	FrontEndpointRateLimit       Code = 520
	OlderEndpointIgnored         Code = 521
	PathsLost                    Code = 522
	PathsRestored                Code = 523
	ServiceBrittle               Code = 524
	InstanceJoined               Code = 311
	InstanceGone                 Code = 312
	InstanceInvalid              Code = 314
	ClockCorrected               Code = 313
	EndpointJoined               Code = 501
	EndpointLeaving              Code = 502
	EndpointGone                 Code = 503
	EndpointEjected              Code = 504
	EndpointBackoff              Code = 507
	EndpointRateLimit            Code = 508
	KVMoved                      Code = 505
	KVMoveFailed                 Code = 506
	InvariantBroken              Code = 901
)

// Entry describes one event of the catalogue.
type Entry struct {
	Code    Code
	Level   zapcore.Level
	Message string
	Meaning string // what happened, and what an operator should do
}

// Catalogue lists all events.
var Catalogue = []Entry{
	{Started, zap.InfoLevel, "entry instance started", "The instance accepts connections. It is ready once it has a table."},
	{Stopping, zap.InfoLevel, "entry instance stopping", "A stop signal or a reclaim notice arrived. The instance accepts no new requests."},
	{Stopped, zap.InfoLevel, "entry instance stopped", "All request records were finished or handed over, or the deadline passed; left is the number of records that were not."},
	{ChildRestarted, zap.WarnLevel, "child restarted", "The supervisor restarted a component that had failed. If this repeats, it is a defect: report it."},
	{ControlLoopStalled, zap.ErrorLevel, "control loop not responding", "The control goroutine did not answer the watchdog. /readyz fails until it does."},
	{ProcessResumed, zap.WarnLevel, "instance resumed after a stall", "The process was stopped or its instance suspended, and runs again. stood is the length of the stall, and suspended the part of it during which the monotonic clock was stopped. ended is the number of requests and calls that were ended because their deadline passed during the stall. config_age is the age of the configuration held; a configuration older than allowed is not used until it is confirmed again."},
	{ClockExcludesSuspensions, zap.WarnLevel, "clock excludes suspensions", "The boot-time clock of this system cannot be read. While the instance is suspended, deadlines and leases appear not to advance."},
	{ReceiveBufferNotLimited, zap.WarnLevel, "receive buffer not limited", "The system does not limit the bytes that it holds of client connections that are not read. A crowd of clients that send more than is read can use up the memory."},
	{ConnectionsClosed, zap.WarnLevel, "connections of clients closed for lack of room", "In the last second, closed connections without a request in progress, or whose client did not read its answer, made room for others, and refused new ones were closed as there was none. open of limit connections are open, and they count for bytes of bytes_limit; the bodies of requests and buffered answers hold bodies of bodies_limit. At most one line a second."},
	{TableInForce, zap.InfoLevel, "table revision in force", "This instance now applies this revision of the table."},
	{TableStale, zap.WarnLevel, "older table revision ignored", "The store or a peer offered a revision below the one in force. If the store keeps doing so, it was restored from a backup."},
	{StoreDown, zap.WarnLevel, "store unavailable", "Edits are refused. Everything else continues with the revision in force."},
	{StoreRecovered, zap.InfoLevel, "store available again", "Edits are accepted again."},
	{EditAccepted, zap.InfoLevel, "edit accepted", "An operator's edit was written to the store."},
	{EditRefused, zap.InfoLevel, "edit refused", "An operator's edit was not written; the event contains the reason."},
	{PeerSuspect, zap.WarnLevel, "peer suspect", "The peer's heartbeats are overdue. Its records are not taken over yet."},
	{PeerDead, zap.WarnLevel, "peer dead", "No heartbeat arrived within the failure timeout. The peer's records are taken over."},
	{PeerJoined, zap.InfoLevel, "peer joined", "A new entry instance, or a new incarnation of one, has joined."},
	{PeerLeaving, zap.InfoLevel, "peer leaving", "The peer accepts no new requests."},
	{ViewInstalled, zap.InfoLevel, "view installed", "The instances agreed on a new set of replicas, which record the claims of calls that must not be repeated."},
	{ClaimsUncertain, zap.WarnLevel, "claims may have been lost", "Most replicas of some shards failed at the same time. Until the retention period has passed, repeated calls of these shards that must not run twice are answered with may_have_run."},
	{RequestFailed, zap.InfoLevel, "request failed", "The final answer to a request was an error."},
	{StreamResumed, zap.InfoLevel, "stream resumed", "A stream that broke off at an endpoint (server) is resumed at another one. version is the software version of the endpoint that failed. With peer, the endpoint was reached through another instance, which broke off. parts are the IDs of the parts of the prompt that other requests may share."},
	{RecordTakenOver, zap.WarnLevel, "record taken over", "The owner of a request record failed; this instance continues the request."},
	{RecordHandedOver, zap.InfoLevel, "record handed over", "An owner that is leaving handed a request over to this instance."},
	{RecordLost, zap.ErrorLevel, "record lost", "Both holders of an accepted request are gone. The caller gets an error."},
	{OutcomeUnknown, zap.ErrorLevel, "outcome unknown", "A call that must not be repeated may have run; it is not run again. Check with the service."},
	{ForwardAnswered, zap.InfoLevel, "request answered", "The answer of an endpoint was forwarded completely. servers lists the endpoints that the request was sent to, config is the configuration version that applied, and config_age is the time between the last confirmation that this version was the newest and the arrival of the request. parts are the IDs of the parts of the prompt that other requests may share. Of a stream, framing is what marked the end of the endpoint's response (length, chunks or connection), events is the number of events passed on, first_event and last_event are IDs of them, repeated is the number of events that were not passed on as the client had them, and left_out how many numbers between two IDs no event had."},
	{ForwardRefused, zap.InfoLevel, "request refused", "This instance gave the final answer; why is the reason. may_have_run tells whether an endpoint may have run the request."},
	{StreamBroken, zap.WarnLevel, "answer broken off", "An endpoint failed in the middle of its answer and no other could continue it. The client's connection was closed, so that the client does not take the answer for complete."},
	{ClientDisconnected, zap.InfoLevel, "client disconnected", "The client closed its connection. The request was cancelled at the endpoint."},
	{ForwardProxied, zap.InfoLevel, "request served by another instance", "This instance has no path to an endpoint of the service, and another one (peer) gave the response. Its log has the endpoints and the reason of a refusal, under the same request."},
	{ProxyRefused, zap.InfoLevel, "request not taken by another instance", "Another instance (peer) was asked to serve a request and refused, or did not answer in time. Nothing of the request was sent to it; the next instance is asked. The instance is not asked again for this service for a moment, longer after each refusal."},
	{ProxiedAccepted, zap.InfoLevel, "request of another instance accepted", "Another instance (peer) has no path to an endpoint for a request, which this instance serves. open is the number of such requests at this instance."},
	{StreamResumedByClient, zap.InfoLevel, "stream resumed by a client", "A client requests the rest of a stream, after the event that it names (after). stream is the ID of the request that the first event came with. The rest comes from endpoints of version only; source tells how it is known that the stream began there; asked, answers and silent are as in 419."},
	{StreamOriginUnknown, zap.WarnLevel, "origin of a stream unknown", "A client requests the rest of a stream (stream), and it is not known at which version it began: no instance that was asked has a record, and each of versions may have begun it, or others. The request is refused, as not run. asked is the number of instances that were asked, answers that of those that answered; silent names some of the others."},
	{EndpointEndedDuringRequest, zap.WarnLevel, "endpoint ended during a request", "The endpoint ended while it ran the request with this fingerprint, as observed by this instance or another one. At most one of the requests that it ran is the cause. ends is the number of endpoints that have ended under this request since it last completed."},
	{Quarantined, zap.WarnLevel, "request quarantined", "Endpoints repeatedly ended while they ran the request with this fingerprint. It does not run until the given time, whatever its ID."},
	{EndpointEndedDuringPart, zap.WarnLevel, "endpoints ended during requests with a part", "Two or more endpoints (ends) have ended while they ran requests whose prompts have this part, before they began an answer, and since an answer was last begun on it. The part is kept back until an answer is begun on it: requests with it run one at a time."},
	{PartQuarantined, zap.WarnLevel, "part of prompts quarantined", "Endpoints (servers) ended while they ran requests with this part of their prompt, and nothing else that ran there explains it. No request with the part runs until the given time, whatever else it holds."},
	{QuarantineLifted, zap.InfoLevel, "quarantine lifted", "An operator allowed the request with this fingerprint to run again, or requests with this part of their prompt."},
	{SuspicionCleared, zap.InfoLevel, "request no longer suspect", "The request completed at this instance or another one, an endpoint began an answer on the part of prompts, or an operator lifted its quarantine. server is the endpoint that answered this instance; it is empty if another instance or an operator reported it. ends is the number of ends that no longer count."},
	{ServiceScheduled, zap.InfoLevel, "service scheduled with load reports", "Endpoints of the service report their slowdown. From now on this instance uses their load reports, and requests may be refused for lack of capacity, as far as the settings in [overload] enable it."},
	{ServiceUnscheduled, zap.WarnLevel, "service no longer scheduled with load reports", "No endpoint of the service has reported a slowdown for 10 s. The service is served as without overload control: no request is refused for lack of capacity. Expected if the service has no requests; otherwise check the endpoints' responses."},
	{AccountOverShare, zap.InfoLevel, "client account over its fair share", "This hub admits requests of the client account with less priority, because the account demands more of the service than its fair share. share and demand are in work per second as this hub sees it, and weight is the account's weight. At most one line per account and second."},
	{AccountWithinShare, zap.InfoLevel, "client account within its fair share again", "The client account demands no more of the service than its fair share at this hub."},
	{LeaseAcquired, zap.InfoLevel, "leader lease acquired", "This instance now leads the fleet: it reports usage and orders endpoints. until is the time at which it stops acting as leader unless it renews its lease."},
	{LeaseLost, zap.InfoLevel, "leader lease lost", "This instance no longer leads the fleet; why is the reason. Another instance takes over once the lease has expired."},
	{UsageReported, zap.InfoLevel, "usage reported", "The platform accepted the usage counts of a window."},
	{UsageReportFailed, zap.WarnLevel, "usage not reported", "The usage counts of a window could not be reported in time."},
	{EndpointsOrdered, zap.InfoLevel, "endpoints ordered", "The platform accepted an order of endpoints for a hall; the event contains the inputs of the decision."},
	{EndpointOrderRefused, zap.WarnLevel, "order of endpoints refused", "The platform refused an order of endpoints; the planner tries another hall."},
	{RolloutOrdered, zap.InfoLevel, "roll-out ordered", "The operators ordered a service to move to the version target; order is the revision of their order."},
	{RolloutPhaseApplied, zap.InfoLevel, "roll-out phase applied", "This instance now applies this phase of a roll-out. On trial, a small share of the requests goes to the target; in the shift phase, all new requests do; after that, either only the target is used or it is not used at all."},
	{RolloutPhaseWritten, zap.InfoLevel, "roll-out phase written", "This instance wrote a new phase to the store, with the status for the operators. why is the reason. seen, ended and failed count the requests at the target over all instances. evidence is the evidence against the target (4 or more means that it is bad), with the signal that it is based on."},
	{RolloutFigures, zap.InfoLevel, "roll-out figures", "The figures of a roll-out in progress, logged once a second by the instance that leads it."},
	{RolloutWriteFailed, zap.WarnLevel, "roll-out phase not written", "The store did not accept the new phase of a roll-out; the write is retried."},
	{RolloutInvalid, zap.ErrorLevel, "roll-out not readable", "An order or a record of a roll-out could not be decoded; the previous one stays in force."},
	{SettingsReloaded, zap.InfoLevel, "settings reloaded", "The settings file was read again after a signal or a change."},
	{ConfigInForce, zap.InfoLevel, "configuration in force", "This instance now applies this version of the configuration."},
	{ConfigRejected, zap.ErrorLevel, "configuration rejected", "The store holds a configuration that cannot be used. The previous version stays in force; once it may be out of date, requests with keys are refused."},
	{ConfigStale, zap.WarnLevel, "configuration not confirmed", "For some time no read has confirmed that the configuration in force is the newest. Requests that need a key are refused."},
	{ConfigConfirmed, zap.InfoLevel, "configuration confirmed again", "A read has confirmed which configuration is the newest."},
	{DirectorySlotClaimed, zap.InfoLevel, "slot of the directory claimed", "This instance claimed a slot of the directory, the list of instances that read the store for those that start. held tells whether it got the slot; replaces, whether the slot was held before, by an instance that did not answer or by an earlier run of this one."},
	{StoreSourceChanged, zap.InfoLevel, "source of store data changed", "This instance now reads the store itself (directly is true) or through the hubs of its fleet. Only a large fleet has hubs; an instance without an available hub reads the store itself for a while. standby is the instance through which it reads while the hubs cannot read the store; stands_in tells whether this instance reads the store for others in that case."},
	{WatchMissedChange, zap.WarnLevel, "store watch missed a change", "Another instance knows of a change of an endpoint that this one has not received. The watches are restarted."},
	{OlderConfigIgnored, zap.WarnLevel, "older configuration ignored", "The store returned the configuration at a revision below that of the one in force (in_hand), which stays in force. The answer was delayed."},
	{StoreRestored, zap.WarnLevel, "store restored from a backup", "The store is in a later era than before. Versions in force and leaving endpoints are kept. What operators and endpoints write again is accepted, although revision numbers are reused."},
	{FrontEndpointJoined, zap.InfoLevel, "endpoint joined", "The endpoint accepts requests."},
	{FrontEndpointLeaving, zap.InfoLevel, "endpoint leaving", "The endpoint gets no new requests."},
	{FrontEndpointGone, zap.InfoLevel, "endpoint gone", "The endpoint's entry was removed from the store; the endpoint gets no new requests."},
	{FrontEndpointLapsed, zap.WarnLevel, "endpoint entry lapsed", "The entry was removed while the store had problems. The endpoint stays in use for a short time, until the removal is accepted."},
	{FrontEndpointInvalid, zap.WarnLevel, "endpoint entry invalid", "The entry describes no usable endpoint, for the reason given: it cannot be decoded, or a field is missing, of the wrong type or out of range. Logged once for each change (revision). The endpoint gets no new requests until the entry is valid; requests that run there continue."},
	{FrontEndpointRestarted, zap.InfoLevel, "endpoint restarted", "A later incarnation of the endpoint accepts requests. Its ID ends with the Unix time of its start in milliseconds. State recorded for the previous incarnation does not apply to it."},
	{FrontEndpointWithheld, zap.WarnLevel, "endpoint withheld", "The entry names an older incarnation of the endpoint than the newest known one, or names none, as after a delayed write or a write by another writer. The endpoint gets no new requests. An older incarnation is accepted once the entry has been unchanged for 5 s."},
	{FrontEndpointReportedLeaving, zap.InfoLevel, "endpoint reported that it is leaving", "An answer of the endpoint says that it is leaving. It gets no new requests from this instance from now on, whatever the store says. listed tells whether the store still listed it as accepting requests."},
	{FrontEndpointBackoff, zap.InfoLevel, "endpoint requested a backoff", "The endpoint rejected a request and asked this instance to send none until the given time. Logged once for each backoff."},
	{FrontEndpointRateLimit, zap.InfoLevel, "rate limit of an endpoint changed", "The endpoint (server) accepts this number of requests per second (to, if limited is true) from all instances together. by_peer tells that another instance reported the limit, and not an answer to this one."},
	{OlderEndpointIgnored, zap.InfoLevel, "older endpoint entry ignored", "The entry was read at a revision below one already known for the endpoint, and had no effect."},
	{PathsLost, zap.WarnLevel, "paths to endpoints lost", "This instance can connect to none of the endpoints, while it still counts as part of the fleet. Other instances serve its requests. in_row tells whether it concludes this from several failures in a row, before it has tried all endpoints. If the others report the same, the endpoints are down; otherwise check the network of this instance."},
	{PathsRestored, zap.InfoLevel, "paths to endpoints restored", "This instance can connect to endpoints again. unreachable is the number of those that it still cannot connect to, and for is the time since the paths were lost."},
	{ServiceBrittle, zap.WarnLevel, "endpoints of a service are brittle", "The endpoints of the service state that they fall over after more than most rejections in a second, or, with most 0, that they no longer do. Meanwhile each instance keeps to its share of their slots, and requests beyond it are limited; others are refused at once."},
	{InstanceJoined, zap.InfoLevel, "instance joined", "Another instance registered itself, or is reported by others while the store has lost registrations."},
	{InstanceGone, zap.InfoLevel, "instance gone", "The registration of another instance ended and it no longer reports."},
	{InstanceInvalid, zap.WarnLevel, "instance information not readable", "What another instance (peer), or a registration in the store (revision), reports about a running instance could not be decoded and is ignored."},
	{ClockCorrected, zap.WarnLevel, "time of day corrected", "The time of day of this instance is far from that of most others; theirs is used."},
	{EndpointJoined, zap.InfoLevel, "endpoint joined", "The endpoint accepts calls."},
	{EndpointLeaving, zap.InfoLevel, "endpoint leaving", "The endpoint gets no new calls."},
	{EndpointGone, zap.InfoLevel, "endpoint gone", "The endpoint was removed from the list or its deadline passed."},
	{EndpointEjected, zap.WarnLevel, "endpoint ejected", "Consecutive calls to the endpoint failed; it gets no calls for a while."},
	{EndpointBackoff, zap.InfoLevel, "endpoint requested a backoff", "The endpoint rejected a call and asked this instance to send none until the given time. Logged once for each backoff."},
	{EndpointRateLimit, zap.InfoLevel, "rate limit of an endpoint changed", "The endpoint accepts this number of calls per second (to, if limited is true) from all instances together. by_peer tells that another instance reported the limit, and not an answer to this one."},
	{KVMoved, zap.InfoLevel, "KV cache moved", "The KV cache of a stream was imported by another endpoint."},
	{KVMoveFailed, zap.WarnLevel, "KV cache move failed", "The stream continues by recomputing its KV cache."},
	{InvariantBroken, zap.ErrorLevel, "invariant broken", "A guarantee was violated. Report it with the log; a test run counts as failed."},
}

// FieldKey is the key of the log field that holds the number of an event.
const FieldKey = "event"

// Log writes an event with the level and message of its catalogue entry and the given fields.
// It writes nothing for a code that is not in the catalogue.
func Log(l *zap.Logger, c Code, fields ...zap.Field) {
	for _, e := range Catalogue {
		if e.Code != c {
			continue
		}
		if ce := l.Check(e.Level, e.Message); ce != nil {
			ce.Write(append(fields, zap.Int(FieldKey, int(c)))...)
		}
		return
	}
}
