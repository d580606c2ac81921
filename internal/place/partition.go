package place

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
)

// MaxPartition is the maximum number of endpoints in a partition of a plain service. Eight endpoints
// of 6 slots at 60 ms serve 800 requests per second, which is what one hub can place.
const MaxPartition = 8

// Partitions is the division of the endpoints of a plain service into partitions, each of which one
// hub places requests on. It is immutable.
type Partitions struct {
	endpoints [][]registry.Endpoint // by partition
	ends      []int                 // number of endpoints in each partition and those before it
}

// Partition divides the endpoints of a service into as few partitions as have at most MaxPartition
// endpoints each. The result does not depend on the order of the endpoints.
//
// Plain rendezvous hashing would fill partitions unevenly. Endpoints are therefore matched with
// partitions of bounded size: each endpoint goes to the partition with the highest score for it that
// is not filled by endpoints with higher scores there. Both sides rank by the same scores, so that
// there is exactly one such matching, and an endpoint that joins or leaves moves only a chain of
// others.
func Partition(service string, endpoints []registry.Endpoint) Partitions {
	count := (len(endpoints) + MaxPartition - 1) / MaxPartition
	if count <= 1 {
		return newPartitions([][]registry.Endpoint{endpoints}[:count])
	}
	m := &matching{endpoints: endpoints, size: (len(endpoints) + count - 1) / count, members: make([][]proposal, count)}
	for i := range count {
		m.partitions = append(m.partitions, rendezvous.Hash(partitionKey(service, i)))
	}
	for i := range endpoints {
		m.assign(i)
	}
	partitions := make([][]registry.Endpoint, count)
	for i, members := range m.members {
		slices.SortFunc(members, func(a, b proposal) int { return cmp.Compare(endpoints[a.endpoint].ID, endpoints[b.endpoint].ID) })
		for _, p := range members {
			partitions[i] = append(partitions[i], endpoints[p.endpoint])
		}
	}
	return newPartitions(partitions)
}

func newPartitions(endpoints [][]registry.Endpoint) Partitions {
	p := Partitions{endpoints: endpoints}
	sum := 0
	for _, e := range endpoints {
		sum += len(e)
		p.ends = append(p.ends, sum)
	}
	return p
}

// partitionKey identifies a partition of a service in rendezvous hashing.
func partitionKey(service string, partition int) string {
	return service + "\x00" + strconv.Itoa(partition)
}

// proposal is the score of an endpoint at one partition.
type proposal struct {
	endpoint  int // index
	partition int
	score     uint64
}

// matching assigns endpoints to partitions by deferred acceptance: an endpoint proposes to the
// partitions in the order of their scores, and a full partition rejects the member with the lowest
// score.
type matching struct {
	endpoints  []registry.Endpoint
	partitions []uint64 // hashes of their keys
	size       int      // maximum number of members
	members    [][]proposal
}

// assign assigns an endpoint, and those that it displaces, to partitions.
func (m *matching) assign(endpoint int) {
	next, found := m.propose(endpoint, nil)
	for found {
		members := append(m.members[next.partition], next)
		m.members[next.partition] = members
		if len(members) <= m.size {
			return
		}
		worst := 0
		for i := range members {
			if m.ranksBelow(members[i], members[worst]) {
				worst = i
			}
		}
		rejected := members[worst]
		m.members[next.partition] = slices.Delete(members, worst, worst+1)
		next, found = m.propose(rejected.endpoint, &rejected)
	}
}

// ranksBelow reports whether a partition prefers b to a. Incarnations of one endpoint have the same
// score and rank by their IDs.
func (m *matching) ranksBelow(a, b proposal) bool {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(m.endpoints[b.endpoint].ID, m.endpoints[a.endpoint].ID)) < 0
}

// propose returns an endpoint's proposal to the partition that it ranks next after the one that
// rejected it, or first if that is nil.
func (m *matching) propose(endpoint int, rejected *proposal) (best proposal, found bool) {
	// An endpoint that restarts stays in its partition, as its store ID is the same.
	key := xxhash.Sum64String(m.endpoints[endpoint].StoreID())
	for i, hash := range m.partitions {
		score := rendezvous.ScoreOf(key, hash)
		if rejected != nil && (score > rejected.score || score == rejected.score && i <= rejected.partition) {
			continue
		}
		if !found || score > best.score {
			best, found = proposal{endpoint, i, score}, true
		}
	}
	return best, found
}

// Len returns the number of partitions.
func (p Partitions) Len() int { return len(p.endpoints) }

// Endpoints returns the endpoints of a partition. There are none if the index is out of range, as for
// the index -1 that Index returns for a service without endpoints.
func (p Partitions) Endpoints(partition int) []registry.Endpoint {
	if partition < 0 || partition >= len(p.endpoints) {
		return nil
	}
	return p.endpoints[partition]
}

// Index returns the partition that serves a request, -1 if there are no endpoints. Partitions get
// requests in proportion to their numbers of endpoints. A repetition of a request by its client,
// which has the same fingerprint, goes to the same partition.
func (p Partitions) Index(r *balance.Request) int {
	if len(p.ends) == 0 {
		return -1
	}
	key := r.Fingerprint
	if key == 0 {
		key = xxhash.Sum64String(r.ID)
	}
	endpoint, _ := bits.Mul64(rendezvous.Score(key, r.Service), uint64(p.ends[len(p.ends)-1]))
	partition, _ := slices.BinarySearch(p.ends, int(endpoint)+1)
	return partition
}

// PartitionHubs returns the hubs in the order in which they are asked for endpoints of a partition:
// each places requests on it while those before it do not respond.
func PartitionHubs(service string, partition int, hubs []string) []string {
	return rendezvous.Order(xxhash.Sum64String(partitionKey(service, partition)), hubs)
}
