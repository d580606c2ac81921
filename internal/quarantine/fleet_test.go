package quarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// fleetModel plays requests with shared parts at instances that exchange updates, and endpoints that crash. Only the time
// until a request's answer begins is played: what comes later has no effect on parts.
type fleetModel struct {
	rnd       *rand.Rand
	now       time.Duration
	events    modelEvents
	tables    []*Table
	permits   *Permits
	endpoints []modelEndpoint
	atOnce    int // runs at an endpoint

	ends    map[string]int           // endpoints that ended under a deadly part
	fifth   map[string]time.Duration // when maxEndsOfPart was reached
	late    map[string]int           // runs sent later than modelContact after that
	named   map[string]time.Duration // when a part was first refused
	namedAt map[string]int           // ends of a part when it was first refused
	sound   int                      // sound requests
	kept    int                      // sound requests that suspicion kept from running at the first attempt
}

const (
	maxEndsOfPart = 5
	modelContact  = 3 * time.Second
	modelEnd      = 8 * time.Second
	modelDown     = 2 * time.Second // from the end of an endpoint to its next start
)

type modelEndpoint struct {
	incarnation int
	upAt        time.Duration
	runs        map[*modelRun]bool
}

type modelRun struct {
	parts    []string
	deadly   string // the part that ends endpoints
	number   int    // of the request
	instance int
	waitedTo time.Duration
	tries    int
	endpoint int
	lost     bool // its endpoint has ended
	release  func()
}

type modelEvent struct {
	at time.Duration
	do func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleetModel(seed uint64, instances, endpoints, atOnce int) *fleetModel {
	m := &fleetModel{
		rnd: rand.New(rand.NewPCG(seed, 41)), permits: NewPermits(), endpoints: make([]modelEndpoint, endpoints), atOnce: atOnce,
		ends: make(map[string]int), fifth: make(map[string]time.Duration), late: make(map[string]int), named: make(map[string]time.Duration), namedAt: make(map[string]int),
	}
	for range instances {
		m.tables = append(m.tables, New(Options{Length: time.Minute, MaxSuspects: 4096}))
	}
	for i := range m.endpoints {
		m.endpoints[i].runs = make(map[*modelRun]bool)
	}
	return m
}

func (m *fleetModel) time() time.Time { return start.Add(m.now) }

func (m *fleetModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now + d, do})
}

func (m *fleetModel) between(from, to time.Duration) time.Duration {
	return from + time.Duration(m.rnd.Float64()*float64(to-from))
}

func (m *fleetModel) run() {
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		if e.at > modelEnd {
			return
		}
		m.now = e.at
		e.do()
	}
}

// exchange sends the updates of an instance to all others.
func (m *fleetModel) exchange(instance int) {
	own, _ := m.tables[instance].Updates()
	if len(own) == 0 {
		return
	}
	for i, t := range m.tables {
		if i != instance {
			m.after(m.between(time.Millisecond, 20*time.Millisecond), func() { t.Apply(own, m.time()) })
		}
	}
}

// request has a request admitted, or refused, at its instance.
func (m *fleetModel) request(r *modelRun) {
	t := m.tables[r.instance]
	t.NameParts(m.time())
	subjects := []Fingerprint{fingerprint(r.number)}
	for _, id := range r.parts {
		subjects = append(subjects, OfPart(id))
	}
	a := t.Admit(subjects, m.time())
	m.exchange(r.instance)
	keep := func() {
		if r.deadly == "" && r.tries == 0 {
			m.kept++
		}
	}
	if a.Refused != nil {
		keep()
		for _, id := range r.parts {
			if v, _ := t.Verdict(OfPart(id), m.time()); v == Refused && m.named[id] == 0 {
				m.named[id], m.namedAt[id] = m.now, m.ends[id]
			}
		}
		return
	}
	if a.Undecided && m.now < r.waitedTo {
		m.after(10*time.Millisecond, func() { m.request(r) })
		return
	}
	var held []Fingerprint
	tries := r.tries
	release := func() { // held until the other instances know how the run ended
		keep := time.Duration(0)
		if r.tries > tries {
			keep = SettleTime
		}
		for _, f := range held {
			m.permits.Release(f, "i", m.time().Add(keep))
		}
	}
	for _, f := range a.Serialized {
		if !m.permits.Acquire(f, "i", m.time().Add(time.Minute), m.time()) {
			release()
			keep()
			return
		}
		held = append(held, f)
	}
	r.release = release
	m.send(r)
}

