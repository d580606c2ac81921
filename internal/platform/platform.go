// Package platform is the client of the platform's instance list, which lags behind the actual
// state, and of the cloud API's reclaim notices. Client is safe for concurrent use.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// Keys that the system uses in the platform's key-value service.
const (
	KeyTable = "table"
	KeyView  = "view"
)

// Kind is the role of an instance.
type Kind string

// Roles of instances.
const (
	KindEntry   Kind = "entry"
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// State is the state of an instance in the list.
type State string

// States of an instance. The list leaves the field out for a live one.
const (
	StateLive    State = ""
	StateLeaving State = "leaving"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID          string         `json:"id"`
	Incarnation uint64         `json:"incarnation"`
	Kind        Kind           `json:"kind"`
	Addr        netip.AddrPort `json:"address"`
	Peer        netip.AddrPort `json:"peer_address,omitzero"`
	Hall        string         `json:"hall"`
	Serves      string         `json:"serves,omitempty"`  // name of the model or service that it serves
	Version     string         `json:"version,omitempty"` // of the software of an endpoint; empty if it states none
	State       State          `json:"state,omitempty"`
	Deadline    time.Time      `json:"deadline,omitzero"` // time of the shutdown of a leaving instance
}

// Notice announces that the cloud will reclaim an instance at Deadline.
type Notice struct {
	ID          string    `json:"id"`
	Incarnation uint64    `json:"incarnation"`
	Deadline    time.Time `json:"deadline"`
}

// Notices is one response of the reclaim notices feed.
type Notices struct {
	Next    int      `json:"next"` // position in the feed to read from next
	Notices []Notice `json:"notices"`
}

const (
	callTimeout      = 3 * time.Second
	noticesWait      = 10 * time.Second
	maxResponseBytes = 8 << 20
)

// Client reads the instance list and the reclaim notices.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at addr.
func New(addr netip.AddrPort, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + addr.String(), http: &http.Client{Transport: transport}}
}

// Instances returns the instance list, which may be out of date.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list []Instance
	return list, c.get(ctx, "/instances", &list)
}

// Notices returns the notices after a position in the feed. If there are none it waits for up to
// noticesWait.
func (c *Client) Notices(ctx context.Context, after int) (Notices, error) {
	ctx, cancel := context.WithTimeout(ctx, noticesWait+callTimeout)
	defer cancel()
	var n Notices
	path := "/notices?after=" + strconv.Itoa(after) + "&wait_ms=" + strconv.Itoa(int(noticesWait.Milliseconds()))
	return n, c.get(ctx, path, &n)
}

// get requests a path and decodes the JSON response into v.
func (c *Client) get(ctx context.Context, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return fmt.Errorf("platform %s: %w", path, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("platform %s: %w", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("platform %s: status %d", path, resp.StatusCode)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxResponseBytes)).Decode(v); err != nil {
		return fmt.Errorf("platform %s: %w", path, err)
	}
	return nil
}
