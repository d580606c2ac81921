package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/gateway"
	"github.com/shelfcrank/shelfcrank/internal/kv"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/relay"
	"github.com/shelfcrank/shelfcrank/internal/standin"
	"github.com/shelfcrank/shelfcrank/internal/table"
	"github.com/shelfcrank/shelfcrank/internal/traffic"
)

// runDirected runs a deployment with fixed seed and the faults that inject
// injects. It returns the counts of the callers and of the stand-ins, and the
// violated guarantees.
func runDirected(t *testing.T, name string, sw relay.Switches, inject func(c *chaos, ctx context.Context), system ...table.Cell) (tally *traffic.Tally, truth standin.Truth, violations []string) {
	runVirtual(t, func(t *testing.T) {
		c := newChaos(t, name, 5, sw, system...)
		tally = c.run(5, func(ctx context.Context, _ time.Time) { inject(c, ctx) })
		truth = c.embedded.World.Truth()
		violations = c.checkGuarantees(5, tally)
		c.embedded.Stop()
	})
	return tally, truth, violations
}

// longStreamCount is the number of long streams running when a fault is injected.
// It is several times the number of entry instances, so that each has some.
const longStreamCount = 30

// longStreams starts long streams, calls injectFault, and returns how many
// callers did not get their complete response.
func longStreams(c *chaos, ctx context.Context, injectFault func()) int {
	var mu sync.Mutex
	lost := 0
	var all sync.WaitGroup
	for n := range longStreamCount {
		prompt := fmt.Sprintf("a long story, number %d", n)
		all.Go(func() {
			o := c.client.Do(ctx, traffic.Call{Key: c.spec.Accounts[1].Key, Model: "sale-question", Prompt: prompt, MaxTokens: 700, User: prompt, Deadline: time.Now().Add(40 * time.Second)})
			mu.Lock()
			defer mu.Unlock()
			if !o.Complete || o.Body != standin.Answer(prompt, 700) {
				lost++
			}
		})
	}
	sleepContext(ctx, time.Second)
	injectFault()
	all.Wait()
	return lost
}

// For each mechanism, a run with the mechanism switched off loses streams, while
// the same run with it switched on keeps all guarantees. This shows that the
// mechanism is needed and that the run would detect its failure.
func TestMechanismsAreNeeded(t *testing.T) {
	kill := func(c *chaos, ctx context.Context) func() { return func() { c.killEntry(ctx, 0) } }
	reclaim := func(c *chaos, _ context.Context) func() {
		return func() { c.reclaimHall(c.spec.Halls[0], 1200*time.Millisecond) }
	}
	for _, tt := range []struct {
		name  string
		off   relay.Switches
		fault func(c *chaos, ctx context.Context) func()
	}{
		{"second copy", relay.Switches{NoSecondCopy: true}, kill},
		{"take-over", relay.Switches{NoTakeOver: true}, kill},
		{"handover", relay.Switches{NoHandover: true, NoTakeOver: true}, reclaim},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lost := 0
			inject := func(c *chaos, ctx context.Context) { lost = longStreams(c, ctx, tt.fault(c, ctx)) }
			runDirected(t, "bazaarline", tt.off, inject)
			t.Logf("off: %d of %d long streams lost", lost, longStreamCount)
			is.True(lost > 0) // off: streams are lost
			_, _, violations := runDirected(t, "bazaarline", relay.Switches{}, inject)
			t.Logf("on: %d lost", lost)
			is.Equal(lost, 0) // on: no stream is lost
			is.Equal(violations, nil)
		})
	}
}

// repeatCalls makes calls that must not run twice, each four times concurrently
// under the same idempotency key, through several entry instances. It returns the
// outcomes by request body.
func repeatCalls(c *chaos, ctx context.Context, calls int) (answers map[string][]traffic.Outcome) {
	answers = make(map[string][]traffic.Outcome)
	var mu sync.Mutex
	var all sync.WaitGroup
	_, path, _ := strings.Cut(c.spec.Class("payment").Match, "/")
	for n := range calls {
		body := fmt.Sprintf("charge %d", n)
		for range 4 {
			all.Go(func() {
				o := c.client.Do(ctx, traffic.Call{Key: c.spec.Accounts[1].Key, IdempotencyKey: body, Path: path, Body: body, Deadline: time.Now().Add(8 * time.Second)})
				mu.Lock()
				answers[body] = append(answers[body], o)
				mu.Unlock()
			})
		}
		sleepContext(ctx, 30*time.Millisecond)
	}
	all.Wait()
	return answers
}

