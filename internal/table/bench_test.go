package table

import (
	"fmt"
	"testing"
)

// BenchmarkDecodeAndView measures decoding a new revision and computing its View, by the
// number of rows.
func BenchmarkDecodeAndView(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := testDocument()
			for i := range n {
				d.Rows = append(d.Rows, Row{Name: fmt.Sprintf("account-%04d", i), Cells: []Cell{{ColKind, string(KindAccount)}, {ColKey, testKeySHA256}, {ColWeight, "3"}, {ColLimitRate, "100"}}})
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
