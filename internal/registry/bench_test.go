package registry

import (
	"fmt"
	"testing"
)

// A listing of 2,300 servers is taken. On 8 cores, busy beside: 0.76 ms and 2,309
// allocations while a server had one incarnation; 1.45 ms with several, and 0.50 ms and 10
// allocations now that the entries in hand are written over.
func BenchmarkReplace(b *testing.B) {
	r := New(testDrain)
	all := make([]Endpoint, 2300)
	for i := range all {
		all[i] = Endpoint{ID: fmt.Sprint("i-", i), Service: "llm", Hall: "z", Slots: 64}
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Replace(all, nil, 0, false, began)
	}
}

// What runs ten times a second, and with each proof of the configuration, while nothing
// happens to 2,300 servers. One core: 80 µs and 1.26 ms with 0.5 MB while each looked at all of
// them, 32 ns and 2 ns since.
func BenchmarkQuiet(b *testing.B) {
	r := New(testDrain)
	for i := range 2300 {
		r.Put(Endpoint{ID: fmt.Sprint("i-", i), Service: "llm", Hall: "z", Slots: 64}, began)
	}
	b.Run("expire", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.Expire(false, began)
		}
	})
	b.Run("list", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.List()
		}
	})
}
