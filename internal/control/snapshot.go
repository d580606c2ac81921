package control

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/admit"
	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/route"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Snapshot is the immutable control state that requests are served by. Its maps must
// not be modified.
type Snapshot struct {
	Self            member.Member
	Table           *table.View // nil until a table is known
	Stored          table.Stored
	View            *claim.View // nil until a view is known
	Members         []member.Member
	Models          Pools
	Services        Pools
	Leaving         bool      // this instance takes no new requests
	ReclaimDeadline time.Time // reclaim deadline of this instance; zero unless it is being reclaimed
	Demand          Demand    // recent usage on the other instances
}

// Pools maps the name of a model or service to its pool.
type Pools map[string]*route.Pool

// Each calls f for each endpoint of each pool.
func (p Pools) Each(f func(*route.Endpoint)) {
	for _, pool := range p {
		for _, hall := range pool.Halls {
			for _, e := range hall.Endpoints {
				f(e)
			}
		}
	}
}

// Demand is the usage on the other instances, summed by client account.
type Demand map[string]admit.Usage

// Member returns the entry instance with this ID, which may be this instance.
func (s *Snapshot) Member(id string) (member.Member, bool) {
	if id == s.Self.ID {
		return s.Self, true
	}
	for _, m := range s.Members {
		if m.ID == id {
			return m, true
		}
	}
	return member.Member{}, false
}

// Halls returns the number of halls with a usable entry instance, including the hall of
// this instance.
func (s *Snapshot) Halls() int {
	seen := map[string]bool{s.Self.Hall: true}
	for _, m := range s.Members {
		if m.Usable() {
			seen[m.Hall] = true
		}
	}
	return len(seen)
}
