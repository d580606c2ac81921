// Package hub answers the instances of a large fleet that read the store through one that
// follows it: what changed since they last asked, with the age of its last proof.
//
// Mirror is safe for concurrent use.
package hub

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/mirror"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Times of a hub's answers.
const (
	Wait  = 400 * time.Millisecond  // that a question is held if nothing has changed
	Stale = 1800 * time.Millisecond // after its last proof a hub is not to be relied on
)

// Mirror is what an instance that reads the store keeps for those that ask it.
type Mirror struct {
	clock                           *clock.Clock
	Operators, Endpoints, Instances *mirror.Copy // of what the operators wrote, the servers' and the nodes' entries
	configKey                       string

	mu       sync.Mutex
	items    []store.Item            // what the operators wrote, as last read; guarded by mu
	provedAt time.Time               // when that read was sent; guarded by mu
	packed   []byte                  // a configuration compressed; guarded by mu
	packedAt store.Revision          // its revision; guarded by mu
	parts    map[partKey]*packedPart // guarded by mu
}

// partKey names what an instance that asks does not know yet.
type partKey struct {
	of        *mirror.Copy
	after, at store.Revision
}

// packedPart is a part compressed for all that ask for the same.
type packedPart struct {
	bytes []byte
	until time.Time // when it is dropped
}

// NotProved is the age of a proof where there is none: a watch told of the
// configuration.
const NotProved = -1

// New returns a mirror that knows nothing yet, of a store whose configuration is at a key.
func New(configKey string, c *clock.Clock) *Mirror {
	return &Mirror{configKey: configKey, clock: c, parts: make(map[partKey]*packedPart), Operators: mirror.New(), Endpoints: mirror.New(), Instances: mirror.New()}
}

// Proved notes a read of what the operators wrote.
func (h *Mirror) Proved(items []store.Item, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !sent.After(h.provedAt) {
		return
	}
	h.items, h.provedAt = items, sent
}

// newest returns the configuration, when it was proved to be the newest, and the orders
// of roll-outs.
func (h *Mirror) newest() (config store.Item, provedAt time.Time, orders []store.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, item := range h.items {
		if item.Key == h.configKey {
			config = item
		} else {
			orders = append(orders, item)
		}
	}
	return config, h.provedAt, orders
}

// ErrUnknown says that an instance does not read the store, or cannot reach it.
var ErrUnknown = errors.New("this instance does not know what is in the store")

// SaysUnknown reports whether an instance that was asked answered with ErrUnknown.
func SaysUnknown(err error) bool {
	var f *fault.Error
	return errors.As(err, &f) && f.Step == fault.StepPeer && f.Kind == fault.KindNotFound
}

// Answer returns what an instance does not have yet, at once if there is anything.
func (h *Mirror) Answer(ctx context.Context, q *peerpb.Mirror) (*peerpb.MirrorAnswer, error) {
	late := time.NewTimer(Wait)
	defer late.Stop()
	for waited := false; ; {
		changes := []<-chan struct{}{h.Operators.Changed(), h.Endpoints.Changed(), h.Instances.Changed()}
		a, changed, err := h.look(q, h.clock.Now())
		if err != nil || changed || waited {
			return a, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-late.C:
			waited = true
		case <-changes[0]:
		case <-changes[1]:
		case <-changes[2]:
		}
	}
}

// Knows reports whether this instance can answer others.
func (h *Mirror) Knows(now time.Time) bool {
	_, _, err := h.look(&peerpb.Mirror{Config: math.MaxInt64, Servers: math.MaxInt64, Nodes: math.MaxInt64}, now)
	return err == nil
}

