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

// Tally counts the outcomes of calls. Each call with a complete answer counts as Answered or Late, and
// also as WrongAnswer if the body is wrong. Each other call counts as Failed, and also as one of
// RefusedNotRun, Unknown and Lost.
type Tally struct {
	Sent, Answered, Late, Failed int
	RefusedNotRun                int // of Failed: refused before they ran
	Unknown                      int // of Failed: not accepted, but may have run
	Lost, WrongAnswer            int // Lost is of Failed: accepted, but no complete answer
	CutByStop                    int // lost or wrong during a planned stop
	Resumes                      int
	Errors                       []string // descriptions of the first failures

	ByClass map[string]*ClassTally
	First   *hdrhistogram.Histogram // model calls: microseconds to the first token
	Service *hdrhistogram.Histogram // service calls: microseconds to the answer
}

// ClassTally counts the calls of one class.
type ClassTally struct{ Sent, Late, Failed int }

const (
	maxLatencyUs      = 300_000_000
	significantDigits = 3
	maxErrors         = 10
)

// Load generates open-loop traffic from a seed.
type Load struct {
	spec   *deployment.Spec
	client *Client
	seed   uint64
	scale  func(class string) float64

	mu    sync.Mutex
	tally Tally // guarded by mu
	calls sync.WaitGroup
}

// NewLoad returns a load generator for the traffic of a deployment. scale returns a factor for the
// rate of a class; nil means 1 for all.
func NewLoad(spec *deployment.Spec, c *Client, seed uint64, scale func(class string) float64) *Load {
	if scale == nil {
		scale = func(string) float64 { return 1 }
	}
	l := &Load{spec: spec, client: c, seed: seed, scale: scale}
	l.tally.ByClass = make(map[string]*ClassTally)
	l.tally.First = hdrhistogram.New(1, maxLatencyUs, significantDigits)
	l.tally.Service = hdrhistogram.New(1, maxLatencyUs, significantDigits)
	return l
}

// Run starts calls until a point in time, waits for all of them and returns the counts.
func (l *Load) Run(ctx context.Context, until time.Time) *Tally {
	var arrivals sync.WaitGroup
	for i, t := range l.spec.Traffic {
		arrivals.Go(func() { l.startCalls(ctx, t, rand.New(rand.NewPCG(l.seed, uint64(i)+100)), until) })
	}
	arrivals.Wait()
	l.calls.Wait()
	return &l.tally
}

// startCalls starts the calls or conversations of one class as a Poisson process.
func (l *Load) startCalls(ctx context.Context, t deployment.Traffic, rnd *rand.Rand, until time.Time) {
	class := l.spec.Class(t.Class)
	accounts := l.callerAccounts()
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
		l.calls.Go(func() {
			if class.Model == "" {
				l.callService(ctx, class, acc.Key, id)
				return
			}
			l.converse(ctx, class, t, acc.Key, id, own, until)
		})
	}
}

// callerAccounts returns the client accounts that send traffic: all but operators.
func (l *Load) callerAccounts() []deployment.Account {
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

// callService makes one service call. Its body contains a unique ID, so that the service can detect
// repeated runs of the same call.
func (l *Load) callService(ctx context.Context, class deployment.Class, key, id string) {
	_, path, _ := strings.Cut(class.Match, "/")
	c := Call{Class: class.Name, Key: key, IdempotencyKey: id, Path: path, Body: "op " + id, Deadline: l.deadline(class)}
	start := time.Now()
	o := l.client.Do(ctx, c)
	_, servicePath, _ := strings.Cut(path, "/")
	l.countOutcome(class, start, o, standin.ServiceAnswer(servicePath, c.Body))
}

// thinkTime is the mean pause between two turns of a conversation.
const thinkTime = 300 * time.Millisecond

// converse makes the calls of one conversation. Each prompt starts with all previous prompts and
// answers. It ends early when an answer is incomplete.
func (l *Load) converse(ctx context.Context, class deployment.Class, t deployment.Traffic, key, id string, rnd *rand.Rand, until time.Time) {
	prompt := words(rand.New(rand.NewPCG(7, uint64(len(class.Name)))), t.SystemTokens)
	for turn := range max(1, t.Turns) {
		size := max(8, int(float64(t.PromptTokens)*(0.5+rnd.Float64())))
		prompt += words(rnd, size)
		c := Call{Class: class.Name, Key: key, Model: class.Name, User: id, Prompt: prompt, MaxTokens: max(4, int(float64(t.AnswerTokens)*(0.5+rnd.Float64()))), Deadline: l.deadline(class)}
		if rnd.IntN(2) == 0 {
			c.IdempotencyKey = fmt.Sprintf("%s/%d", id, turn)
		}
		start := time.Now()
		o := l.client.Do(ctx, c)
		want := standin.Answer(c.Prompt, c.MaxTokens)
		l.countOutcome(class, start, o, want)
		if !o.Complete || ctx.Err() != nil {
			return
		}
		prompt += o.Body
		time.Sleep(time.Duration(float64(thinkTime) * (0.5 + rnd.Float64())))
		if !time.Now().Before(until) {
			return
		}
	}
}

// words returns a random text of about n tokens.
func words(rnd *rand.Rand, n int) string {
	var b strings.Builder
	b.Grow(n * 4)
	for range n {
		v := rnd.Uint32()
		b.Write([]byte{'a' + byte(v%26), 'a' + byte(v>>8%26), 'a' + byte(v>>16%26), ' '})
	}
	return b.String()
}

// countOutcome counts a finished call; want is the expected answer.
func (l *Load) countOutcome(class deployment.Class, start time.Time, o Outcome, want string) {
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
	took := o.FirstAt.Sub(start)
	switch {
	case !o.Complete:
		t.Failed++
		ct.Failed++
		l.countFailure(class, o)
		return
	case o.Body != want:
		t.WrongAnswer++
		l.addError("%s wrong answer: got %d bytes, want %d (%s)", class.Name, len(o.Body), len(want), o.RequestID)
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
	_ = hist.RecordValue(max(1, min(maxLatencyUs, took.Microseconds())))
}

// countFailure counts a call without a complete answer by what its caller knows. Callers hold mu.
func (l *Load) countFailure(class deployment.Class, o Outcome) {
	t := &l.tally
	switch {
	case o.Accepted:
		t.Lost++
		l.addError("%s lost %s after %d resumes: %v", class.Name, o.RequestID, o.Resumes, o.Err)
	case o.RunState == "not_run":
		t.RefusedNotRun++
		l.addError("%s refused: %v", class.Name, o.Err)
	default:
		t.Unknown++
		l.addError("%s unknown after %d resumes: %v", class.Name, o.Resumes, o.Err)
	}
}

// addError records the description of a failure, up to maxErrors. Callers hold mu.
func (l *Load) addError(format string, args ...any) {
	if len(l.tally.Errors) < maxErrors {
		l.tally.Errors = append(l.tally.Errors, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
	}
}
