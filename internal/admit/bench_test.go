package admit

import (
	"testing"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/table"
)

func BenchmarkAdmit(b *testing.B) {
	l := New()
	a := &table.Account{Name: "a", LimitRate: 1e9, LimitTokens: 1e9, LimitConcurrent: 1e9}
	b.ReportAllocs()
	for i := range b.N {
		l.Admit(a, 100, Usage{Rate: 50, Tokens: 5000}, t0.Add(time.Duration(i)*time.Microsecond))
		l.Done("a")
	}
}