func TestRepeatsRunOnceAndGetTheFirstResponse(t *testing.T) {
	for _, tt := range []struct {
		name     string
		sw       relay.Switches
		wantOnce bool
	}{{"with claims", relay.Switches{}, true}, {"without", relay.Switches{NoClaim: true}, false}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			whole := 0
			_, truth, _ := runDirected(t, "bazaarline", tt.sw, func(c *chaos, ctx context.Context) {
				c.wait.Go(func() {
					sleepContext(ctx, time.Second)
					c.killEntry(ctx, 2)
				})
				c.wait.Go(func() { c.injectStoreFault(ctx, 5*time.Second) })
				for body, outcomes := range repeatCalls(c, ctx, 100) {
					for _, o := range outcomes {
						if o.Complete {
							whole++
							if o.Body != standin.ServiceAnswer("payment", body) {
								t.Errorf("%s got the response to another call", body)
							}
						} else if o.RunState != "may_have_run" && tt.wantOnce && c.embedded.World.Runs("payment", body) > 0 && o.RunState == "not_run" {
							t.Errorf("%s ran, but a caller was told not_run", body)
						}
					}
				}
			})
			t.Logf("%d complete responses, %d calls executed twice", whole, truth.Doubled)
			is.Equal(truth.Doubled == 0, tt.wantOnce)
			is.True(whole > 300)
		})
	}
}

func TestMovingCachesSavesRecomputing(t *testing.T) {
	is := is.New(t)
	recomputed := make(map[string]int)
	for _, move := range []string{"true", "false"} {
		_, truth, violations := runDirected(t, "bazaarline", relay.Switches{}, func(c *chaos, ctx context.Context) {
			lost := longStreams(c, ctx, func() {
				c.embedded.World.ReclaimHall(c.spec.Halls[0], time.Now().Add(1500*time.Millisecond), false)
				c.embedded.World.ReclaimHall(c.spec.Halls[1], time.Now().Add(1500*time.Millisecond), false)
			})
			is.Equal(lost, 0)
			is.True(c.logs.FilterMessage(eventMessage(event.StreamResumed)).Len() > 0)
		}, table.Cell{Column: table.ColMoveKV, Value: move})
		is.Equal(violations, nil)
		is.Equal(truth.KVMoves > 0, move == "true")
		recomputed[move] = truth.TokensRecomputed
	}
	t.Logf("recomputed with moves %d, without %d", recomputed["true"], recomputed["false"])
	is.True(recomputed["true"] < recomputed["false"])
}

// operatorCall sends a request to the operator API of an entry instance and
// returns the HTTP status. It decodes the body of a 200 response into out.
func operatorCall(c *chaos, h *http.Client, entry int, method, path string, in, out any) (int, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, "http://"+c.spec.EntrySettings(chaosBasePort, entry).Caller.String()+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+c.spec.OperatorKey())
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}

