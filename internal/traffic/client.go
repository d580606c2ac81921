// Package traffic is the client side of experiments: a seeded open-loop load generator, a simulated
// balancer in front of the entry instances, and a client that resumes interrupted answers.
// Each answer is checked against its request.
//
// Types are safe for concurrent use unless documented otherwise.
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

// Balancer simulates the platform's balancer: it picks a random instance for each connection, among
// the entry instances that report that they are ready.
type Balancer struct {
	http *http.Client

	mu    sync.Mutex
	rnd   *rand.Rand       // guarded by mu
	all   []netip.AddrPort // guarded by mu
	ready []netip.AddrPort // as of the last probe; guarded by mu
}

const probeInterval = 200 * time.Millisecond

// NewBalancer returns a balancer for the entry instances at some addresses.
func NewBalancer(transport http.RoundTripper, entries []netip.AddrPort, seed uint64) *Balancer {
	return &Balancer{http: &http.Client{Transport: transport, Timeout: time.Second}, rnd: rand.New(rand.NewPCG(seed, 3)), all: entries}
}

// Run probes the instances until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.Probe(ctx)
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
		}
	}
}

// Probe checks the readiness of every instance and returns how many are ready.
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

// Pick returns a ready instance for a new connection, or any instance if none is ready.
func (b *Balancer) Pick() netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := b.ready
	if len(from) == 0 {
		from = b.all
	}
	return from[b.rnd.IntN(len(from))]
}

// Call is one request of a caller: a model call if Model is set, otherwise a service call.
type Call struct {
	Class          string
	Key            string // key of the client account
	IdempotencyKey string // idempotency key; empty for a call that the caller can't repeat
	Model          string // empty for a service call
	User           string // identifies the conversation
	Prompt         string
	MaxTokens      int    // maximum number of tokens in the answer
	Path           string // service and path of a service call
	Body           string // of a service call
	Deadline       time.Time
}

// Outcome is the result of a call as its caller sees it.
type Outcome struct {
	Complete  bool   // the complete answer arrived
	Body      string // answer as far as it arrived
	Accepted  bool   // a response with status 200 and a request ID arrived
	RunState  string // the field run of an error response: whether the request ran
	Status    int
	FirstAt   time.Time // arrival of the first token, or of a service's answer
	EndedAt   time.Time
	Resumes   int // connections after the first
	RequestID string
	Err       error
}

// Client makes calls through the balancer.
type Client struct {
	http     *http.Client
	balancer *Balancer
}

// NewClient returns a client that connects to the instances picked by b.
func NewClient(transport http.RoundTripper, b *Balancer) *Client {
	return &Client{http: &http.Client{Transport: transport}, balancer: b}
}

const (
	resumeDelay      = 100 * time.Millisecond // between two connections of a call
	maxRefusals      = 8                      // refusals with Retry-After: 0 after which a call is tried again
	finalAnswerGrace = 8 * time.Second        // how long after the deadline the final answer may arrive
)

// problem is the part of an error response that callers act on.
type problem struct {
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Run    string `json:"run"`
}

// Do makes a call. If the connection breaks it connects again, to resume the answer or to repeat
// the call, until the outcome is final.
func (c *Client) Do(ctx context.Context, call Call) Outcome {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(finalAnswerGrace))
	defer cancel()
	var o Outcome
	var body strings.Builder
	pos := 0
	refusals := 0
	for {
		final := c.attempt(ctx, call, &o, &body, &pos, &refusals)
		if final {
			o.Body, o.EndedAt = body.String(), time.Now()
			return o
		}
		if ctx.Err() != nil {
			o.Body, o.EndedAt, o.Err = body.String(), time.Now(), fmt.Errorf("no final answer: %w (last error: %v)", ctx.Err(), o.Err)
			return o
		}
		o.Resumes++
		select {
		case <-time.After(resumeDelay):
		case <-ctx.Done():
		}
	}
}

// attempt sends the call, or resumes its stream at pos, over one connection. It reports whether the
// outcome is final.
func (c *Client) attempt(ctx context.Context, call Call, o *Outcome, body *strings.Builder, pos *int, refusals *int) bool {
	req, err := c.newRequest(ctx, call, o, *pos)
	if err != nil {
		o.Err = err
		return true
	}
	resp, err := c.http.Do(req)
	if err != nil {
		o.Err = err
		return !o.Accepted && call.IdempotencyKey == "" && !connectionRefused(err)
	}
	defer resp.Body.Close()
	if id := resp.Header.Get("Request-Id"); id != "" && resp.StatusCode == http.StatusOK {
		o.RequestID, o.Accepted = id, true
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return c.handleRefusal(resp, o, refusals)
	}
	if call.Model == "" {
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			o.Err = err
			return false
		}
		body.Write(b)
		o.Complete, o.Status, o.FirstAt = resp.StatusCode == http.StatusOK, resp.StatusCode, time.Now()
		return true
	}
	return readStream(resp.Body, o, body, pos)
}

// connectionRefused reports whether a connection was refused, so that the request was not sent.
func connectionRefused(err error) bool { return strings.Contains(err.Error(), "connection refused") }

// handleRefusal records an error response and reports whether it is final. A response with
// Retry-After: 0 is not: the call goes to another instance at once, maxRefusals times at most.
func (c *Client) handleRefusal(resp *http.Response, o *Outcome, refusals *int) bool {
	var p problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	o.Status, o.RunState, o.Err = resp.StatusCode, p.Run, fmt.Errorf("%d %s: %s", resp.StatusCode, p.Run, p.Detail)
	if resp.Header.Get("Retry-After") == "0" && *refusals < maxRefusals {
		*refusals++
		return false
	}
	return true
}

// newRequest returns the HTTP request for the next connection of a call: a resume from pos if the
// model call was accepted before, otherwise the call itself.
func (c *Client) newRequest(ctx context.Context, call Call, o *Outcome, pos int) (*http.Request, error) {
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
		}{call.Model, call.Prompt, call.MaxTokens, true, call.User})
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(b))
	default:
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/services/"+call.Path, strings.NewReader(call.Body))
	}
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps net/http from repeating the request by itself
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+call.Key)
	req.Header.Set("Request-Deadline", call.Deadline.Format(time.RFC3339Nano))
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	return req, nil
}

// streamEvent is the data of a server-sent event of a completion.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *problem `json:"error"`
}

const maxLine = 1 << 20

// readStream appends the text of server-sent events to body, counts them in pos, and reports whether
// the outcome is final.
func readStream(r io.Reader, o *Outcome, body *strings.Builder, pos *int) bool {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLine)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.Complete, o.Status = true, http.StatusOK
			return true
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			o.Err = err
			return true
		}
		if e.Error != nil {
			o.Status, o.RunState, o.Err = e.Error.Status, e.Error.Run, fmt.Errorf("%s: %s", e.Error.Run, e.Error.Detail)
			// An instance that stops sends this error; the stream can be resumed at another.
			return !strings.Contains(e.Error.Detail, "resume at another")
		}
		if len(e.Choices) > 0 {
			if *pos == 0 {
				o.FirstAt = time.Now()
			}
			body.WriteString(e.Choices[0].Text)
			*pos++
		}
	}
	o.Err = fmt.Errorf("stream ended early after %d events: %w", *pos, io.ErrUnexpectedEOF)
	return false
}
