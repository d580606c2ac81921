package mirror

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// bigConfig returns the JSON of a configuration with a number of routes.
func bigConfig(routes int) []byte {
	c := policy.Config{Version: 2, Services: []policy.Service{{Name: "svc"}}}
	for i := range routes {
		c.Routes = append(c.Routes, policy.Route{
			Name: fmt.Sprint("route-", i), Host: "shop.example", Prefix: fmt.Sprintf("/big%d/", i*7919%100_003), Kind: policy.Safe,
			Timeout: 3 * time.Second, MaxAttempts: 2, Split: []policy.Share{{Service: "svc", Weight: 1}},
		})
	}
	value, _ := json.Marshal(c)
	return value
}

func TestAPackedConfigurationIsTheSame(t *testing.T) {
	is := is.New(t)
	value := bigConfig(1700)
	packed := Pack(value)
	t.Logf("%d bytes, %d packed", len(value), len(packed))
	is.True(len(packed) < len(value)/6)
	got, err := Unpack(packed)
	is.NoErr(err)
	is.True(bytes.Equal(got, value))
}

func TestWhatCannotBeUnpacked(t *testing.T) {
	is := is.New(t)
	packed := Pack(bigConfig(10))
	for _, bad := range [][]byte{nil, []byte("plain"), packed[:len(packed)/2], Pack(make([]byte, maxUnpackedSize+1))} {
		_, err := Unpack(bad)
		is.True(err != nil)
	}
}

// Measures the processor time of packing and unpacking a configuration of 1,700 routes, which is
// 0.5 MB uncompressed, and reports its compressed size.
func BenchmarkPackConfig(b *testing.B) {
	value := bigConfig(1700)
	for b.Loop() {
		packed := Pack(value)
		if _, err := Unpack(packed); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(packed)), "bytes")
	}
}
