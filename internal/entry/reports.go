package entry

import (
	"context"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/inflight"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/route"
)

const reportEvery = 150 * time.Millisecond

// poll is the reading of one endpoint's reports; one call at a time uses it.
type poll struct {
	since int // number of the next cache event
}

// readReports asks each endpoint for its load and cache events.
//
// TODO: every instance asks every endpoint, which is right for today's fleet
// and not for 330 instances; docs/CAPACITY.md names what has to replace it.
func (i *Instance) readReports(ctx context.Context) error {
	polls := make(map[*route.Endpoint]*poll)
	calls := inflight.New[*route.Endpoint]()
	var wait sync.WaitGroup
	defer wait.Wait()
	for ctx.Err() == nil {
		s := i.loop.Snapshot()
		current := make(map[*route.Endpoint]*poll, len(polls))
		for _, e := range modelEndpoints(s) {
			p := polls[e]
			if p == nil {
				p = &poll{}
			}
			current[e] = p
			if e.AskedForRest(i.opts.Clock.Now()) || !calls.Begin(e) {
				continue
			}
			wait.Go(func() {
				defer calls.End(e)
				i.readReport(ctx, e, p)
			})
		}
		polls = current
		sleep(ctx, reportEvery*time.Duration(1+len(s.Members)/member.FullMesh))
	}
	return ctx.Err()
}

func modelEndpoints(s *control.Snapshot) []*route.Endpoint {
	var out []*route.Endpoint
	for _, pool := range s.Models {
		for _, hall := range pool.Halls {
			out = append(out, hall.Endpoints...)
		}
	}
	return out
}

func (i *Instance) readReport(ctx context.Context, e *route.Endpoint, p *poll) {
	mark, at := e.Mark(), i.opts.Clock.Now()
	rep, err := i.endpoints.Report(ctx, e.Addr, p.since, i.relay.Observer(e))
	if err != nil {
		return // an old report makes the endpoint suspect
	}
	l := route.Load{At: at, Running: rep.Running, PerToken: time.Duration(rep.PerTokenUs) * time.Microsecond, Step: time.Duration(rep.StepUs) * time.Microsecond}
	copy(l.QueuedTokens[:], rep.QueuedTokens)
	e.Report(l, mark)
	for _, ev := range rep.Events {
		if ev.Evicted {
			e.Blocks.Remove(ev.Block)
		} else {
			e.Blocks.Add(ev.Block)
		}
	}
	p.since = rep.First + len(rep.Events)
}
