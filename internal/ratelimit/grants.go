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
	// grantSlots is the number of slots for which a grant holds, its own included. Requests of
	// one instance come in clumps; without it most grants of a strict limit would lapse.
	grantSlots = 4
	// leastRate is the rate at which an endpoint is asked although it names a lower one: only
	// an answer shows that a limit was lifted.
	leastRate = 0.1
)

// Slot is a stretch of time whose grants are divided among the instances.
type Slot struct {
	Endpoint string
	Rate     float64 // requests a second that the endpoint accepts
	Index    int64   // slots since the epoch
}

func slotAt(wall time.Time) int64 { return wall.UnixNano() / int64(slotLength) }

func slotStart(slot int64) time.Time { return time.Unix(0, slot*int64(slotLength)) }

// hash identifies the slot of one endpoint.
func (s Slot) hash() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(s.Index))
	return xxhash.Sum64(append(b, s.Endpoint...))
}

// Grants returns how many requests the endpoint accepts in the slot. Over consecutive slots
// the sum differs by less than one from what the rate admits.
func (s Slot) Grants() int {
	const most = math.MaxInt32
	per := max(s.Rate, leastRate) * slotLength.Seconds()
	if per >= most {
		return most
	}
	phase := float64(xxhash.Sum64String(s.Endpoint)>>11) / (1 << 53)
	return int(math.Floor(per*float64(s.Index+1)+phase) - math.Floor(per*float64(s.Index)+phase))
}

// Rendezvous returns the grants of a slot that belong to one instance: an even part, and one
// more for those that rendezvous hashing ranks first.
func Rendezvous(s Slot, self string, names []string) int {
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

// grants are what an instance holds of one endpoint's limit.
type grants struct {
	slot int64           // the latest slot that is counted
	left [grantSlots]int // by slot, modulo grantSlots
}

// newGrants holds nothing; the next slot is the first that counts.
func newGrants(slot int64) grants { return grants{slot: slot} }

// advance adds the grants of all slots up to the current one. Those of earlier slots lapse.
func (g *grants) advance(current int64, of func(slot int64) int) {
	if current < g.slot-grantSlots {
		*g = newGrants(current) // the time of day was corrected
		return
	}
	if current-g.slot > grantSlots {
		g.slot = current - grantSlots
	}
	for g.slot < current {
		g.slot++
		g.left[g.slot%grantSlots] = of(g.slot)
	}
}

func (g *grants) any() bool {
	for _, n := range g.left {
		if n > 0 {
			return true
		}
	}
	return false
}

// take uses the oldest grant, if there is one.
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
