// Package hub lets a few instances of a large fleet, the hubs, read the store on behalf of all.
//
// The other instances long-poll a hub for what changed in the store since their last request. An
// answer carries the age of the hub's last proof: its last read that showed which revision of the
// configuration is the newest.
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

// Limits of a hub's answers.
const (
	LongPollWait = 400 * time.Millisecond  // how long a request is held open while nothing changes
	MaxProofAge  = 1800 * time.Millisecond // a hub whose last proof is older does not answer requests
)

// Mirror answers requests of other instances from this instance's replicas of the store.
type Mirror struct {
	clock                              *clock.Clock
	OperatorKeys, Endpoints, Instances *mirror.Replica // of the operators' keys (configuration and roll-out orders), the endpoints' and the instances' entries
	configKey                          string

	mu             sync.Mutex
	provedItems    []store.Item            // all keys of the operators, as last read; guarded by mu
	provedAt       time.Time               // when the request of that read was sent; guarded by mu
	packedConfig   []byte                  // the configuration that was compressed last; guarded by mu
	packedRevision store.Revision          // revision of packedConfig; guarded by mu
	packedParts    map[partKey]*packedPart // guarded by mu
}

// partKey identifies the changes of a replica between two revisions.
type partKey struct {
	replica   *mirror.Replica
	after, at store.Revision
}

// packedPart is a compressed part, cached for all requests with the same partKey.
type packedPart struct {
	packed []byte
	dropAt time.Time // when it leaves the cache
}

// NoProof stands for the proof age of a configuration that a watch reported and no read has
// confirmed yet.
const NoProof = -1

// New returns a mirror whose replicas are empty. The store holds the configuration under configKey.
func New(configKey string, c *clock.Clock) *Mirror {
	return &Mirror{configKey: configKey, clock: c, packedParts: make(map[partKey]*packedPart), OperatorKeys: mirror.New(), Endpoints: mirror.New(), Instances: mirror.New()}
}

// RecordProof records the result of a read of all keys of the operators, whose request was sent at
// the given time. It ignores results of reads that are older than the last one recorded.
func (h *Mirror) RecordProof(items []store.Item, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !sent.After(h.provedAt) {
		return
	}
	h.provedItems, h.provedAt = items, sent
}

// lastRead returns the configuration and the roll-out orders of the last recorded read, and when
// the request of that read was sent.
func (h *Mirror) lastRead() (config store.Item, provedAt time.Time, orders []store.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, item := range h.provedItems {
		if item.Key == h.configKey {
			config = item
		} else {
			orders = append(orders, item)
		}
	}
	return config, h.provedAt, orders
}

// ErrNotCurrent is returned to a request when this instance does not read the store or has had no
// recent proof.
var ErrNotCurrent = errors.New("this instance has no current copy of the store")

// IsNotCurrent reports whether err is the ErrNotCurrent of another instance.
func IsNotCurrent(err error) bool {
	var f *fault.Error
	return errors.As(err, &f) && f.Step == fault.StepPeer && f.Kind == fault.KindNotFound
}

// Answer returns what changed since the revisions in the request q. It returns at once if anything
// did, else with the first change or after LongPollWait.
func (h *Mirror) Answer(ctx context.Context, q *peerpb.Mirror) (*peerpb.MirrorAnswer, error) {
	timeout := time.NewTimer(LongPollWait)
	defer timeout.Stop()
	for waited := false; ; {
		changes := []<-chan struct{}{h.OperatorKeys.Changed(), h.Endpoints.Changed(), h.Instances.Changed()}
		a, changed, err := h.buildAnswer(q, h.clock.Now())
		if err != nil || changed || waited {
			return a, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout.C:
			waited = true
		case <-changes[0]:
		case <-changes[1]:
		case <-changes[2]:
		}
	}
}

// Ready reports whether this instance can answer requests.
func (h *Mirror) Ready(now time.Time) bool {
	_, _, err := h.buildAnswer(&peerpb.Mirror{Config: math.MaxInt64, Servers: math.MaxInt64, Nodes: math.MaxInt64}, now)
	return err == nil
}

