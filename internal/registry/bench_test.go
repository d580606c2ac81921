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
	all := make([]Server, 2300)
	for i := range all {
		all[i] = Server{ID: fmt.Sprint("i-", i), Service: "llm", Hall: "z", Slots: 64}
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Replace(all, nil, 0, false, began)
	}
}
