package control

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engine(id string, incarnation uint64) platform.Instance {
	return platform.Instance{ID: id, Incarnation: incarnation, Kind: platform.KindModel, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Hall: "a", Serves: "m"}
}

func TestLeavingIsStickyForTheIncarnation(t *testing.T) {
	is := is.New(t)
	s := NewState(member.Member{ID: "n#1", Name: "n"})
	list := InstanceListRead{Instances: []platform.Instance{engine("e", 1)}}
	s.Apply(list, t0)
	is.Equal(s.snap.Models["m"].Size, 1)
	effects := s.Apply(NoticesRead{[]platform.Notice{{ID: "e", Incarnation: 1, Deadline: t0.Add(time.Minute)}}}, t0)
	is.Equal(len(effects), 1)
	is.Equal(s.snap.Models["m"].Size, 0)
	s.Apply(list, t0.Add(10*time.Second)) // the list is stale and still contains it as live
	is.Equal(s.snap.Models["m"].Size, 0)
	s.Apply(InstanceListRead{Instances: []platform.Instance{engine("e", 2)}}, t0.Add(20*time.Second))
	is.Equal(s.snap.Models["m"].Size, 1) // a new incarnation with the same ID
}

func TestLeavingNoticeOfUnknownEndpointIsKept(t *testing.T) {
	is := is.New(t)
	s := NewState(member.Member{ID: "n#1", Name: "n"})
	s.Apply(HeartbeatReceived{Leaving: []platform.Notice{{ID: "e", Incarnation: 1, Deadline: t0.Add(time.Minute)}}}, t0)
	s.Apply(InstanceListRead{Instances: []platform.Instance{engine("e", 1)}}, t0.Add(time.Second))
	is.True(s.snap.Models["m"] == nil || s.snap.Models["m"].Size == 0)
}

func TestEndpointsAreRemovedAfterThreeMissedListReads(t *testing.T) {
	is := is.New(t)
	s := NewState(member.Member{ID: "n#1", Name: "n"})
	s.Apply(InstanceListRead{Instances: []platform.Instance{engine("e", 1)}}, t0)
	for range maxMissedReads - 1 {
		is.Equal(len(s.Apply(InstanceListRead{}, t0)), 0)
	}
	is.Equal(len(s.Apply(InstanceListRead{}, t0)), 1)
	is.Equal(s.snap.Models["m"].Size, 0)
}

func TestRevisionsAndEpochsNeverDecrease(t *testing.T) {
	is := is.New(t)
	s := NewState(member.Member{ID: "n#1", Name: "n"})
	read := func(rev uint64) int {
		return len(s.Apply(TableRead{Stored: table.Stored{Doc: &table.Document{Revision: rev}}}, t0))
	}
	is.Equal(read(5), 1)
	is.Equal(read(4), 0)
	is.Equal(read(5), 0)
	is.Equal(s.snap.Table.Revision, uint64(5))
	is.Equal(read(6), 1)
	is.Equal(len(s.Apply(ViewRead{&claim.View{Epoch: 3}}, t0)), 1)
	is.Equal(len(s.Apply(ViewRead{&claim.View{Epoch: 2}}, t0)), 0)
}

func TestOwnNoticeMakesTheInstanceLeave(t *testing.T) {
	is := is.New(t)
	s := NewState(member.Member{ID: "n#1", Name: "n"})
	effects := s.Apply(NoticesRead{[]platform.Notice{{ID: "n", Deadline: t0.Add(time.Minute)}}}, t0)
	is.Equal(effects, []Effect{SelfLeaving{By: t0.Add(time.Minute)}})
	is.True(s.snap.Leaving)
	is.Equal(len(s.Apply(Leave{}, t0)), 0) // already leaving
}

func TestPublishedSnapshotsDoNotChange(t *testing.T) {
	is := is.New(t)
	s := NewState(member.Member{ID: "n#1", Name: "n"})
	s.Apply(InstanceListRead{Instances: []platform.Instance{engine("e", 1)}}, t0)
	before, _ := s.Snapshot()
	s.Apply(InstanceListRead{Instances: []platform.Instance{engine("e", 1), engine("f", 1)}}, t0)
	is.Equal(before.Models["m"].Size, 1)
	after, changed := s.Snapshot()
	is.True(changed)
	is.Equal(after.Models["m"].Size, 2)
}