// look makes an answer, and reports whether anything in it has changed.
func (h *Mirror) look(q *peerpb.Mirror, now time.Time) (*peerpb.MirrorAnswer, bool, error) {
	servers, known := h.Endpoints.Since(store.Revision(q.Servers))
	nodes, alsoKnown := h.Instances.Since(store.Revision(q.Nodes))
	item, provedAt, orders := h.newest()
	if !known || !alsoKnown || now.Sub(provedAt) > Stale {
		return nil, false, ErrUnknown
	}
	a := &peerpb.MirrorAnswer{
		ProofAge: int64(now.Sub(provedAt)), ConfigRevision: int64(item.Revision),
		Servers: h.part(h.Endpoints, store.Revision(q.Servers), servers, q.Unpacks, now), Nodes: h.part(h.Instances, store.Revision(q.Nodes), nodes, q.Unpacks, now),
	}
	if watched, ok := h.Operators.Since(0); ok {
		for _, e := range watched.Events { // a watch may know before the next read
			switch {
			case e.Gone:
			case e.Key != h.configKey:
				orders = append(orders, e.Item)
			case e.Revision > item.Revision:
				item, a.ConfigRevision, a.ProofAge = e.Item, int64(e.Revision), NotProved
			}
		}
	}
	for _, order := range orders {
		if order.Revision > store.Revision(q.Orders) {
			a.Orders = append(a.Orders, mirrorItem(store.Event{Item: order}))
		}
	}
	if item.Revision > store.Revision(q.Config) {
		a.PackedConfig = h.pack(item)
	}
	changed := len(a.PackedConfig) > 0 || len(a.Orders) > 0 || len(servers.Events)+len(nodes.Events) > 0 || servers.Whole || nodes.Whole
	return a, changed, nil
}

// pack returns a configuration compressed. It is compressed once for all that ask.
func (h *Mirror) pack(item store.Item) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.packedAt != item.Revision {
		h.packed, h.packedAt = mirror.Pack(item.Value), item.Revision
	}
	return h.packed
}

// When parts are packed.
const (
	packFrom = 16              // items; fewer are not worth it
	packFor  = 2 * time.Second // instances that start together ask for the same
)

// part returns what changed in a copy, packed if the caller reads that and it is much. It is
// packed once for all that ask for the same, which keeps the links of hubs free while a
// large fleet starts.
func (h *Mirror) part(of *mirror.Copy, after store.Revision, c mirror.Change, unpacks bool, now time.Time) *peerpb.MirrorPart {
	if !unpacks || len(c.Events) < packFrom {
		return mirrorPart(c)
	}
	if c.Whole {
		after = 0 // all that are far behind get the same
	}
	key := partKey{of, after, c.At}
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.parts, func(_ partKey, p *packedPart) bool { return now.After(p.until) })
	p := h.parts[key]
	if p == nil {
		items, err := proto.Marshal(&peerpb.MirrorPart{Items: mirrorPart(c).Items})
		if err != nil {
			return mirrorPart(c) // as text that is not UTF-8 in a key
		}
		p = &packedPart{mirror.Pack(items), now.Add(packFor)}
		h.parts[key] = p
	}
	return &peerpb.MirrorPart{Whole: c.Whole, At: int64(c.At), Packed: p.bytes}
}

// Unpack reverses part.
func Unpack(p *peerpb.MirrorPart) error {
	if len(p.GetPacked()) == 0 {
		return nil
	}
	b, err := mirror.Unpack(p.Packed)
	if err != nil {
		return err
	}
	var items peerpb.MirrorPart
	if err := proto.Unmarshal(b, &items); err != nil {
		return fmt.Errorf("packed entries: %w", err)
	}
	p.Items, p.Packed = items.Items, nil
	return nil
}

func mirrorPart(c mirror.Change) *peerpb.MirrorPart {
	return &peerpb.MirrorPart{Whole: c.Whole, At: int64(c.At), Items: lo.Map(c.Events, func(e store.Event, _ int) *peerpb.MirrorItem {
		return mirrorItem(e)
	})}
}

func mirrorItem(e store.Event) *peerpb.MirrorItem {
	return &peerpb.MirrorItem{Key: e.Key, Value: e.Value, Revision: int64(e.Revision), Gone: e.Gone}
}

// Events returns the changes of an unpacked part.
func Events(p *peerpb.MirrorPart) []store.Event {
	return lo.Map(p.GetItems(), func(i *peerpb.MirrorItem, _ int) store.Event {
		return store.Event{Item: store.Item{Key: i.Key, Value: i.Value, Revision: store.Revision(i.Revision)}, Gone: i.Gone}
	})
}

// Items returns the items of events.
func Items(events []store.Event) []store.Item {
	return lo.Map(events, func(e store.Event, _ int) store.Item { return e.Item })
}
