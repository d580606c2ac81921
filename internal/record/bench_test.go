package record

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkMemory reports the memory that a record takes with its prompt and tokens.
func BenchmarkMemory(b *testing.B) {
	const (
		records = 2000
		prompt  = 8 << 10
		tokens  = 200
	)
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := NewStore()
		for i := range records {
			r := New(Request{ID: fmt.Sprintf("r%032d", i), Account: "a", Class: "c", Body: make([]byte, prompt)}, "owner#1")
			for k := range tokens {
				_ = r.Append(k, fmt.Sprintf("tok%d ", k))
			}
			s.Add(r)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "bytes/record")
		runtime.KeepAlive(s)
	}
}

func BenchmarkAppend(b *testing.B) {
	r := New(Request{ID: "r"}, "owner#1")
	b.ReportAllocs()
	for i := range b.N {
		_ = r.Append(i, "token ")
	}
}
