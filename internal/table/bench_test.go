package table

import (
	"fmt"
	"testing"
)

// BenchmarkRead is the cost of taking a new revision, by the number of rows.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := testDocument()
			for i := range n {
				d.Rows = append(d.Rows, Row{Name: fmt.Sprintf("account-%04d", i), Cells: []Cell{{ColKind, string(KindAccount)}, {ColKey, someKey}, {ColWeight, "3"}, {ColLimitRate, "100"}}})
			}
			doc, err := d.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(doc)), "bytes")
			b.ReportAllocs()
			for range b.N {
				d, err := Decode(doc)
				if err != nil {
					b.Fatal(err)
				}
				NewView(d)
			}
		})
	}
}
