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

// EditTally counts the outcomes of edits as answered to the operators, and those
// that contradict the store's log.
type EditTally struct {
	Sent       int `json:"sent"`
	Accepted   int `json:"accepted"`
	Conflicted int `json:"conflicted"`
	Refused    int `json:"refused"`
	Unresolved int `json:"unresolved"`
	Wrong      int `json:"wrong"` // accepted but not in the store's log exactly once, or rejected but in the log
}

// postEdit sends an edit to the i-th entry instance and returns the HTTP status
// and, if it was accepted, the decoded response.
func (b *benchRun) postEdit(ctx context.Context, i int, e table.Edit) (int, gateway.EditAnswer, error) {
	var a gateway.EditAnswer
	body, err := json.Marshal(gateway.NewEditRequest(e))
	if err != nil {
		return 0, a, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.spec.EntrySettings(b.o.Base, i).Caller.String()+"/operator/edits", bytes.NewReader(body))
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
	editInterval        = time.Second
	inForcePollInterval = 4 * time.Millisecond
	inForceTimeout      = 10 * time.Second
)

// probeTable checks once a second that no instance has gone back to a lower table
// revision. With edits set it also edits a cell each time and measures how long
// it takes until each entry instance has the new revision in force.
func (b *benchRun) probeTable(ctx context.Context, edits bool) {
	for n := 0; ctx.Err() == nil; n++ {
		if !sleepUnlessDone(ctx, editInterval) {
			return
		}
		b.countReverts(ctx)
		if !edits {
			continue
		}
		e := table.Edit{ID: fmt.Sprintf("bench-%d-%04d", b.o.Seed, n), Op: table.OpSet, Row: table.DefaultRow, Column: table.ColRetryShare, Value: "0." + strconv.Itoa(1+n%8)}
		status, a, err := b.postEdit(ctx, n%b.spec.Entries, e)
		if err != nil || status != http.StatusOK {
			continue // rejected, for example while the store is down
		}
		b.recordTimeToInForce(ctx, a.Accepted.Revision, time.Now())
	}
}

// recordTimeToInForce records for each instance how long after the acceptance of
// an edit it had the revision in force. A time-out is recorded with the time
// waited and adds an error.
func (b *benchRun) recordTimeToInForce(ctx context.Context, revision uint64, accepted time.Time) {
	var all sync.WaitGroup
	for i := range b.spec.Entries {
		all.Go(func() {
			for ctx.Err() == nil && time.Since(accepted) < inForceTimeout {
				s, err := b.procs.Status(ctx, i)
				if err == nil && s.Revision >= revision {
					b.record(b.timeToInForce, time.Since(accepted))
					return
				}
				sleepUnlessDone(ctx, inForcePollInterval)
			}
			if ctx.Err() == nil {
				b.record(b.timeToInForce, time.Since(accepted))
				b.addError("revision %d not in force at entry %d", revision, i)
			}
		})
	}
	all.Wait()
}

// countReverts reads the revision of each entry instance and counts those that
// went back to a lower one since the last call.
func (b *benchRun) countReverts(ctx context.Context) {
	for i := range b.spec.Entries {
		s, err := b.procs.Status(ctx, i)
		if err != nil {
			continue
		}
		b.mu.Lock()
		if old := b.lastRevisions[i]; old.instance == s.Instance && s.Revision < old.revision {
			b.report.TableReverts++
		}
		b.lastRevisions[i] = observedRevision{s.Instance, s.Revision}
		b.mu.Unlock()
	}
}

const (
	raceOperators = 20
	raceEdits     = 2000
)

// tableRace has 20 concurrent operators make 2,000 edits of a few cells, while
// the store loses responses, and checks each outcome against the store's log.
func tableRace(ctx context.Context, b *benchRun, _ time.Duration) {
	if err := b.procs.SetFaults(ctx, standin.Faults{StoreLoseAnswer: 0.05}); err != nil {
		b.addError("faults: %v", err)
	}
	var mu sync.Mutex
	tally := &EditTally{}
	outcome := make(map[string]int) // guarded by mu
	var race sync.WaitGroup
	for op := range raceOperators {
		race.Go(func() {
			rnd := rand.New(rand.NewPCG(b.o.Seed, uint64(op)))
			for n := range raceEdits / raceOperators {
				e := b.randomEdit(rnd, op, n)
				status, _, err := b.postEdit(context.WithoutCancel(ctx), rnd.IntN(b.spec.Entries), e)
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
	b.checkRaceOutcomes(context.WithoutCancel(ctx), tally, outcome)
	b.report.Edits = tally
}

// randomEdit returns a random edit of one of a few cells. Half of the edits expect
// a random old value, as an operator with outdated data does, and one in 20 has a
// value out of range.
func (b *benchRun) randomEdit(rnd *rand.Rand, op, n int) table.Edit {
	classes := b.spec.Classes
	e := table.Edit{
		ID: fmt.Sprintf("race-%d-%02d-%04d", b.o.Seed, op, n), Op: table.OpSet, Row: classes[rnd.IntN(len(classes))].Name,
		Column: table.ColRetryShare, Value: fmt.Sprintf("0.%d", 1+rnd.IntN(9)),
	}
	if rnd.IntN(2) == 0 {
		e.HasExpected, e.Expected = true, fmt.Sprintf("0.%d", 1+rnd.IntN(9))
	}
	if rnd.IntN(20) == 0 {
		e.Value = "7" // out of range
	}
	return e
}

// checkRaceOutcomes counts the outcomes, given as HTTP status by edit ID, and
// compares them with the writes in the store's log.
func (b *benchRun) checkRaceOutcomes(ctx context.Context, t *EditTally, outcome map[string]int) {
	var log []standin.Write
	if err := b.procs.callPlatform(ctx, http.MethodGet, "/store-log", nil, &log); err != nil {
		b.addError("store log: %v", err)
		return
	}
	took := make(map[string]map[uint64]bool) // table revisions that hold an edit as their latest one, by edit ID
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
