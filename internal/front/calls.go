package front

import (
	"context"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
)

// Handle implements peer.Handler. It dispatches a call of another instance by its type.
func (n *Instance) Handle(ctx context.Context, call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	switch body := call.Body.(type) {
	case *peerpb.Call_Share:
		return n.serveShare(body.Share, answer)
	case *peerpb.Call_Report:
		return n.serveReport(call, answer)
	case *peerpb.Call_Mirror:
		return n.serveMirror(ctx, call, answer)
	case *peerpb.Call_FetchConfig:
		return n.serveConfig(answer)
	case *peerpb.Call_Place:
		return n.placer.servePlace(call, answer)
	case *peerpb.Call_Suspects:
		n.suspects.apply(body.Suspects)
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
	case *peerpb.Call_Permit:
		return n.suspects.servePermit(call, answer)
	case *peerpb.Call_Origins:
		return n.streams.ServeOrigins(body.Origins, answer)
	case *peerpb.Call_FindOrigin:
		return n.streams.ServeFind(ctx, body.FindOrigin, answer)
	case *peerpb.Call_Notes:
		return n.placer.serveNotes(body.Notes.GetNotes(), answer)
	}
	return fault.New(fault.StepPeer, call.From, fault.KindInput, fault.NotRun, "unsupported call type %T", call.Body)
}
