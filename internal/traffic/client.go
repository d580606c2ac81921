// Package traffic is the callers' side of experiments: open-loop load from a
// seed, a balancer in front of the entry instances, and clients that check
// each answer against its own request.
//
// Types are safe for concurrent use unless they say otherwise.
package traffic

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Balancer stands in for the platform's balancer: it spreads callers over the
// entry instances that say they are ready.
type Balancer struct {
	http *http.Client

	mu    sync.Mutex
	rnd   *rand.Rand       // guarded by mu
	all   []netip.AddrPort // guarded by mu
	ready []netip.AddrPort // guarded by mu
}

const probeEvery = 200 * time.Millisecond

// NewBalancer returns a balancer over entry instances.
func NewBalancer(transport http.RoundTripper, entries []netip.AddrPort, seed uint64) *Balancer {
	return &Balancer{http: &http.Client{Transport: transport, Timeout: time.Second}, rnd: rand.New(rand.NewPCG(seed, 3)), all: entries}
}

// Run probes the instances until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.Probe(ctx)
		select {
		case <-time.After(probeEvery):
		case <-ctx.Done():
		}
	}
}

// Probe asks every instance whether it is ready and returns how many are.
func (b *Balancer) Probe(ctx context.Context) int {
	b.mu.Lock()
	all := b.all
	b.mu.Unlock()
	ok := make([]bool, len(all))
	var wait sync.WaitGroup
	for i, a := range all {
		wait.Go(func() { ok[i] = b.probe(ctx, a) })
	}
	wait.Wait()
	var ready []netip.AddrPort
	for i, a := range all {
		if ok[i] {
			ready = append(ready, a)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
	return len(ready)
}

func (b *Balancer) probe(ctx context.Context, a netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Pick returns an instance for a new connection.
func (b *Balancer) Pick() netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := b.ready
	if len(from) == 0 {
		from = b.all
	}
	return from[b.rnd.IntN(len(from))]
}

// Call is one request of a caller.
type Call struct {
	Class    string
	Key      string // the account's key
	IdemKey  string // empty for a call that the caller cannot repeat
	Model    string // empty for a service call
	User     string // names the conversation
	Prompt   string
	Max      int
	Path     string // service and path
	Body     string
	Deadline time.Time
}

// Outcome is how a call ended for its caller.
type Outcome struct {
	Whole     bool   // the whole answer arrived
	Body      string // what arrived
	Accepted  bool   // the caller heard that the request was accepted
	Run       string // set when it ended with an error
	Status    int
	First     time.Time // when the first token, or a service's answer, arrived
	Ended     time.Time
	Resumes   int
	RequestID string
	Err       error
}

// Client makes calls through the balancer.
type Client struct {
	http     *http.Client
	balancer *Balancer
}

// NewClient returns a client.
func NewClient(transport http.RoundTripper, b *Balancer) *Client {
	return &Client{http: &http.Client{Transport: transport}, balancer: b}
}

const (
	resumePause  = 100 * time.Millisecond
	refusalTries = 8
	endGrace     = 8 * time.Second // after the deadline, for the final answer
)

// problem is the part of an error answer that callers act on.
type problem struct {
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Run    string `json:"run"`
}

// Do makes a call and comes back for the rest when its connection breaks.
func (c *Client) Do(ctx context.Context, call Call) Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(endGrace))
	defer cancel()
	var o Outcome
	var body strings.Builder
	pos := 0
	refusals := 0
	for {
		final := c.try(ctx, call, &o, &body, &pos, &refusals)
		if final {
			o.Body, o.Ended = body.String(), time.Now()
			return o
		}
		if ctx.Err() != nil {
			o.Body, o.Ended, o.Err = body.String(), time.Now(), fmt.Errorf("no final answer: %w (%v)", ctx.Err(), o.Err)
			return o
		}
		o.Resumes++
		select {
		case <-time.After(resumePause):
		case <-ctx.Done():
		}
	}
}

// try makes one connection. It reports whether the outcome is final.
func (c *Client) try(ctx context.Context, call Call, o *Outcome, body *strings.Builder, pos *int, refusals *int) bool {
	req, err := c.request(ctx, call, o, *pos)
	if err != nil {
		o.Err = err
		return true
	}
	resp, err := c.http.Do(req)
	if err != nil {
		o.Err = err
		return !o.Accepted && call.IdemKey == "" && !notSent(err)
	}
	defer resp.Body.Close()
	if id := resp.Header.Get("Request-Id"); id != "" && resp.StatusCode == http.StatusOK {
		o.RequestID, o.Accepted = id, true
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return c.refused(resp, o, refusals)
	}
	if call.Model == "" {
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			o.Err = err
			return false
		}
		body.Write(b)
		o.Whole, o.Status, o.First = resp.StatusCode == http.StatusOK, resp.StatusCode, time.Now()
		return true
	}
	return readStream(resp.Body, o, body, pos)
}

// notSent reports whether the connection was refused.
func notSent(err error) bool { return strings.Contains(err.Error(), "connection refused") }

// refused takes an error answer. Being told to ask another instance at once is
// not final.
func (c *Client) refused(resp *http.Response, o *Outcome, refusals *int) bool {
	var p problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	o.Status, o.Run, o.Err = resp.StatusCode, p.Run, fmt.Errorf("%d %s: %s", resp.StatusCode, p.Run, p.Detail)
	if resp.Header.Get("Retry-After") == "0" && *refusals < refusalTries {
		*refusals++
		return false
	}
	return true
}

func (c *Client) request(ctx context.Context, call Call, o *Outcome, pos int) (*http.Request, error) {
	base := "http://" + c.balancer.Pick().String()
	var req *http.Request
	var err error
	switch {
	case o.Accepted && call.Model != "":
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/requests/"+o.RequestID+"/stream?from="+strconv.Itoa(pos), nil)
	case call.Model != "":
		b, _ := json.Marshal(struct {
			Model  string `json:"model"`
			Prompt string `json:"prompt"`
			Max    int    `json:"max_tokens"`
			Stream bool   `json:"stream"`
			User   string `json:"user"`
		}{call.Model, call.Prompt, call.Max, true, call.User})
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(b))
	default:
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/services/"+call.Path, strings.NewReader(call.Body))
	}
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // each connection is the caller's own decision
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+call.Key)
	req.Header.Set("Request-Deadline", call.Deadline.Format(time.RFC3339Nano))
	if call.IdemKey != "" {
		req.Header.Set("Idempotency-Key", call.IdemKey)
	}
	return req, nil
}

type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *problem `json:"error"`
}

const maxLine = 1 << 20

// readStream reads server-sent events and reports whether the outcome is final.
func readStream(r io.Reader, o *Outcome, body *strings.Builder, pos *int) bool {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLine)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.Whole, o.Status = true, http.StatusOK
			return true
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			o.Err = err
			return true
		}
		if e.Error != nil {
			o.Status, o.Run, o.Err = e.Error.Status, e.Error.Run, fmt.Errorf("%s: %s", e.Error.Run, e.Error.Detail)
			// An instance that stops says so; the rest is at another one.
			return !strings.Contains(e.Error.Detail, "resume at another")
		}
		if len(e.Choices) > 0 {
			if *pos == 0 {
				o.First = time.Now()
			}
			body.WriteString(e.Choices[0].Text)
			*pos++
		}
	}
	o.Err = fmt.Errorf("stream broke at %d: %w", *pos, io.ErrUnexpectedEOF)
	return false
}
