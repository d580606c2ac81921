package front

import (
	"context"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/hub"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
)

// serveMirror answers an instance that reads the store through this one.
func (n *Instance) serveMirror(ctx context.Context, call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	q := call.GetMirror()
	if q.StandIn {
		n.readForOthers(ctx, n.Clock.Now())
	}
	if !n.reading.Load() {
		return fault.New(fault.StepPeer, call.From, fault.KindNotFound, fault.NotRun, "%w", hub.ErrNotCurrent)
	}
	a, err := n.hub.Answer(ctx, q)
	if err != nil {
		return fault.New(fault.StepPeer, call.From, fault.KindNotFound, fault.NotRun, "%w", err)
	}
	a.Callers = int64(n.callers.Record(call.From, n.Clock.Now()))
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Mirror{Mirror: a}})
}
