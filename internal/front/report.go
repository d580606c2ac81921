package front

import (
	"context"
	"fmt"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/tally"
)

// Times of reports to a hub.
const (
	reportEvery   = 300 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	reporterRests = 800 * time.Millisecond // a hub that did not answer is not reported to
)

// digestNode is the name under which the word of all others is kept, whichever hub
// told it.
const digestNode = "/digest"

// reporter reports what this instance counts to a hub. It belongs to the goroutine
// that shares soft state.
type reporter struct {
	node  *Node
	runs  map[string]int64     // newest known run of each hub
	rests map[string]time.Time // hubs that did not answer, until when
}

func newReporter(n *Node) *reporter {
	return &reporter{node: n, runs: make(map[string]int64), rests: make(map[string]time.Time)}
}

// report reports to the first hub that answers. After that no other is asked: each
// count belongs to one group.
func (r *reporter) report(ctx context.Context, hubs *topology) {
	for _, hub := range hubs.hubs {
		if time.Now().Before(r.rests[hub.name]) {
			continue
		}
		if err := r.to(ctx, hub); err == nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.rests[hub.name] = time.Now().Add(reporterRests)
	}
}

// to reports to a hub. One that was started anew is told once more, for its counts
// begin anew as well.
func (r *reporter) to(ctx context.Context, hub member) error {
	for range 2 {
		run := tally.Source{Instance: hub.name, Incarnation: r.runs[hub.name]}
		d, err := r.call(ctx, hub, run)
		if err != nil {
			return err
		}
		if d.Counted {
			return nil
		}
		r.runs[hub.name] = d.Incarnation
	}
	return fault.New(fault.StepPeer, hub.name, fault.KindBroken, fault.NotRun, "the hub was started anew twice")
}

// call sends one report, and takes its answer if the hub counted it.
func (r *reporter) call(ctx context.Context, hub member, run tally.Source) (*peerpb.Digest, error) {
	n := r.node
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	units, runs := n.offerTo(run)
	call := &peerpb.Call{Body: &peerpb.Call_Report{Report: &peerpb.Report{
		HubIncarnation: run.Incarnation, Windows: n.reading.Load(), Share: n.reportShare(units, runs, time.Now()),
	}}}
	a, err := n.peers.Call(ctx, hub.addr, call)
	if err != nil {
		return nil, fmt.Errorf("report to %s: %w", hub.name, err)
	}
	d := a.GetDigest()
	if d == nil {
		return nil, fault.New(fault.StepPeer, hub.name, fault.KindBroken, fault.NotRun, "answered with %T", a.Body)
	}
	if d.Counted {
		n.takeDigest(run, units, runs, d, time.Now())
	}
	return d, nil
}

// offerTo returns the counts that a hub is to be told.
func (n *Node) offerTo(hub tally.Source) (unitCounts, runCounts) {
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.book.units.Offer(hub, a.quota.Admitted()), a.book.runs.Offer(hub, n.openRuns())
}

// reportShare is what an instance tells its hub.
func (n *Node) reportShare(units unitCounts, runs runCounts, now time.Time) *peerpb.Share {
	return &peerpb.Share{
		Node: n.Settings.Name, Incarnation: n.incarnation(), Wall: n.clock.Own(now).UnixNano(),
		Accounts: accountShares(units, nil, runs), Servers: useShares(n.plainUses()),
		Services: n.serviceShares(n.tracker.Demand(now)),
	}
}

// takeDigest takes what a hub tells of all others, after it confirmed this instance's
// own counts.
func (n *Node) takeDigest(hub tally.Source, units unitCounts, runs runCounts, d *peerpb.Digest, now time.Time) {
	n.state.members.heard(hub.Instance, now)
	for _, name := range d.Alive {
		n.state.members.heard(name, now)
	}
	if n.reading.Load() {
		n.heardNews(hub.Instance, d.ServersAt, now)
	}
	for _, g := range d.Groups {
		n.heardClock(g.Hub, g.Wall, now)
	}
	demand, lessons := serviceNews(d.Services)
	news := balance.News{Uses: usesOf(d.Servers), Demand: demand, Lessons: lessons}
	n.tracker.Heard(digestNode, news, now.Add(believeLeast), now)
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.book.units.Confirmed(hub, units)
	a.book.runs.Confirmed(hub, runs)
	for _, g := range d.Groups {
		n.takeDigestGroup(hub, g, d, now)
	}
}

// takeDigestGroup takes the counts of one group. The caller holds the admission's mu.
func (n *Node) takeDigestGroup(hub tally.Source, g *peerpb.Group, d *peerpb.Digest, now time.Time) {
	news := quota.News{Admitted: make(map[string]float64, len(d.Accounts)), Stands: int(g.Stands)}
	for i, units := range g.Admitted {
		if i < len(d.Accounts) {
			news.Admitted[d.Accounts[i]] = float64(units)
		}
	}
	from := tally.Source{Instance: g.Hub, Incarnation: g.Incarnation}
	if from == hub {
		news.Stands-- // this instance is in it
		news.Seasoned, news.Levels = d.Seasoned, digestLevels(d)
	}
	n.takeGroup(from, news, now)
	if len(g.Windows) > 0 {
		_, _, runs := accountCounts(g.Windows)
		n.admission.book.usage.Heard(groupOf(g.Hub), g.Incarnation, windowsOf(runs))
	}
}

// digestLevels returns the levels of a digest, by account.
func digestLevels(d *peerpb.Digest) map[string]float64 {
	levels := make(map[string]float64, len(d.Accounts))
	for i, name := range d.Accounts {
		if i < len(d.Levels) && i < len(d.Limited) && d.Limited[i] {
			levels[name] = float64(d.Levels[i])
		}
	}
	return levels
}
