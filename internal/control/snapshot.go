package control

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/admit"
	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/route"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Snapshot is the immutable state that traffic decides by. Its maps are never
// changed after it is published.
type Snapshot struct {
	Self     member.Member
	Table    *table.View // nil until one is known
	Stored   table.Stored
	View     *claim.View // nil until one is known
	Members  []member.Member
	Models   Pools
	Services Pools
	Leaving  bool      // this instance takes no new request
	LeaveBy  time.Time // when this instance goes; zero unless reclaimed
	Demand   Demand    // what the other instances were asked for of late
}

// Pools holds the pool of each model or service by its name.
type Pools map[string]*route.Pool

// Each calls f for each endpoint of all pools.
func (p Pools) Each(f func(*route.Endpoint)) {
	for _, pool := range p {
		for _, hall := range pool.Halls {
			for _, e := range hall.Endpoints {
				f(e)
			}
		}
	}
}

// Demand sums the usage of the other instances by account.
type Demand map[string]admit.Usage

// Member returns the entry instance with this ID, this one included.
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

// Halls returns the number of halls that have a usable entry instance.
func (s *Snapshot) Halls() int {
	seen := map[string]bool{s.Self.Hall: true}
	for _, m := range s.Members {
		if m.Usable() {
			seen[m.Hall] = true
		}
	}
	return len(seen)
}
