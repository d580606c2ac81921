package control

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/admit"
	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/route"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Event is an input of the control loop.
type Event interface{ event() }

// TableRead reports a table document read from the store or a peer.
type TableRead struct {
	Stored table.Stored
	From   string
}

// ViewRead reports a view read from the store or a peer.
type ViewRead struct{ View *claim.View }

// InstanceListRead reports the instance list of the platform. The list may be stale.
type InstanceListRead struct{ Instances []platform.Instance }

// NoticesRead reports reclaim notices of the platform.
type NoticesRead struct{ Notices []platform.Notice }

// HeartbeatReceived reports a heartbeat: the state of its sender and of members that
// it knows, the endpoints that started to leave recently, and the usage on the sender.
type HeartbeatReceived struct {
	Members []member.Member
	Leaving []platform.Notice
	From    string
	Usage   []admit.Usage
}

// EndpointReportedLeaving reports that an endpoint announced in an answer that it is
// leaving.
type EndpointReportedLeaving struct{ Endpoint *route.Endpoint }

// Leave makes this instance stop taking new requests. By is the reclaim deadline; it is
// zero for a planned stop.
type Leave struct{ By time.Time }

// tick triggers periodic work.
type tick struct{}

// probe checks that the control loop processes events.
type probe struct{ done chan struct{} }

// membersRequest asks for the current members.
type membersRequest struct{ reply chan []member.Member }

func (TableRead) event()               {}
func (ViewRead) event()                {}
func (InstanceListRead) event()        {}
func (NoticesRead) event()             {}
func (HeartbeatReceived) event()       {}
func (EndpointReportedLeaving) event() {}
func (Leave) event()                   {}
func (tick) event()                    {}
func (probe) event()                   {}
func (membersRequest) event()          {}

// Effect is an output of the control loop that the rest of the process acts on.
type Effect interface{ effect() }

// TableActivated reports that a table revision is in use from now on.
type TableActivated struct{ Revision uint64 }

// ViewActivated reports that a view is in use from now on.
type ViewActivated struct{ View *claim.View }

// MemberChanged reports a change of the state of an entry instance.
type MemberChanged struct{ Change member.Change }

// EndpointJoined reports that an endpoint was added to its pool.
type EndpointJoined struct {
	Endpoint *route.Endpoint
	Kind     platform.Kind
}

// EndpointLeaving reports that an endpoint is leaving and was removed from its pool.
// Deadline is when it stops; it is zero if that is not known.
type EndpointLeaving struct {
	Endpoint *route.Endpoint
	Kind     platform.Kind
	Deadline time.Time
}

// EndpointRemoved reports that an endpoint no longer exists.
type EndpointRemoved struct{ Endpoint *route.Endpoint }

// SelfLeaving reports that this instance is leaving and has to hand over its requests.
// By is the reclaim deadline; it is zero for a planned stop.
type SelfLeaving struct{ By time.Time }

func (TableActivated) effect()  {}
func (ViewActivated) effect()   {}
func (MemberChanged) effect()   {}
func (EndpointJoined) effect()  {}
func (EndpointLeaving) effect() {}
func (EndpointRemoved) effect() {}
func (SelfLeaving) effect()     {}
