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

// Shard is the number of a part of the key space.
type Shard uint16

// Shards is the number of shards. It must be the same in all versions.
const Shards = 256

// GroupSize is the number of replicas of a shard.
const GroupSize = 3

// ShardOf returns the shard of a key.
func ShardOf(key string) Shard { return Shard(xxhash.Sum64String(key) % Shards) }

// Member is an entry instance in a view.
type Member struct {
	ID   string         `json:"id"` // name and incarnation: NAME#INCARNATION
	Hall string         `json:"hall"`
	Addr netip.AddrPort `json:"address"` // address for calls between instances
}

// View is the agreed set of entry instances that store claims. It changes rarely, by
// compare-and-swap in the key-value service of the platform. Previous holds the
// members of the preceding view, whose claims have to be transferred.
type View struct {
	Epoch    uint64   `json:"epoch"`   // number of the view; each change increments it
	Members  []Member `json:"members"` // sorted by ID
	Previous []Member `json:"before,omitempty"`

	groupsOnce     sync.Once // computes the groups from the fields above
	groups         [Shards][]Member
	previousGroups [Shards][]Member
}

// computeGroups computes the groups of all shards on the first call.
func (v *View) computeGroups() {
	v.groupsOnce.Do(func() {
		for s := range Shard(Shards) {
			v.groups[s] = group(v.Members, s)
			v.previousGroups[s] = group(v.Previous, s)
		}
	})
}

// DecodeView parses a stored view.
func DecodeView(b []byte) (*View, error) {
	var v View
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, fmt.Errorf("decode view: %w", err)
	}
	return &v, nil
}

// Encode returns the view in its stored form.
func (v *View) Encode() ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode view: %w", err)
	}
	return b, nil
}

// Next returns the successor of v with the given members.
func (v *View) Next(members []Member) *View {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return &View{Epoch: v.Epoch + 1, Members: members, Previous: v.Members}
}

// Has reports whether the view contains a member with this ID.
func (v *View) Has(id string) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID == id })
}

// Member returns the member with this ID, if there is one.
func (v *View) Member(id string) (Member, bool) {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Group returns the replicas of a shard, highest-ranked first.
func (v *View) Group(s Shard) []Member {
	v.computeGroups()
	return v.groups[s]
}

// PreviousGroup returns the replicas of a shard in the preceding view.
func (v *View) PreviousGroup(s Shard) []Member {
	v.computeGroups()
	return v.previousGroups[s]
}

// ranked is a member with its rendezvous hashing score for a shard.
type ranked struct {
	Member
	score uint64
}

// group returns the replicas of a shard: members are ranked by rendezvous hashing, and
// the highest-ranked member of each hall is taken. If there are too few halls, the
// highest-ranked remaining members complete the group.
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

// rank returns the rendezvous hashing score of a member for a shard.
func rank(id string, s Shard) uint64 {
	b := binary.LittleEndian.AppendUint16([]byte(id+"/"), uint16(s))
	return xxhash.Sum64(b)
}

// Majority returns the number of votes that form a majority of n.
func Majority(n int) int { return n/2 + 1 }
