package traffic

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shelfcrank/shelfcrank/internal/deployment"
	"github.com/shelfcrank/shelfcrank/internal/standin"
)

// Tally counts how calls ended for their callers, each once.
type Tally struct {
	Sent, Answered, Late, Failed int
	RefusedNotRun                int // of Failed
	Unknown                      int // of Failed: may have run
	Lost, WrongAnswer            int
	CutByStop                    int // lost or wrong while a planned stop went on
	Resumes                      int
	Errors                       []string // the first few

	ByClass map[string]*ClassTally
	First   *hdrhistogram.Histogram // microseconds to the first token of model calls
	Service *hdrhistogram.Histogram // microseconds of service calls
}

// ClassTally counts one class.
type ClassTally struct{ Sent, Late, Failed int }

const (
	histMax    = 300_000_000
	histDigits = 3
	errorsKept = 10
)

// Load drives seeded open-loop traffic.
type Load struct {
	spec   *deployment.Spec
	client *Client
	seed   uint64
	scale  func(class string) float64

	mu    sync.Mutex
	tally Tally // guarded by mu
	wait  sync.WaitGroup
}

// NewLoad returns a load. scale multiplies the rate of a class; nil is 1.
func NewLoad(spec *deployment.Spec, c *Client, seed uint64, scale func(class string) float64) *Load {
	if scale == nil {
		scale = func(string) float64 { return 1 }
	}
	l := &Load{spec: spec, client: c, seed: seed, scale: scale}
	l.tally.ByClass = make(map[string]*ClassTally)
	l.tally.First = hdrhistogram.New(1, histMax, histDigits)
	l.tally.Service = hdrhistogram.New(1, histMax, histDigits)
	return l
}

// Run sends traffic until the time is over, waits for all answers and returns
// the counts.
func (l *Load) Run(ctx context.Context, until time.Time) *Tally {
	var arrivals sync.WaitGroup
	for i, t := range l.spec.Traffic {
		arrivals.Go(func() { l.arrive(ctx, t, rand.New(rand.NewPCG(l.seed, uint64(i)+100)), until) })
	}
	arrivals.Wait()
	l.wait.Wait()
	return &l.tally
}

// arrive starts the calls of one class as a Poisson process.
func (l *Load) arrive(ctx context.Context, t deployment.Traffic, rnd *rand.Rand, until time.Time) {
	class := l.spec.Class(t.Class)
	accounts := l.callers()
	at := time.Now()
	turns := max(1, t.Turns)
	rate := t.PerSecond * l.scale(t.Class) / float64(turns)
	if rate <= 0 {
		return
	}
	for n := 0; ; n++ {
		at = at.Add(time.Duration(-math.Log(1-rnd.Float64()) / rate * float64(time.Second)))
		if !at.Before(until) {
			return
		}
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		acc := accounts[rnd.IntN(len(accounts))]
		id := fmt.Sprintf("%s-%d-%d", t.Class, l.seed, n)
		own := rand.New(rand.NewPCG(l.seed^uint64(n)<<8, uint64(len(t.Class))))
		l.wait.Go(func() {
			if class.Model == "" {
				l.call(ctx, class, acc.Key, id)
				return
			}
			l.converse(ctx, class, t, acc.Key, id, own, until)
		})
	}
}

func (l *Load) callers() []deployment.Account {
	var out []deployment.Account
	for _, a := range l.spec.Accounts {
		if !a.Operator {
			out = append(out, a)
		}
	}
	return out
}

func (l *Load) deadline(c deployment.Class) time.Time {
	return time.Now().Add(time.Duration(c.DeadlineMs) * time.Millisecond)
}

// call makes one service call. Each has an id of its own in its body, so that
// a second run is seen.
func (l *Load) call(ctx context.Context, class deployment.Class, key, id string) {
	_, path, _ := strings.Cut(class.Match, "/")
	c := Call{Class: class.Name, Key: key, IdemKey: id, Path: path, Body: "op " + id, Deadline: l.deadline(class)}
	start := time.Now()
	o := l.client.Do(ctx, c)
	_, servicePath, _ := strings.Cut(path, "/")
	l.count(class, start, o, standin.ServiceAnswer(servicePath, c.Body))
}

const thinkTime = 300 * time.Millisecond

// converse makes the turns of one conversation; each prompt begins with all
// that was said before.
func (l *Load) converse(ctx context.Context, class deployment.Class, t deployment.Traffic, key, id string, rnd *rand.Rand, until time.Time) {
	prompt := words(rand.New(rand.NewPCG(7, uint64(len(class.Name)))), t.System)
	for turn := range max(1, t.Turns) {
		size := max(8, int(float64(t.Prompt)*(0.5+rnd.Float64())))
		prompt += words(rnd, size)
		c := Call{Class: class.Name, Key: key, Model: class.Name, User: id, Prompt: prompt, Max: max(4, int(float64(t.Answer)*(0.5+rnd.Float64()))), Deadline: l.deadline(class)}
		if rnd.IntN(2) == 0 {
			c.IdemKey = fmt.Sprintf("%s/%d", id, turn)
		}
		start := time.Now()
		o := l.client.Do(ctx, c)
		want := standin.Answer(c.Prompt, c.Max)
		l.count(class, start, o, want)
		if !o.Whole || ctx.Err() != nil {
			return
		}
		prompt += o.Body
		time.Sleep(time.Duration(float64(thinkTime) * (0.5 + rnd.Float64())))
		if !time.Now().Before(until) {
			return
		}
	}
}

// words returns a text of about n tokens.
func words(rnd *rand.Rand, n int) string {
	var b strings.Builder
	b.Grow(n * 4)
	for range n {
		v := rnd.Uint32()
		b.Write([]byte{'a' + byte(v%26), 'a' + byte(v>>8%26), 'a' + byte(v>>16%26), ' '})
	}
	return b.String()
}

func (l *Load) count(class deployment.Class, start time.Time, o Outcome, want string) {
	target := time.Duration(class.TargetMs) * time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.tally
	ct := t.ByClass[class.Name]
	if ct == nil {
		ct = &ClassTally{}
		t.ByClass[class.Name] = ct
	}
	t.Sent++
	ct.Sent++
	t.Resumes += o.Resumes
	took := o.First.Sub(start)
	switch {
	case !o.Whole:
		t.Failed++
		ct.Failed++
		l.countFailure(class, o)
		return
	case o.Body != want:
		t.WrongAnswer++
		l.note("%s wrong answer: got %d bytes, want %d (%s)", class.Name, len(o.Body), len(want), o.RequestID)
	}
	if took > target {
		t.Late++
		ct.Late++
	} else {
		t.Answered++
	}
	hist := t.First
	if class.Model == "" {
		hist = t.Service
	}
	_ = hist.RecordValue(max(1, min(histMax, took.Microseconds())))
}

// countFailure tells apart the ways to fail. Callers hold mu.
func (l *Load) countFailure(class deployment.Class, o Outcome) {
	t := &l.tally
	switch {
	case o.Accepted:
		t.Lost++
		l.note("%s lost %s after %d resumes: %v", class.Name, o.RequestID, o.Resumes, o.Err)
	case o.Run == "not_run":
		t.RefusedNotRun++
		l.note("%s refused: %v", class.Name, o.Err)
	default:
		t.Unknown++
		l.note("%s unknown after %d resumes: %v", class.Name, o.Resumes, o.Err)
	}
}

func (l *Load) note(format string, args ...any) {
	if len(l.tally.Errors) < errorsKept {
		l.tally.Errors = append(l.tally.Errors, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}
