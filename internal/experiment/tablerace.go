package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/gateway"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/standin"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// EditTally counts how edits ended, checked against the store's own log.
type EditTally struct {
	Sent       int `json:"sent"`
	Accepted   int `json:"accepted"`
	Conflicted int `json:"conflicted"`
	Refused    int `json:"refused"`
	Unresolved int `json:"unresolved"`
	Wrong      int `json:"wrong"` // said accepted but not in the store's log exactly once, or the other way round
}

// edit asks the i-th entry instance for an edit and returns the status of the
// answer.
func (b *bench) edit(ctx context.Context, i int, e table.Edit) (int, gateway.EditAnswer, error) {
	var a gateway.EditAnswer
	body, err := json.Marshal(gateway.NewEditRequest(e))
	if err != nil {
		return 0, a, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.spec.Entry(b.o.Base, i).Caller.String()+"/operator/edits", bytes.NewReader(body))
	if err != nil {
		return 0, a, err
	}
	req.Header.Set("Authorization", "Bearer "+b.spec.OperatorKey())
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: 15 * time.Second}).Do(req)
	if err != nil {
		return 0, a, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&a)
	}
	return resp.StatusCode, a, err
}

const (
	editEvery   = time.Second
	inForcePoll = 4 * time.Millisecond
	inForceMost = 10 * time.Second
)

// probeTable edits a cell once a second and times until each entry instance
// has the revision in force; it also watches that none goes back.
func (b *bench) probeTable(ctx context.Context, edits bool) {
	for n := 0; ctx.Err() == nil; n++ {
		if !pauseFor(ctx, editEvery) {
			return
		}
		b.seeRevisions(ctx)
		if !edits {
			continue
		}
		e := table.Edit{ID: fmt.Sprintf("bench-%d-%04d", b.o.Seed, n), Op: table.OpSet, Row: table.DefaultRow, Column: table.ColRetryShare, Value: "0." + strconv.Itoa(1+n%8)}
		status, a, err := b.edit(ctx, n%b.spec.Entries, e)
		if err != nil || status != http.StatusOK {
			continue // refused plainly, as while the store is down
		}
		b.timeInForce(ctx, a.Accepted.Revision, time.Now())
	}
}

// timeInForce records for each instance how long after the acceptance it had
// the revision.
func (b *bench) timeInForce(ctx context.Context, revision uint64, accepted time.Time) {
	var all sync.WaitGroup
	for i := range b.spec.Entries {
		all.Go(func() {
			for ctx.Err() == nil && time.Since(accepted) < inForceMost {
				s, err := b.procs.Status(ctx, i)
				if err == nil && s.Revision >= revision {
					b.record(b.table, time.Since(accepted))
					return
				}
				pauseFor(ctx, inForcePoll)
			}
			if ctx.Err() == nil {
				b.record(b.table, time.Since(accepted))
				b.fail("revision %d not in force at entry %d", revision, i)
			}
		})
	}
	all.Wait()
}

// seeRevisions counts instances that went back to a lower revision.
func (b *bench) seeRevisions(ctx context.Context) {
	for i := range b.spec.Entries {
		s, err := b.procs.Status(ctx, i)
		if err != nil {
			continue
		}
		b.mu.Lock()
		if old := b.last[i]; old.instance == s.Instance && s.Revision < old.revision {
			b.report.TableReverts++
		}
		b.last[i] = revisionSeen{s.Instance, s.Revision}
		b.mu.Unlock()
	}
}

const (
	raceOperators = 20
	raceEdits     = 2000
)

// tableRace has 20 operators make 2,000 edits of a few cells at once, while
// the store loses answers, and checks each outcome against the store's log.
func tableRace(ctx context.Context, b *bench, _ time.Duration) {
	if err := b.procs.SetFaults(ctx, standin.Faults{StoreLoseAnswer: 0.05}); err != nil {
		b.fail("faults: %v", err)
	}
	var mu sync.Mutex
	tally := &EditTally{}
	outcome := make(map[string]int) // guarded by mu
	var race sync.WaitGroup
	for op := range raceOperators {
		race.Go(func() {
			rnd := rand.New(rand.NewPCG(b.o.Seed, uint64(op)))
			for n := range raceEdits / raceOperators {
				e := b.raceEdit(rnd, op, n)
				status, _, err := b.edit(context.WithoutCancel(ctx), rnd.IntN(b.spec.Entries), e)
				mu.Lock()
				tally.Sent++
				if err != nil {
					status = 0
				}
				outcome[e.ID] = status
				mu.Unlock()
			}
		})
	}
	race.Wait()
	b.checkRace(context.WithoutCancel(ctx), tally, outcome)
	b.report.Edits = tally
}

// raceEdit draws an edit of one of a few cells; half of them name the value
// that the operator saw some time ago.
func (b *bench) raceEdit(rnd *rand.Rand, op, n int) table.Edit {
	classes := b.spec.Classes
	e := table.Edit{
		ID: fmt.Sprintf("race-%d-%02d-%04d", b.o.Seed, op, n), Op: table.OpSet, Row: classes[rnd.IntN(len(classes))].Name,
		Column: table.ColRetryShare, Value: fmt.Sprintf("0.%d", 1+rnd.IntN(9)),
	}
	if rnd.IntN(2) == 0 {
		e.HasExpected, e.Expected = true, fmt.Sprintf("0.%d", 1+rnd.IntN(9))
	}
	if rnd.IntN(20) == 0 {
		e.Value = "7" // outside the range
	}
	return e
}

// checkRace counts the outcomes and compares them with what the store wrote.
func (b *bench) checkRace(ctx context.Context, t *EditTally, outcome map[string]int) {
	var log []standin.Write
	if err := b.procs.platform(ctx, http.MethodGet, "/store-log", nil, &log); err != nil {
		b.fail("store log: %v", err)
		return
	}
	took := make(map[string]map[uint64]bool) // revisions of the table by edit
	for _, w := range log {
		if w.Key != platform.KeyTable {
			continue
		}
		doc, err := table.Decode([]byte(w.Value))
		if err != nil || len(doc.Recent) == 0 {
			continue
		}
		a := doc.Recent[len(doc.Recent)-1]
		if took[a.Edit.ID] == nil {
			took[a.Edit.ID] = make(map[uint64]bool)
		}
		took[a.Edit.ID][a.Revision] = true
	}
	for id, status := range outcome {
		n := len(took[id])
		switch status {
		case http.StatusOK:
			t.Accepted++
			if n != 1 {
				t.Wrong++
			}
		case http.StatusConflict:
			t.Conflicted++
			t.Wrong += n
		case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusServiceUnavailable:
			t.Refused++
			t.Wrong += n
		default:
			t.Unresolved++
		}
	}
}