func (m *fleetModel) send(r *modelRun) {
	var up []int
	for i := range m.endpoints {
		if e := &m.endpoints[i]; m.now >= e.upAt && len(e.runs) < m.atOnce {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		r.release()
		return
	}
	r.tries++
	r.endpoint, r.lost = up[m.rnd.IntN(len(up))], false
	if r.deadly != "" && m.ends[r.deadly] >= maxEndsOfPart && m.now > m.fifth[r.deadly]+modelContact {
		m.late[r.deadly]++
	}
	m.endpoints[r.endpoint].runs[r] = true
	m.after(m.between(50*time.Millisecond, 400*time.Millisecond), func() { m.begin(r) })
}

// begin has the endpoint begin the answer to a request.
func (m *fleetModel) begin(r *modelRun) {
	if r.lost {
		return
	}
	if r.deadly != "" {
		m.ends[r.deadly]++
		if m.ends[r.deadly] == maxEndsOfPart {
			m.fifth[r.deadly] = m.now
		}
		m.crash(r.endpoint)
		return
	}
	delete(m.endpoints[r.endpoint].runs, r)
	r.release()
	for _, id := range r.parts {
		m.tables[r.instance].ClearParts([]Fingerprint{OfPart(id)}, "e", m.time())
	}
	m.exchange(r.instance)
}

// crash ends an endpoint. The instances notice it at the runs that break off.
func (m *fleetModel) crash(endpoint int) {
	e := &m.endpoints[endpoint]
	if m.now < e.upAt {
		return
	}
	id := fmt.Sprint("e", endpoint, "@", e.incarnation)
	runs := slices.SortedFunc(maps.Keys(e.runs), func(a, b *modelRun) int { return cmp.Compare(a.number, b.number) })
	for _, r := range runs {
		r.lost = true
		m.after(m.between(time.Millisecond, 8*time.Millisecond), func() {
			t := m.tables[r.instance]
			t.RunInterrupted(Run{Fingerprint: fingerprint(r.number), Endpoint: id, Name: id, Account: "a", Parts: r.parts}, m.time())
			t.EndpointEnded(id, m.time())
			r.release()
			m.exchange(r.instance)
			if r.tries < 2 {
				r.waitedTo = m.now + 2*SettleTime
				m.request(r)
			}
		})
	}
	e.runs = make(map[*modelRun]bool)
	e.incarnation++
	e.upAt = m.now + modelDown
}

// play sends requests that keep the endpoints busy, each with a part in common use (five of them) and a less common one
// (twenty), from the first second on also some with each of the deadly parts, and lets endpoints crash besides.
func (m *fleetModel) play(deadly []string, deadlyRate, crashRate float64) {
	number := 0
	newRun := func(part string) *modelRun {
		number++
		r := &modelRun{number: number, deadly: part, instance: m.rnd.IntN(len(m.tables)), waitedTo: m.now + 2*SettleTime}
		r.parts = []string{fmt.Sprint("hot", m.rnd.IntN(5)), fmt.Sprint("warm", m.rnd.IntN(20))}
		if part != "" {
			r.parts = append(r.parts, part)
		}
		return r
	}
	repeat := func(rate float64, from time.Duration, do func()) {
		var next func()
		next = func() {
			do()
			m.after(time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), next)
		}
		if rate > 0 {
			m.after(from, next)
		}
	}
	const load = 0.7
	repeat(load*float64(len(m.endpoints)*m.atOnce)/0.225, 0, func() { m.sound++; m.request(newRun("")) })
	for _, part := range deadly {
		repeat(deadlyRate, time.Second, func() { m.request(newRun(part)) })
	}
	repeat(crashRate, time.Second, func() {
		m.crash(m.rnd.IntN(len(m.endpoints)))
		if m.rnd.IntN(4) == 0 { // a third at once
			for i := 0; i < len(m.endpoints); i += 3 {
				m.crash(i)
			}
		}
	})
	m.run()
}

// histories is how many random histories of each kind are played.
func histories(inCI int) int {
	if n, err := strconv.Atoi(os.Getenv("SHELFCRANK_SEEDS")); err == nil {
		return n
	}
	if virtual.Race {
		return 1 // the instances of the model share one goroutine
	}
	return inCI
}

// Guards against deadly parts that are not found, or late, and against sound requests refused meanwhile, in fleets with
// many requests at once, two deadly parts at once and crashes for other reasons beside.
func TestFleetsFindPartsThatCrashEndpoints(t *testing.T) {
	for _, instances := range []int{9, 24} {
		for _, atOnce := range []int{32, 64} {
			ends, third, parts, sound, kept, lateParts := 0, 0, 0, 0, 0, 0
			for seed := range uint64(histories(3)) {
				m := newFleetModel(seed, instances, 12, atOnce)
				deadly := []string{"deadly", "deadly2"}[:1+seed%2]
				m.play(deadly, 2+8*m.rnd.Float64(), float64(seed%3)/2)
				for _, part := range deadly {
					parts++
					ends += m.ends[part]
					if m.named[part] != 0 && m.namedAt[part] <= 3 {
						third++
					}
					if m.late[part] > 3 {
						lateParts++
					}
				}
				sound, kept = sound+m.sound, kept+m.kept
				for id := range m.named {
					if id != "deadly" && id != "deadly2" {
						t.Errorf("%d instances, %d at once, seed %d: %s is refused", instances, atOnce, seed, id)
					}
				}
			}
			t.Logf("%d instances, %d at once: %.2f ends of each of %d parts, %.2f named by the third; %.4f of sound requests kept back", instances, atOnce, float64(ends)/float64(parts), parts, float64(third)/float64(parts), float64(kept)/float64(sound))
			if lateParts > 0 {
				t.Errorf("%d instances, %d at once: %d of %d parts sent later than %s after the fifth end", instances, atOnce, lateParts, parts, modelContact)
			}
		}
	}
}

// Guards against parts in common use that are named where endpoints only crash for other reasons.
func TestFleetsNameNoPartWhereEndpointsCrashForOtherReasons(t *testing.T) {
	for seed := range uint64(histories(3)) {
		m := newFleetModel(seed, 9, 12, 32)
		m.play(nil, 0, 1+3*m.rnd.Float64())
		for id := range m.named {
			t.Errorf("seed %d: %s is refused", seed, id)
		}
	}
}

// Guards against a failure that its seed does not play again.
func TestASeedPlaysTheSameHistory(t *testing.T) {
	is := is.New(t)
	var first *fleetModel
	var drawn uint64 // differs if another number of values was drawn before
	for range 4 {
		m := newFleetModel(1, 9, 12, 32)
		m.play([]string{"deadly", "deadly2"}, 5, 2)
		next := m.rnd.Uint64()
		if first == nil {
			first, drawn = m, next
		}
		is.Equal(m.ends, first.ends)
		is.Equal(m.named, first.named)
		is.Equal(m.kept, first.kept)
		is.Equal(next, drawn)
	}
}
