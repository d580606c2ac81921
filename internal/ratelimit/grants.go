package ratelimit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
)

const (
	slotLength = 250 * time.Millisecond
	// grantSlots is the number of slots for which a grant is valid, its own included. Requests at
	// one instance come in bursts; with a single slot most grants of a strict limit would lapse.
	grantSlots = 4
	// minProbeRate is the rate in requests per second that is sent even if the limit is lower:
	// only the answer to a request shows that the limit was lifted.
	minProbeRate = 0.1
)

// Slot is an interval of slotLength whose grants for one endpoint are divided among the instances.
type Slot struct {
	Endpoint string
	Rate     float64 // requests per second that the endpoint accepts
	Index    int64   // slots since the Unix epoch
}

func slotAt(wall time.Time) int64 { return wall.UnixNano() / int64(slotLength) }

func slotStart(slot int64) time.Time { return time.Unix(0, slot*int64(slotLength)) }

// hash returns a hash of the endpoint and the index.
func (s Slot) hash() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(s.Index))
	return xxhash.Sum64(append(b, s.Endpoint...))
}

// Grants returns the number of requests that may be sent in the slot, by all instances together.
// Over consecutive slots the sum differs by less than one from what the rate admits.
func (s Slot) Grants() int {
	const maxGrants = math.MaxInt32
	perSlot := max(s.Rate, minProbeRate) * slotLength.Seconds()
	if perSlot >= maxGrants {
		return maxGrants
	}
	phase := float64(xxhash.Sum64String(s.Endpoint)>>11) / (1 << 53)
	return int(math.Floor(perSlot*float64(s.Index+1)+phase) - math.Floor(perSlot*float64(s.Index)+phase))
}

// GrantsOf returns the number of grants of a slot that belong to the instance self: an even share, and
// one of the remainder if rendezvous hashing ranks the instance high enough. names are the live
// instances; self may be missing.
func GrantsOf(s Slot, self string, names []string) int {
	grants, hash := s.Grants(), s.hash()
	own := rendezvous.Score(hash, self)
	others, before := 0, 0
	for _, name := range names {
		if name == self {
			continue
		}
		others++
		if rendezvous.Score(hash, name) > own {
			before++
		}
	}
	share, rest := grants/(others+1), grants%(others+1)
	if before < rest {
		share++
	}
	return share
}

// grants are the unused grants that this instance holds for one endpoint.
type grants struct {
	slot int64           // the latest slot whose grants were added
	left [grantSlots]int // unused grants by slot, modulo grantSlots
}

// emptyGrants returns no grants; the slot after the given one is the first whose grants are added.
func emptyGrants(slot int64) grants { return grants{slot: slot} }

// advance adds the grants of all slots up to the current one. Those that are grantSlots or more
// slots old lapse.
func (g *grants) advance(current int64, grantsOf func(slot int64) int) {
	if current < g.slot-grantSlots {
		*g = emptyGrants(current) // the time of day was set back
		return
	}
	if current-g.slot > grantSlots {
		g.slot = current - grantSlots
	}
	for g.slot < current {
		g.slot++
		g.left[g.slot%grantSlots] = grantsOf(g.slot)
	}
}

func (g *grants) available() bool {
	for _, n := range g.left {
		if n > 0 {
			return true
		}
	}
	return false
}

// take uses the oldest grant, and reports whether there was one.
func (g *grants) take() bool {
	for i := range int64(grantSlots) {
		n := &g.left[(g.slot+1+i)%grantSlots]
		if *n > 0 {
			*n--
			return true
		}
	}
	return false
}
