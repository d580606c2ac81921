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

const reportInterval = 150 * time.Millisecond

// reportCursor is the position in one endpoint's cache events. Only one call at a time uses it.
type reportCursor struct {
	since int // number of the next cache event to read
}

// pollReports polls the load and the cache events of each model engine until ctx ends, in longer
// intervals in a larger fleet. Engines that requested a backoff are left out.
//
// TODO: every instance polls every engine, which does not scale to 330 instances;
// docs/CAPACITY.md names the replacement.
func (i *Instance) pollReports(ctx context.Context) error {
	polls := make(map[*route.Endpoint]*reportCursor)
	calls := inflight.New[*route.Endpoint]()
	var wait sync.WaitGroup
	defer wait.Wait()
	for ctx.Err() == nil {
		s := i.loop.Snapshot()
		current := make(map[*route.Endpoint]*reportCursor, len(polls))
		for _, e := range modelEndpoints(s) {
			p := polls[e]
			if p == nil {
				p = &reportCursor{}
			}
			current[e] = p
			if e.InBackoff(i.opts.Clock.Now()) || !calls.Begin(e) {
				continue
			}
			wait.Go(func() {
				defer calls.End(e)
				i.readReport(ctx, e, p)
			})
		}
		polls = current
		sleep(ctx, reportInterval*time.Duration(1+len(s.Members)/member.FullMeshLimit))
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

func (i *Instance) readReport(ctx context.Context, e *route.Endpoint, p *reportCursor) {
	mark, at := e.PendingTokens(), i.opts.Clock.Now()
	rep, err := i.endpoints.Report(ctx, e.Addr, p.since, i.relay.Observer(e))
	if err != nil {
		return // routing adds a penalty to an endpoint whose last report is old
	}
	l := route.Load{At: at, Running: rep.Running, PromptTokenTime: time.Duration(rep.PerTokenUs) * time.Microsecond, TokenInterval: time.Duration(rep.StepUs) * time.Microsecond}
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