// buildAnswer returns an answer to q, and reports whether it holds any change. It returns
// ErrNotCurrent if a replica has had no listing yet or the last proof is older than MaxProofAge.
func (h *Mirror) buildAnswer(q *peerpb.Mirror, now time.Time) (*peerpb.MirrorAnswer, bool, error) {
	endpoints, endpointsListed := h.Endpoints.Since(store.Revision(q.Servers))
	instances, instancesListed := h.Instances.Since(store.Revision(q.Nodes))
	item, provedAt, orders := h.lastRead()
	if !endpointsListed || !instancesListed || now.Sub(provedAt) > MaxProofAge {
		return nil, false, ErrNotCurrent
	}
	a := &peerpb.MirrorAnswer{
		ProofAge: int64(now.Sub(provedAt)), ConfigRevision: int64(item.Revision),
		Servers: h.partFor(h.Endpoints, store.Revision(q.Servers), endpoints, q.Unpacks, now), Nodes: h.partFor(h.Instances, store.Revision(q.Nodes), instances, q.Unpacks, now),
	}
	if watched, ok := h.OperatorKeys.Since(0); ok {
		for _, e := range watched.Events { // a watch may report a change before the next read does
			switch {
			case e.Deleted:
			case e.Key != h.configKey:
				orders = append(orders, e.Item)
			case e.Revision > item.Revision:
				item, a.ConfigRevision, a.ProofAge = e.Item, int64(e.Revision), NoProof
			}
		}
	}
	for _, order := range orders {
		if order.Revision > store.Revision(q.Orders) {
			a.Orders = append(a.Orders, encodeItem(store.Event{Item: order}))
		}
	}
	if item.Revision > store.Revision(q.Config) {
		a.PackedConfig = h.packConfig(item)
	}
	changed := len(a.PackedConfig) > 0 || len(a.Orders) > 0 || len(endpoints.Events)+len(instances.Events) > 0 || endpoints.Snapshot || instances.Snapshot
	return a, changed, nil
}

// packConfig compresses a configuration. The result is cached, so that each revision is compressed
// once for all requests.
func (h *Mirror) packConfig(item store.Item) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.packedRevision != item.Revision {
		h.packedConfig, h.packedRevision = mirror.Pack(item.Value), item.Revision
	}
	return h.packedConfig
}

// Limits of the compression of parts.
const (
	minPackedItems = 16              // parts with fewer items are sent uncompressed
	packedLifetime = 2 * time.Second // instances that start together request the same part
)

// partFor encodes the change c of a replica since the revision after. A part of at least
// minPackedItems items is compressed if the caller can unpack it (unpacks). The compressed form is
// cached for requests with the same revisions, which saves the hub's bandwidth and processor time
// while a large fleet starts.
func (h *Mirror) partFor(replica *mirror.Replica, after store.Revision, c mirror.Change, unpacks bool, now time.Time) *peerpb.MirrorPart {
	if !unpacks || len(c.Events) < minPackedItems {
		return encodePart(c)
	}
	if c.Snapshot {
		after = 0 // a snapshot does not depend on the caller's revision
	}
	key := partKey{replica, after, c.At}
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.packedParts, func(_ partKey, p *packedPart) bool { return now.After(p.dropAt) })
	p := h.packedParts[key]
	if p == nil {
		items, err := proto.Marshal(&peerpb.MirrorPart{Items: encodePart(c).Items})
		if err != nil {
			return encodePart(c) // a key that is not UTF-8 cannot be marshalled
		}
		p = &packedPart{mirror.Pack(items), now.Add(packedLifetime)}
		h.packedParts[key] = p
	}
	return &peerpb.MirrorPart{Whole: c.Snapshot, At: int64(c.At), Packed: p.packed}
}

// UnpackPart replaces the compressed items of a part, if it has any, by the items themselves.
func UnpackPart(p *peerpb.MirrorPart) error {
	if len(p.GetPacked()) == 0 {
		return nil
	}
	b, err := mirror.Unpack(p.Packed)
	if err != nil {
		return err
	}
	var items peerpb.MirrorPart
	if err := proto.Unmarshal(b, &items); err != nil {
		return fmt.Errorf("decode packed entries: %w", err)
	}
	p.Items, p.Packed = items.Items, nil
	return nil
}

// encodePart encodes a change without compressing it.
func encodePart(c mirror.Change) *peerpb.MirrorPart {
	return &peerpb.MirrorPart{Whole: c.Snapshot, At: int64(c.At), Items: lo.Map(c.Events, func(e store.Event, _ int) *peerpb.MirrorItem {
		return encodeItem(e)
	})}
}

// encodeItem encodes one event.
func encodeItem(e store.Event) *peerpb.MirrorItem {
	return &peerpb.MirrorItem{Key: e.Key, Value: e.Value, Revision: int64(e.Revision), Gone: e.Deleted}
}

// DecodeEvents returns the changes in a part that is not compressed. It reverses encodePart.
func DecodeEvents(p *peerpb.MirrorPart) []store.Event {
	return lo.Map(p.GetItems(), func(i *peerpb.MirrorItem, _ int) store.Event {
		return store.Event{Item: store.Item{Key: i.Key, Value: i.Value, Revision: store.Revision(i.Revision)}, Deleted: i.Gone}
	})
}

// Items returns the item of each event.
func Items(events []store.Event) []store.Item {
	return lo.Map(events, func(e store.Event, _ int) store.Item { return e.Item })
}
