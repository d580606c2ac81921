package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestFailureDetectionAndRecovery(t *testing.T) {
	is := is.New(t)
	l := NewList(Member{ID: "a#1", Name: "a"})
	l.Apply(Member{ID: "b#1", Name: "b", HeartbeatSeq: 1}, t0)
	is.Equal(len(l.Tick(t0.Add(SuspectAfter))), 1)
	is.Equal(l.Tick(t0.Add(DeadAfter))[0].Member.State, Dead)
	_, changed := l.Apply(Member{ID: "b#1", Name: "b", HeartbeatSeq: 1}, t0.Add(DeadAfter))
	is.True(!changed) // a stale update relayed by a peer does not revive it
	c, changed := l.Apply(Member{ID: "b#1", Name: "b", HeartbeatSeq: 2}, t0.Add(DeadAfter))
	is.True(changed)
	is.Equal(c.Member.State, Alive) // a newer heartbeat revives it
}

func TestLeavingIsSticky(t *testing.T) {
	is := is.New(t)
	l := NewList(Member{ID: "a#1", Name: "a"})
	l.Apply(Member{ID: "b#1", Name: "b", HeartbeatSeq: 5, Leaving: true}, t0)
	l.Apply(Member{ID: "b#1", Name: "b", HeartbeatSeq: 6}, t0) // does not know yet that it is leaving
	m, _ := l.Find("b#1")
	is.True(m.Leaving)
	l.Apply(Member{ID: "b#2", Name: "b", HeartbeatSeq: 1}, t0)
	m, _ = l.Find("b#2")
	is.True(m.Usable()) // a new incarnation is another member
	changes := l.Tick(t0)
	is.Equal(len(changes), 1) // the replaced incarnation is reported as dead, so that its records are taken over
	is.Equal(changes[0].Member.ID, "b#1")
	is.Equal(changes[0].Member.State, Dead)
	_, changed := l.Apply(Member{ID: "b#1", Name: "b", HeartbeatSeq: 99}, t0)
	is.True(!changed) // the replaced incarnation never returns
}

func TestNeighboursAreSparseWhenMany(t *testing.T) {
	is := is.New(t)
	l := NewList(Member{ID: "self#1", Name: "self", Hall: "h00"})
	for i := range 330 {
		l.Apply(Member{ID: fmt.Sprintf("m%03d#1", i), Name: fmt.Sprintf("m%03d", i), Hall: fmt.Sprintf("h%02d", i%20), HeartbeatSeq: 1}, t0.Add(time.Duration(i)))
	}
	neighbours := l.Neighbours()
	is.Equal(len(neighbours), maxSameHallNeighbours+maxOtherHallNeighbours)
	halls := make(map[string]int)
	for _, m := range neighbours {
		halls[m.Hall]++
	}
	is.Equal(halls["h00"], maxSameHallNeighbours)
	is.Equal(len(halls), 1+maxOtherHallNeighbours) // each neighbour in another hall is in a different one
}
