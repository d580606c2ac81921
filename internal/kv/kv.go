// Package kv is the client of the platform's key-value service.
//
// The service offers compare-and-swap, keys that expire, and watches. It has
// outages, and the response to a write can be lost after the write took effect:
// Put then fails with ErrUnknownOutcome, and the caller has to read the key to
// find out. Client is safe for concurrent use.
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

// Errors of calls.
var (
	ErrConflict       = errors.New("revision conflict")                         // the key has another revision; nothing was written
	ErrNotFound       = errors.New("key not found")                             // the key does not exist
	ErrUnavailable    = errors.New("store unavailable")                         // the service failed or was not reached; nothing was written
	ErrUnknownOutcome = errors.New("write outcome unknown")                     // the write may have taken effect
	ErrRateLimited    = errors.New("rate limit for calls of the store reached") // the call was not sent
)

// Entry is a key's value with its revision, the number of the write that set it.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// RateLimits limits the rate of calls of the service.
type RateLimits struct {
	Reads  rate.Limit // calls per second; a watch counts as one call
	Writes rate.Limit // calls per second
}

// TotalRateLimits are the limits for all processes together: half of the rates
// that the service allows, since it has other users.
var TotalRateLimits = RateLimits{Reads: 1000, Writes: 50}

const (
	rateBurst     = 20 // calls
	callTimeout   = 2 * time.Second
	watchTimeout  = 20 * time.Second // after which the service ends a watch without a change
	maxValueBytes = 1 << 20
)

// Client calls the service over HTTP.
type Client struct {
	base   string
	http   *http.Client
	reads  *rate.Limiter
	writes *rate.Limiter
	limits RateLimits
}

// New returns a client for the service at addr that sends calls through
// transport. Until SetProcessCount is called, the process may use all of
// limits.
func New(addr netip.AddrPort, transport http.RoundTripper, limits RateLimits) *Client {
	return &Client{
		base:   "http://" + addr.String() + "/kv/",
		http:   &http.Client{Transport: transport},
		reads:  rate.NewLimiter(limits.Reads, rateBurst),
		writes: rate.NewLimiter(limits.Writes, rateBurst),
		limits: limits,
	}
}

// SetProcessCount limits this process to an equal share of the limits among n
// processes.
func (c *Client) SetProcessCount(n int) {
	c.reads.SetLimit(c.limits.Reads / rate.Limit(max(1, n)))
	c.writes.SetLimit(c.limits.Writes / rate.Limit(max(1, n)))
}

// Get reads a key. It fails with ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	return c.readEntry(ctx, key, "", callTimeout)
}

// Watch waits until the revision of key is greater than after and returns the
// entry. If the service ends the wait before, Watch returns the unchanged entry.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, error) {
	q := "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.Itoa(int(watchTimeout.Milliseconds()))
	return c.readEntry(ctx, key, q, watchTimeout+callTimeout)
}

// Put writes value if the key's revision is expect, where 0 means that the key
// must not exist, and returns the new revision. The service deletes the key at
// expiry unless that is zero.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64, expiry time.Time) (uint64, error) {
	if len(value) > maxValueBytes {
		return 0, fmt.Errorf("put %s: value of %d bytes is larger than the service allows", key, len(value))
	}
	if !c.writes.Allow() {
		return 0, fmt.Errorf("put %s: %w", key, ErrRateLimited)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := "?expect=" + strconv.FormatUint(expect, 10)
	if !expiry.IsZero() {
		q += "&lapse=" + url.QueryEscape(expiry.Format(time.RFC3339Nano))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+url.PathEscape(key)+q, bytes.NewReader(value))
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w: %v", key, ErrUnknownOutcome, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return strconv.ParseUint(resp.Header.Get("Revision"), 10, 64)
	case http.StatusConflict:
		return 0, fmt.Errorf("put %s: %w", key, ErrConflict)
	case http.StatusServiceUnavailable:
		return 0, fmt.Errorf("put %s: %w", key, ErrUnavailable)
	default:
		return 0, fmt.Errorf("put %s: %w: status %d", key, ErrUnknownOutcome, resp.StatusCode)
	}
}

func (c *Client) readEntry(ctx context.Context, key, query string, timeout time.Duration) (Entry, error) {
	if err := c.reads.Wait(ctx); err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, ErrRateLimited)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+url.PathEscape(key)+query, nil)
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w", key, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w: %v", key, ErrUnavailable, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Entry{}, fmt.Errorf("get %s: %w", key, ErrNotFound)
	default:
		return Entry{}, fmt.Errorf("get %s: %w: status %d", key, ErrUnavailable, resp.StatusCode)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w: %v", key, ErrUnavailable, err)
	}
	if len(value) > maxValueBytes {
		return Entry{}, fmt.Errorf("get %s: %w: value exceeds %d bytes", key, ErrUnavailable, maxValueBytes)
	}
	rev, err := strconv.ParseUint(resp.Header.Get("Revision"), 10, 64)
	if err != nil {
		return Entry{}, fmt.Errorf("get %s: %w: revision %q", key, ErrUnavailable, resp.Header.Get("Revision"))
	}
	return Entry{Key: key, Value: value, Revision: rev}, nil
}
