package front

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shelfcrank/shelfcrank/internal/payload"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	suspectwire "github.com/shelfcrank/shelfcrank/internal/quarantine/wire"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit/wire"
)

// Any Share message, also one of an instance of another version, is decoded without a panic or an
// invalid state.
func FuzzShare(f *testing.F) {
	whole, err := proto.Marshal(&peerpb.Share{
		Node: "n", Incarnation: 7, Wall: 9, Group: true, Stands: 2,
		Accounts: []*peerpb.AccountShare{{Name: "a", Admitted: 1, Windows: []*peerpb.WindowCount{{Window: 1, Count: 2}}}},
		Servers:  []*peerpb.ServerShare{{Id: "e", Open: 1}},
		Services: []*peerpb.ServiceShare{{Name: "s", PaceWeight: 1}},
		Limits:   []*peerpb.EndpointLimit{{Endpoint: "e", Named: true, Rate: 1.5, Age: 10}},
		Rollouts: &peerpb.Rollouts{Counts: []*peerpb.RolloutCount{{Service: "s", Begun: 1}}, States: []*peerpb.RolloutState{{Service: "s"}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte{})
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	f.Fuzz(func(t *testing.T, message []byte) {
		var s peerpb.Share
		if proto.Unmarshal(message, &s) != nil {
			return
		}
		updateOf(&s)
		accountCounts(s.Accounts)
		decodeRolloutCounts(s.Rollouts.GetCounts())
		decodeRolloutStates(s.Rollouts)
		decodeReport(&s, now)
		agedInstances(s.Instances, time.Second)
		limits := ratelimit.New(ratelimit.Options{Self: "n"})
		limits.Apply(wire.Decode(s.Limits), now)
		for _, l := range s.Limits {
			if err := limits.Take(l.Endpoint, now); err != nil && !limits.NextAllowed(l.Endpoint, now).After(now) {
				t.Fatalf("no grant for %s, and the time of the next one is not in the future", l.Endpoint)
			}
		}
	})
}

// No Suspects message makes a quarantine exceed the maximum length.
func FuzzSuspects(f *testing.F) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	suspect := quarantine.Suspect{Fingerprint: quarantine.Of("GET", "/", "a", payload.Of([]byte("body"))), Ends: map[string]time.Time{"e": now}, QuarantinedUntil: now.Add(time.Minute)}
	part := suspect
	part.Fingerprint, part.Part = quarantine.OfPart("p"), "p"
	whole, err := proto.Marshal(suspectwire.Encode([]quarantine.Suspect{suspect, part}, now))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Fuzz(func(t *testing.T, message []byte) {
		var m peerpb.Suspects
		if proto.Unmarshal(message, &m) != nil {
			return
		}
		table := quarantine.New(quarantine.Options{Length: time.Minute, MaxSuspects: 100})
		for _, s := range suspectwire.Decode(&m, now) {
			table.Apply([]quarantine.Suspect{s}, now)
			if _, until := table.Verdict(s.Fingerprint, now); until.After(now.Add(quarantine.MaxLength)) {
				t.Fatalf("quarantined until %s", until)
			}
		}
	})
}
