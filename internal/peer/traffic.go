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

// Flow is one kind of calls that an instance makes.
type Flow struct {
	Kind    string // of the call, such as "Share"
	Crosses bool   // to an instance in another hall
}

// Volume is what the calls of a flow took since the instance started.
type Volume struct {
	Calls    int64
	Sent     int64 // bytes of calls
	Received int64 // bytes of answers
}

// traffic counts the calls that an instance makes. It is safe for concurrent use.
type traffic struct {
	mu      sync.Mutex
	flows   map[Flow]Volume           // guarded by mu
	crosses func(netip.AddrPort) bool // nil where halls are not known
}

func (t *traffic) add(to netip.AddrPort, call *peerpb.Call, v Volume) {
	f := Flow{Kind: kindOf(call), Crosses: t.crosses != nil && t.crosses(to)}
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.flows[f]
	sum.Calls += v.Calls
	sum.Sent += v.Sent
	sum.Received += v.Received
	t.flows[f] = sum
}

// Traffic returns what the calls of this instance took. Bytes are those of the messages,
// without what the session adds (two frames of 12 bytes for most).
func (n *Instance) Traffic() map[Flow]Volume {
	n.traffic.mu.Lock()
	defer n.traffic.mu.Unlock()
	return maps.Clone(n.traffic.flows)
}

// SetCrosses sets what tells whether an address is in another hall; it is called before
// Serve.
func (n *Instance) SetCrosses(crosses func(netip.AddrPort) bool) { n.traffic.crosses = crosses }

// kindOf returns the kind of a call: the name of its body's type.
func kindOf(call *peerpb.Call) string {
	if call.Body == nil {
		return ""
	}
	return strings.TrimPrefix(reflect.TypeOf(call.Body).Elem().Name(), "Call_")
}

// countingReader counts what is read.
type countingReader struct {
	io.Reader
	n int64
}

func (c *countingReader) Read(b []byte) (int, error) {
	k, err := c.Reader.Read(b)
	c.n += int64(k)
	return k, err
}
