package claim

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Shard is a part of the key space.
type Shard uint16

// Shards is the number of shards; it is the same in all versions.
const Shards = 256

// GroupSize is the number of keepers of a shard.
const GroupSize = 3

// ShardOf returns the shard of a key.
func ShardOf(key string) Shard { return Shard(xxhash.Sum64String(key) % Shards) }

// Member is an entry instance in a view.
type Member struct {
	ID   string         `json:"id"` // NAME#INCARNATION
	Hall string         `json:"hall"`
	Addr netip.AddrPort `json:"address"` // peer address
}

// View is an agreed set of keepers. It is changed rarely, by compare-and-swap
// in the platform's key-value service. Before has the members of the view
// before it, whose claims have to be collected.
type View struct {
	Epoch   uint64   `json:"epoch"`
	Members []Member `json:"members"` // sorted by ID
	Before  []Member `json:"before,omitempty"`

	once sync.Once // fills the groups, which follow from the fields above
	now  [Shards][]Member
	old  [Shards][]Member
}

func (v *View) fill() {
	v.once.Do(func() {
		for s := range Shard(Shards) {
			v.now[s] = group(v.Members, s)
			v.old[s] = group(v.Before, s)
		}
	})
}

// DecodeView parses a view document.
func DecodeView(b []byte) (*View, error) {
	var v View
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, fmt.Errorf("decode view: %w", err)
	}
	return &v, nil
}

// Encode returns the view document.
func (v *View) Encode() ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode view: %w", err)
	}
	return b, nil
}

// Next returns the view that follows v with other members.
func (v *View) Next(members []Member) *View {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return &View{Epoch: v.Epoch + 1, Members: members, Before: v.Members}
}

// Has reports whether a member is in the view.
func (v *View) Has(id string) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID == id })
}

// Member returns the member with this ID.
func (v *View) Member(id string) (Member, bool) {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Group returns the keepers of a shard, best first.
func (v *View) Group(s Shard) []Member {
	v.fill()
	return v.now[s]
}

// OldGroup returns the keepers of a shard in the view before.
func (v *View) OldGroup(s Shard) []Member {
	v.fill()
	return v.old[s]
}

type ranked struct {
	Member
	score uint64
}

// group ranks members by rendezvous hashing and takes the first of each hall;
// with too few halls it fills up with the next best.
func group(members []Member, s Shard) []Member {
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{m, rank(m.ID, s)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.ID, b.ID))
	})
	out := make([]Member, 0, GroupSize)
	for _, m := range all {
		if len(out) < GroupSize && !slices.ContainsFunc(out, func(o Member) bool { return o.Hall == m.Hall }) {
			out = append(out, m.Member)
		}
	}
	for _, m := range all {
		if len(out) < GroupSize && !hasMember(out, m.ID) {
			out = append(out, m.Member)
		}
	}
	return out
}

func rank(id string, s Shard) uint64 {
	b := binary.LittleEndian.AppendUint16([]byte(id+"/"), uint16(s))
	return xxhash.Sum64(b)
}

// Majority returns how many of n votes decide.
func Majority(n int) int { return n/2 + 1 }
