// Package kv is the client of the platform's key-value service.
//
// The service offers compare-and-swap, time-limited keys and watches. It has
// outages, and an answer can be lost after the write took effect: Put then
// fails with ErrUnknown and the caller has to read the key again. Client is
// safe for concurrent use.
package kv

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

// Errors of the service.
var (
	ErrConflict = errors.New("revision conflict")                  // nothing was written
	ErrNotFound = errors.New("key not found")                      // the key has no value
	ErrDown     = errors.New("store unavailable")                  // nothing was written
	ErrUnknown  = errors.New("write outcome unknown")              // the write may have taken effect
	ErrBudget   = errors.New("call budget of the store exhausted") // the call was not made
)

// Entry is a value with the revision that wrote it.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Budget bounds how often the service is called.
type Budget struct {
	Reads  rate.Limit // calls per second; a waiting watch counts as one
	Writes rate.Limit
}

// FleetBudget is what all processes together may call at the most: half of
// the service's rates, since others use it too.
var FleetBudget = Budget{Reads: 1000, Writes: 50}

const (
	budgetBurst  = 20
	callTimeout  = 2 * time.Second
	watchTimeout = 20 * time.Second
	maxValue     = 1 << 20
)

// Client calls the service over HTTP.
type Client struct {
	base   string
	http   *http.Client
	reads  *rate.Limiter
	writes *rate.Limiter
	budget Budget
}

// New returns a client for the service at addr that calls through transport.
// Until SetFleet is called the process has the whole budget.
func New(addr netip.AddrPort, transport http.RoundTripper, b Budget) *Client {
	return &Client{
		base:   "http://" + addr.String() + "/kv/",
		http:   &http.Client{Transport: transport},
		reads:  rate.NewLimiter(b.Reads, budgetBurst),
		writes: rate.NewLimiter(b.Writes, budgetBurst),
		budget: b,
	}
}

// SetFleet gives this process its share of the budget among n processes.
func (c *Client) SetFleet(n int) {
	c.reads.SetLimit(c.budget.Reads / rate.Limit(max(1, n)))
	c.writes.SetLimit(c.budget.Writes / rate.Limit(max(1, n)))
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	return c.read(ctx, key, "", callTimeout)
}

// Watch waits until the revision of key is above after, or until the service
// ends the wait: then it returns the entry as it is.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	q := "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.Itoa(int(watchTimeout.Milliseconds()))
	return c.read(ctx, key, q, watchTimeout+callTimeout)
}

// Put writes value if the key's revision is still expect; 0 means that the
// key must not exist. A non-zero lapse makes the service delete the key then.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64, lapse time.Time) (uint64, error) {
	if len(value) > maxValue {
		return 0, fmt.Errorf("put %s: value of %d bytes is over the service's limit", key, len(value))
	}
	if !c.writes.Allow() {
		return 0, fmt.Errorf("put %s: %w", key, ErrBudget)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := "?expect=" + strconv.FormatUint(expect, 10)
	if !lapse.IsZero() {
		q += "&lapse=" + url.QueryEscape(lapse.Format(time.RFC3339Nano))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+url.PathEscape(key)+q, bytes.NewReader(value))
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w: %v", key, ErrUnknown, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return strconv.ParseUint(resp.Header.Get("Revision"), 10, 64)
	case http.StatusConflict:
		return 0, fmt.Errorf("put %s: %w", key, ErrConflict)
	case http.StatusServiceUnavailable:
		return 0, fmt.Errorf("put %s: %w", key, ErrDown)
	default:
		return 0, fmt.Errorf("put %s: %w: status %d", key, ErrUnknown, resp.StatusCode)
	}
}

func (c *Client) read(ctx context.Context, key, query string, timeout time.Duration) (Entry, error) {
	if err := c.reads.Wait(ctx); err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, ErrBudget)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+url.PathEscape(key)+query, nil)
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w: %v", key, ErrDown, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Entry{}, fmt.Errorf("get %s: %w", key, ErrNotFound)
	default:
		return Entry{}, fmt.Errorf("get %s: %w: status %d", key, ErrDown, resp.StatusCode)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxValue+1))
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w: %v", key, ErrDown, err)
	}
	rev, err := strconv.ParseUint(resp.Header.Get("Revision"), 10, 64)
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w: revision %q", key, ErrDown, resp.Header.Get("Revision"))
	}
	return Entry{Key: key, Value: value, Revision: rev}, nil
}