// Operators edit concurrently while the store loses responses. The store then
// goes down right after the last edit, and an entry instance starts during the
// outage. Every accepted edit must take effect exactly once, and all instances
// must end at the last revision.
func TestTableUnderRacesAndOutage(t *testing.T) {
	is := is.New(t)
	runVirtual(t, func(t *testing.T) {
		c := newChaos(t, "voltra", 9, relay.Switches{})
		transport := netx.Transport(c.mem.Site("client"))
		h := &http.Client{Transport: transport}
		ctx := context.Background()
		is.NoErr(WaitReady(ctx, traffic.NewBalancer(transport, c.embedded.Callers(), 1), c.spec.Entries))
		c.embedded.World.SetFaults(standin.Faults{StoreLoseAnswer: 0.2})
		accepted, conflicts := editConcurrently(c, h)
		is.True(conflicts > 0)
		took := editsInStore(t, c)
		for id, status := range accepted {
			if (status == http.StatusOK) != (took[id] == 1) || took[id] > 1 {
				t.Errorf("edit %s: status %d, took effect %d times", id, status, took[id])
			}
		}
		logged := make(map[string]int)
		for _, l := range c.logs.FilterMessage(eventMessage(event.EditAccepted)).All() {
			id, _ := l.ContextMap()["edit"].(string)
			logged[id]++
		}
		for id, status := range accepted {
			is.Equal(logged[id] == 1, status == http.StatusOK) // each accepted edit is logged once
		}
		c.embedded.World.SetFaults(standin.Faults{StoreDown: true})
		status, err := operatorCall(c, h, 1, http.MethodPost, "/operator/edits", gateway.EditRequest{ID: "while-down-1", Op: "set", Row: "unlock", Column: table.ColPriority, Value: "9"}, nil)
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable) // rejected with a clear status
		is.Equal(c.embedded.StopEntry(3), 0)
		is.NoErr(c.embedded.StartEntry(3)) // it must get the table from a peer
		time.Sleep(5 * time.Second)
		c.embedded.World.SetFaults(standin.Faults{StoreStale: true})
		time.Sleep(5 * time.Second)
		last := latestRevision(c)
		for i := range c.spec.Entries {
			is.Equal(c.embedded.Entry(i).Snapshot().Self.TableRevision, last)
		}
		is.Equal(c.reverts(), 0)
		transport.CloseIdleConnections()
		c.embedded.Stop()
	})
}

const (
	concurrentEditors = 8
	editsPerEditor    = 20
)

