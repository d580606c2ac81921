package experiment

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/deployment"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/standin"
	"github.com/shelfcrank/shelfcrank/internal/traffic"
)

// DemoReport holds the counts of a demo run, taken by the callers and the
// stand-ins.
type DemoReport struct {
	Deployment    string   `json:"deployment"`
	Entries       int      `json:"entries"`
	Sent          int      `json:"sent"`
	Answered      int      `json:"answered"`
	Late          int      `json:"late"`
	Failed        int      `json:"failed"`
	Lost          int      `json:"lost"`
	Doubled       int      `json:"doubled"`
	WrongAnswer   int      `json:"wrong_answer"`
	SentToLeaving int      `json:"sent_to_leaving_after_5s"`
	KVMoves       int      `json:"kv_moves"`
	Resumes       int      `json:"resumes"`
	ReclaimedHall string   `json:"reclaimed_hall"`
	Errors        []string `json:"errors,omitempty"`
}

// OK reports whether requests were sent and none was lost, executed twice or
// answered wrongly.
func (r DemoReport) OK() bool {
	return r.Lost == 0 && r.Doubled == 0 && r.WrongAnswer == 0 && r.Sent > 0
}

const (
	demoDuration      = 6 * time.Second
	demoReclaimNotice = 1500 * time.Millisecond
	demoEntries       = 4
	demoScale         = 0.4
)

// Demo runs a deployment in this process with scaled-down traffic, reclaims a
// hall a third of the way through, and returns the counts.
func Demo(ctx context.Context, name string, base int, log *zap.Logger) (DemoReport, error) {
	spec, err := deployment.Load(name)
	if err != nil {
		return DemoReport{}, err
	}
	spec.Entries = demoEntries
	tcp := netx.TCP{}
	e, err := StartEmbedded(EmbeddedOptions{Spec: spec, Base: base, Site: func(string) netx.Network { return tcp }, Log: log, Seed: 1})
	if err != nil {
		return DemoReport{}, err
	}
	defer e.Stop()
	transport := netx.Transport(tcp)
	b := traffic.NewBalancer(transport, e.Callers(), 1)
	if err := WaitReady(ctx, b, spec.Entries); err != nil {
		return DemoReport{}, err
	}
	if err := e.WaitView(); err != nil {
		return DemoReport{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.Run(ctx)
	hall := spec.Halls[0]
	start := time.Now()
	time.AfterFunc(demoDuration/3, func() { e.World.ReclaimHall(hall, time.Now().Add(demoReclaimNotice), true) })
	load := traffic.NewLoad(spec, traffic.NewClient(transport, b), 1, func(string) float64 { return demoScale })
	t := load.Run(ctx, start.Add(demoDuration))
	return demoReport(spec, hall, t, e.World.Truth()), nil
}

func demoReport(spec *deployment.Spec, hall string, t *traffic.Tally, truth standin.Truth) DemoReport {
	return DemoReport{
		Deployment: spec.Name, Entries: spec.Entries, ReclaimedHall: hall,
		Sent: t.Sent, Answered: t.Answered, Late: t.Late, Failed: t.Failed, Lost: t.Lost,
		WrongAnswer: t.WrongAnswer, Resumes: t.Resumes, Errors: t.Errors,
		Doubled: truth.Doubled, SentToLeaving: truth.SentToLeavingAfter5, KVMoves: truth.KVMoves,
	}
}

// Text returns the report as human-readable text.
func (r DemoReport) Text() string {
	return fmt.Sprintf(`%s: %d entry instances; hall %s reclaimed midway, its entry instances too
  sent %d: answered %d, late %d, failed %d
  lost %d, doubled %d, wrong answers %d
  resumed by callers %d times, KV caches moved %d
`, r.Deployment, r.Entries, r.ReclaimedHall, r.Sent, r.Answered, r.Late, r.Failed, r.Lost, r.Doubled, r.WrongAnswer, r.Resumes, r.KVMoves)
}
