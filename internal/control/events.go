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

// Event is something that the control goroutine takes note of.
type Event interface{ event() }

// TableRead brings a table document from the store or a peer.
type TableRead struct {
	Stored table.Stored
	From   string
}

// ViewRead brings a view from the store or a peer.
type ViewRead struct{ View *claim.View }

// ListRead brings the platform's instance list.
type ListRead struct{ Instances []platform.Instance }

// NoticesRead brings reclaim notices.
type NoticesRead struct{ Notices []platform.Notice }

// HeartbeatReceived brings updates of entry instances and what their sender knows.
type HeartbeatReceived struct {
	Members []member.Member
	Leaving []platform.Notice
	From    string
	Usage   []admit.Usage
}

// Refused says that an endpoint said in an answer that it is leaving.
type Refused struct{ Endpoint *route.Endpoint }

// Leave makes this instance take no new requests. By is zero for a planned stop.
type Leave struct{ By time.Time }

// tick makes time pass.
type tick struct{}

// probe asks whether the control goroutine is alive.
type probe struct{ done chan struct{} }

// status asks for the members as they are right now.
type status struct{ reply chan []member.Member }

func (TableRead) event()         {}
func (ViewRead) event()          {}
func (ListRead) event()          {}
func (NoticesRead) event()       {}
func (HeartbeatReceived) event() {}
func (Refused) event()           {}
func (Leave) event()             {}
func (tick) event()              {}
func (probe) event()             {}
func (status) event()            {}

// Effect is something that the rest of the process has to act on.
type Effect interface{ effect() }

// TableInForce says that a revision is decided by from now on.
type TableInForce struct{ Revision uint64 }

// ViewInForce says that a view was adopted.
type ViewInForce struct{ View *claim.View }

// MemberChanged says that an entry instance changed its state.
type MemberChanged struct{ Change member.Change }

// EndpointJoined says that an endpoint takes work.
type EndpointJoined struct {
	Endpoint *route.Endpoint
	Kind     platform.Kind
}

// EndpointLeaving says that an endpoint gets no new work. Deadline is when it
// goes; zero when that is not known.
type EndpointLeaving struct {
	Endpoint *route.Endpoint
	Kind     platform.Kind
	Deadline time.Time
}

// EndpointGone says that an endpoint is no more.
type EndpointGone struct{ Endpoint *route.Endpoint }

// SelfLeaving says that this instance has to hand over what it holds.
type SelfLeaving struct{ By time.Time }

func (TableInForce) effect()    {}
func (ViewInForce) effect()     {}
func (MemberChanged) effect()   {}
func (EndpointJoined) effect()  {}
func (EndpointLeaving) effect() {}
func (EndpointGone) effect()    {}
func (SelfLeaving) effect()     {}
