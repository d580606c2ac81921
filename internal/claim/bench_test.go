package claim

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkVote(b *testing.B) {
	v := (&View{}).Next(members(9, 4))
	k := NewReplica("n00#1")
	k.Install(v, t0, retention)
	b.ReportAllocs()
	granted := 0
	for i := range b.N {
		a := k.Vote(VoteRequest{Epoch: 1, Key: fmt.Sprintf("k%024d", i), Attempt: "n00#dna69e5auk91/abcdefghij", Owner: "n00#dna69e5auk91", ExpiresAt: t0.Add(time.Hour)}, t0)
		if a.Outcome == Granted {
			granted++
		}
	}
	b.ReportMetric(float64(granted)/float64(b.N), "granted/op")
}

// BenchmarkInstall measures the cost of a view change for one replica.
func BenchmarkInstall(b *testing.B) {
	for _, n := range []int{8, 32, 128, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			first := (&View{}).Next(members(n, 20))
			for range b.N {
				k := NewReplica("n00#1")
				k.Install((&View{}).Next(first.Members), t0, retention)
			}
		})
	}
}
