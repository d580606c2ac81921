package peer

import (
	"io"
	"maps"
	"net/netip"
	"reflect"
	"strings"
	"sync"

	"github.com/shelfcrank/shelfcrank/internal/peerpb"
)

// Flow is a class of calls that are counted together.
type Flow struct {
	Kind      string // type of the call, such as "Share"
	CrossHall bool   // whether the called instance is in another hall
}

// Volume is the number and size of calls since the instance started.
type Volume struct {
	Calls    int64
	Sent     int64 // bytes of call messages
	Received int64 // bytes of responses
}

// traffic counts the calls that this instance makes. It is safe for concurrent
// use.
type traffic struct {
	mu        sync.Mutex
	flows     map[Flow]Volume           // guarded by mu
	otherHall func(netip.AddrPort) bool // reports whether an address is in another hall; nil if halls are not known
}

func (t *traffic) add(to netip.AddrPort, call *peerpb.Call, v Volume) {
	f := Flow{Kind: kindOf(call), CrossHall: t.otherHall != nil && t.otherHall(to)}
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.flows[f]
	sum.Calls += v.Calls
	sum.Sent += v.Sent
	sum.Received += v.Received
	t.flows[f] = sum
}

// Traffic returns the volume of the calls that this instance made, by flow. It
// counts the bytes of messages, without the overhead of the session, which is
// two frames of 12 bytes for most calls.
func (t *Transport) Traffic() map[Flow]Volume {
	t.traffic.mu.Lock()
	defer t.traffic.mu.Unlock()
	return maps.Clone(t.traffic.flows)
}

// SetCrossHallFunc sets the function that reports whether an address is in
// another hall. It must be called before Serve.
func (t *Transport) SetCrossHallFunc(otherHall func(netip.AddrPort) bool) {
	t.traffic.otherHall = otherHall
}

// kindOf returns the type of a call: the name of its body's message type.
func kindOf(call *peerpb.Call) string {
	if call.Body == nil {
		return ""
	}
	return strings.TrimPrefix(reflect.TypeOf(call.Body).Elem().Name(), "Call_")
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	n int64
}

func (c *countingReader) Read(b []byte) (int, error) {
	k, err := c.Reader.Read(b)
	c.n += int64(k)
	return k, err
}
