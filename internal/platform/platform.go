// Package platform is the client of the platform's lagging instance list and
// of the cloud API's reclaim notices. Client is safe for concurrent use.
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

// Keys of the key-value service that the system uses.
const (
	KeyTable = "table"
	KeyView  = "view"
)

// Kind says what an instance is.
type Kind string

// The kinds of instance.
const (
	KindEntry   Kind = "entry"
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// State is what the list says of an instance.
type State string

// The states of an instance; empty means live.
const (
	StateLive    State = ""
	StateLeaving State = "leaving"
)

// Instance is one line of the list.
type Instance struct {
	ID          string         `json:"id"`
	Incarnation uint64         `json:"incarnation"`
	Kind        Kind           `json:"kind"`
	Addr        netip.AddrPort `json:"address"`
	Peer        netip.AddrPort `json:"peer_address,omitzero"`
	Hall        string         `json:"hall"`
	Serves      string         `json:"serves,omitempty"` // model or service
	State       State          `json:"state,omitempty"`
	Deadline    time.Time      `json:"deadline,omitzero"` // when a leaving instance goes
}

// Notice announces a reclaim.
type Notice struct {
	ID          string    `json:"id"`
	Incarnation uint64    `json:"incarnation"`
	Deadline    time.Time `json:"deadline"`
}

// Notices is an answer of the notices feed.
type Notices struct {
	Next    int      `json:"next"` // where to go on
	Notices []Notice `json:"notices"`
}

const (
	callTimeout  = 3 * time.Second
	noticesWait  = 10 * time.Second
	maxListBytes = 8 << 20
)

// Client reads the list and the notices.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at addr.
func New(addr netip.AddrPort, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + addr.String(), http: &http.Client{Transport: transport}}
}

// Instances reads the lagging list.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list []Instance
	return list, c.get(ctx, "/instances", &list)
}

// Notices waits for notices after a place in the feed.
func (c *Client) Notices(ctx context.Context, after int) (Notices, error) {
	ctx, cancel := context.WithTimeout(ctx, noticesWait+callTimeout)
	defer cancel()
	var n Notices
	path := "/notices?after=" + strconv.Itoa(after) + "&wait_ms=" + strconv.Itoa(int(noticesWait.Milliseconds()))
	return n, c.get(ctx, path, &n)
}

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
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxListBytes)).Decode(v); err != nil {
		return fmt.Errorf("platform %s: %w", path, err)
	}
	return nil
}