// editConcurrently has several operators edit a few cells concurrently through
// all entry instances. It returns the HTTP status by edit ID, 0 for no response,
// and the number of conflicts.
func editConcurrently(c *chaos, h *http.Client) (answers map[string]int, conflicts int) {
	answers = make(map[string]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	rows := []string{"unlock", "receipt", "dispute"}
	for op := range concurrentEditors {
		all.Go(func() {
			for n := range editsPerEditor {
				e := gateway.EditRequest{ID: fmt.Sprintf("racing-%d-%d", op, n), Op: "set", Row: rows[(op+n)%len(rows)], Column: table.ColPriority, Value: fmt.Sprint(1 + n%9)}
				if n%2 == 0 {
					e.HasExpected, e.Expected = true, fmt.Sprint(1+op%9)
				}
				status, err := operatorCall(c, h, (op+n)%c.spec.Entries, http.MethodPost, "/operator/edits", e, &struct{}{})
				mu.Lock()
				if err != nil {
					status = 0
				}
				answers[e.ID] = status
				if status == http.StatusConflict {
					conflicts++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return answers, conflicts
}

// editsInStore returns how often each edit took effect according to the store's
// log, by edit ID.
func editsInStore(t *testing.T, c *chaos) map[string]int {
	t.Helper()
	took := make(map[string]int)
	for _, w := range c.embedded.World.StoreLog() {
		if w.Key != platform.KeyTable {
			continue
		}
		doc, err := table.Decode([]byte(w.Value))
		if err != nil {
			t.Fatal(err)
		}
		if n := len(doc.Recent); n > 0 {
			took[doc.Recent[n-1].Edit.ID]++
		}
	}
	return took
}

// latestRevision returns the highest table revision in the store's log.
func latestRevision(c *chaos) uint64 {
	var last uint64
	for _, w := range c.embedded.World.StoreLog() {
		if w.Key == platform.KeyTable {
			if doc, err := table.Decode([]byte(w.Value)); err == nil {
				last = max(last, doc.Revision)
			}
		}
	}
	return last
}

// When the response to a write is lost, the editor must read the table to find
// out whether the edit took effect, and must not apply it twice.
func TestEditorResolvesLostAnswers(t *testing.T) {
	is := is.New(t)
	s := &lossyStore{value: mustEncode(t, (&table.Document{Revision: 1, Rows: chaosSpec(t, "voltra").InitialTable().Rows}))}
	e := table.NewEditor(s, "table")
	for n := range 20 {
		s.loseNext = n%2 == 0
		edit := table.Edit{ID: fmt.Sprintf("edit-%04d", n), Op: table.OpSet, Row: "unlock", Column: table.ColPriority, Value: fmt.Sprint(n % 10)}
		acc, _, err := e.Apply(context.Background(), edit, 0)
		is.NoErr(err)
		is.Equal(acc.Revision, uint64(n+2)) // each took effect exactly once
	}
}

// lossyStore is a store with one key that loses the response to the next write if
// loseNext is set.
type lossyStore struct {
	value    []byte
	rev      uint64
	loseNext bool
}

func (s *lossyStore) Get(context.Context, string) (kv.Entry, error) {
	return kv.Entry{Value: s.value, Revision: s.rev}, nil
}

func (s *lossyStore) Put(_ context.Context, _ string, v []byte, expect uint64, _ time.Time) (uint64, error) {
	if expect != s.rev {
		return 0, kv.ErrConflict
	}
	s.value, s.rev = v, s.rev+1
	if s.loseNext {
		s.loseNext = false
		return 0, errors.Join(kv.ErrUnknownOutcome, errors.New("connection reset"))
	}
	return s.rev, nil
}

func mustEncode(t *testing.T, d *table.Document) []byte {
	t.Helper()
	b, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A network partition splits the entry instances into two halves for 8 s. Both
// halves must go on serving, no request may be lost or executed twice, and after
// the partition heals the outcome of every claim must be known, so that payments
// are answered.
func TestRegionSplit(t *testing.T) {
	is := is.New(t)
	after := 0
	answered := 0
	tally, truth, violations := runDirected(t, "bazaarline", relay.Switches{}, func(c *chaos, ctx context.Context) {
		sleepContext(ctx, 2*time.Second)
		h := c.spec.Halls
		for _, a := range h[:2] {
			for _, b := range h[2:] {
				c.cutHalls(ctx, a, b, 8*time.Second)
			}
		}
		sleepContext(ctx, 11*time.Second)
		for _, outcomes := range repeatCalls(c, ctx, 60) {
			for _, o := range outcomes {
				after++
				if o.Complete {
					answered++
				} else {
					t.Logf("not answered after the partition: %v", o.Err)
				}
			}
		}
	})
	is.Equal(violations, nil)
	is.Equal(truth.Doubled, 0)
	is.Equal(answered, after) // all payments after the partition are answered
	models := tally.ByClass["sale-question"]
	t.Logf("sent %d, failed %d, of them may have run %d; sale-question %+v", tally.Sent, tally.Failed, tally.Unknown, *models)
	is.Equal(models.Failed, 0) // model calls continue on both sides
}

// An instance that receives records crashes while the entry instances of a
// reclaimed hall hand over their records. No stream may be lost.
func TestCrashDuringHandover(t *testing.T) {
	for _, victim := range []int{1, 2, 3} {
		t.Run(fmt.Sprint("entry ", victim), func(t *testing.T) {
			is := is.New(t)
			lost := 0
			_, _, violations := runDirected(t, "bazaarline", relay.Switches{}, func(c *chaos, ctx context.Context) {
				lost = longStreams(c, ctx, func() {
					const notice = 8 * time.Second // longer than it takes to detect a crash
					c.reclaimHall(c.spec.Halls[0], notice)
					sleepContext(ctx, notice/2+20*time.Millisecond) // the handover has begun
					c.killEntry(ctx, victim)
				})
			})
			is.Equal(lost, 0)
			is.Equal(violations, nil)
		})
	}
}

// An instance that holds its maximum number of records must refuse new requests
// as not run and must not drop accepted ones.
func TestFullInstancesRefuseAndDropNothing(t *testing.T) {
	is := is.New(t)
	refused, whole, lost := 0, 0, 0
	runDirected(t, "bazaarline", relay.Switches{}, func(c *chaos, ctx context.Context) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for n := range 120 {
			prompt := fmt.Sprintf("story %d", n)
			all.Go(func() {
				o := c.client.Do(ctx, traffic.Call{Key: c.spec.Accounts[1].Key, Model: "sale-question", Prompt: prompt, MaxTokens: 300, User: prompt, Deadline: time.Now().Add(30 * time.Second)})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case o.Complete && o.Body == standin.Answer(prompt, 300):
					whole++
				case !o.Accepted && o.RunState == "not_run":
					refused++
				default:
					lost++
				}
			})
		}
		all.Wait()
	}, table.Cell{Column: table.ColRecordCapacity, Value: "10"})
	t.Logf("whole %d, refused %d, lost %d", whole, refused, lost)
	is.True(refused > 0)
	is.True(whole > 0)
	is.Equal(lost, 0)
}

// The response to a call that must not run twice has to survive the instance that
// ran it, whether that instance was killed or stopped: repeats get the first
// response.
func TestRepeatAfterOwnerIsGone(t *testing.T) {
	is := is.New(t)
	const calls = 30
	runDirected(t, "bazaarline", relay.Switches{}, func(c *chaos, ctx context.Context) {
		pay := func(n int) traffic.Outcome {
			body := fmt.Sprintf("charge %d", n)
			return c.client.Do(ctx, traffic.Call{Key: c.spec.Accounts[1].Key, IdempotencyKey: body, Path: "till/payment", Body: body, Deadline: time.Now().Add(8 * time.Second)})
		}
		for n := range calls {
			if o := pay(n); !o.Complete {
				t.Errorf("payment %d: %v", n, o.Err)
			}
		}
		sleepContext(ctx, time.Second) // time for the results to reach the keepers
		c.killEntry(ctx, 0)
		c.stopEntry(ctx, 1)
		sleepContext(ctx, 9*time.Second)
		c.stopEntry(ctx, 2)
		sleepContext(ctx, 2*time.Second)
		for n := range calls {
			body := fmt.Sprintf("charge %d", n)
			if o := pay(n); !o.Complete || o.Body != standin.ServiceAnswer("payment", body) {
				t.Errorf("payment %d again: %q %v", n, o.Body, o.Err)
			}
			if runs := c.embedded.World.Runs("payment", body); runs != 1 {
				t.Errorf("payment %d ran %d times", n, runs)
			}
		}
	})
	is.True(!t.Failed())
}

// Records and their second copies must be dropped soon after their responses were
// fetched, long before the requests' deadlines.
func TestFetchedRecordsAreDropped(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		c := newChaos(t, "bazaarline", 4, relay.Switches{})
		tally := c.run(4, func(ctx context.Context, _ time.Time) { <-ctx.Done() })
		left := func() (n int) {
			for i := range c.spec.Entries {
				n += len(c.embedded.Entry(i).Relay().Store().Filter(func(r *record.Record) bool { return r.Repeatable }))
			}
			return n
		}
		before := left()
		time.Sleep(70 * time.Second)
		if after := left(); before == 0 || after > 0 || tally.Failed > 0 {
			t.Errorf("%d records after %d requests, %d of them 70 s later; failed %d", before, tally.Sent, after, tally.Failed)
		}
		c.embedded.Stop()
	})
}

// Endpoints announce in their responses that they are leaving, while the
// platform's endpoint list stays unchanged and there is no notice. They must get
// no new requests 5 s later.
func TestEndpointsThatLeaveWithoutNotice(t *testing.T) {
	is := is.New(t)
	var left int
	_, truth, violations := runDirected(t, "voltra", relay.Switches{}, func(c *chaos, ctx context.Context) {
		sleepContext(ctx, 2*time.Second)
		c.embedded.World.SetFaults(standin.Faults{ListFrozen: true})
		set, err := c.spec.StandinSettings(chaosBasePort, 1)
		is.NoErr(err)
		for _, p := range []standin.InstanceSpec{set.Engine[0], set.Service[0]} {
			c.embedded.World.LeaveQuietly(p.ID)
			left++
		}
		sleepContext(ctx, 12*time.Second)
	})
	is.Equal(left, 2)
	is.Equal(truth.SentToLeavingAfter5, 0)
	is.Equal(violations, nil)
}
