package directory

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

func instance(i int) topology.Member {
	return topology.Member{Name: fmt.Sprint("n", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7600), Hall: "z", Cores: 0.5}
}

func full() Directory {
	var d Directory
	for i := range Slots {
		d = d.Apply(Entry{Slot: i, Holder: instance(i), Revision: store.Revision(100 + i)})
	}
	return d
}

func TestAHolderIsDecodedAsEncoded(t *testing.T) {
	is := is.New(t)
	b, err := Encode(instance(7))
	is.NoErr(err)
	e, err := Decode(Key(3), b, 42)
	is.NoErr(err)
	is.Equal(e, Entry{Slot: 3, Holder: instance(7), Revision: 42})
	for _, bad := range []struct{ key, value string }{{"x", string(b)}, {"-1", string(b)}, {Key(Slots), string(b)}, {"3", "{"}, {"3", "{}"}} {
		_, err := Decode(bad.key, []byte(bad.value), 1)
		is.True(err != nil)
	}
}

// An instance that restarts must not take a second slot, and a slot of another must not be claimed
// as if it were free.
func TestAClaimNamesTheOwnSlotOrAFreeOne(t *testing.T) {
	is := is.New(t)
	for i := range 50 {
		e, ok := Directory(nil).Claim(instance(i))
		is.True(ok && e.Slot >= 0 && e.Slot < Slots && e.Revision == 0)
	}
	d := full()
	e, ok := d.Claim(instance(5))
	is.True(ok)
	is.Equal(e, Entry{Slot: 5, Holder: instance(5), Revision: 105})
	_, ok = d.Claim(instance(99))
	is.True(!ok)
	d = d.Apply(Entry{Slot: 9, Revision: 200}) // released
	e, ok = d.Claim(instance(99))
	is.True(ok)
	is.Equal(e, Entry{Slot: 9, Holder: instance(99)})
	e, ok = d.Replace(instance(99))
	is.True(ok && e.Revision != 0)
	_, ok = Directory(nil).Replace(instance(99))
	is.True(!ok)
}

func TestAnOlderChangeOfASlotIsIgnored(t *testing.T) {
	is := is.New(t)
	d := Directory(nil).Apply(Entry{Slot: 1, Holder: instance(1), Revision: 10})
	d = d.Apply(Entry{Slot: 1, Revision: 9})
	d = d.Apply(Entry{Slot: 1, Holder: instance(2), Revision: 8})
	is.Equal(d, Directory{{Slot: 1, Holder: instance(1), Revision: 10}})
}

func TestCallersSpreadOverTheHolders(t *testing.T) {
	is := is.New(t)
	first := make(map[string]int)
	for i := range 1600 {
		others := full().Others(fmt.Sprint("caller", i))
		is.Equal(len(others), Slots)
		first[others[0].Name]++
	}
	for _, n := range first {
		is.True(n > 50 && n < 200)
	}
	is.Equal(len(full().Others(instance(3).Name)), Slots-1)
}

// Instances that all start at the same moment must not all claim a slot before they see the claims
// of the others, however many there are; and a few instances must not wait long.
func TestFewClaimWhateverTheSizeOfTheFleet(t *testing.T) {
	const claimTime = 20 * time.Millisecond
	for _, instances := range []int{1, 10, 100, 1000, 3000} {
		r := rand.New(rand.NewPCG(1, uint64(instances)))
		worst, latest := 0, time.Duration(0)
		for range 200 {
			var delays []time.Duration
			for range instances {
				delays = append(delays, ClaimDelay(0.2, r.Float64()))
			}
			first, claims := slices.Min(delays), 0
			for _, d := range delays {
				if d <= first+claimTime {
					claims++
				}
			}
			worst, latest = max(worst, claims), max(latest, first)
		}
		t.Logf("%d instances: at most %d claims, the first after %s at the latest", instances, worst, latest)
		if worst > 2*Slots || latest > weakDelay+claimSpread {
			t.Errorf("%d instances", instances)
		}
	}
	if ClaimDelay(0.8, 1) > ClaimDelay(0, 0) {
		t.Error("an instance with much processor time claims after one with little")
	}
}

func TestRegistrationsStayBelowHalfOfTheWrites(t *testing.T) {
	is := is.New(t)
	is.Equal(RegistrationSpread(topology.SmallFleet, 400), time.Duration(0))
	for _, instances := range []int{17, 300, 1000, 2000, 4000} {
		const writes = 3200
		perSecond := float64(instances*writesPerRegistration) / RegistrationSpread(instances, writes).Seconds()
		is.True(perSecond < writes/2)
	}
}

func TestSlotsFollowTheSizeOfTheFleet(t *testing.T) {
	is := is.New(t)
	one := Directory{{Slot: 1, Holder: instance(1)}}
	is.True(!one.Crowded(CallersPerHolder))
	is.True(one.Crowded(CallersPerHolder + 1))
	is.True(!full().Crowded(100 * CallersPerHolder)) // there are no more slots
	candidates := 0
	for i := range 1000 {
		if one.Candidate(1000, float64(i)/1000) {
			candidates++
		}
	}
	is.Equal(candidates, candidatesPerSlot*(Slots-1))
	is.True(!full().Candidate(1000, 0))
	is.Equal(one.FleetSize(20), 21)
	is.Equal(full().FleetSize(60), Slots*61)
}
