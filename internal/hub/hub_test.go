package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/mirror"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/store"
)

// A part holds the same items whether it is compressed or not, and is compressed once for all
// requests with the same revisions. Instances of the previous version request parts uncompressed.
func TestPackedPartsReadTheSame(t *testing.T) {
	is := is.New(t)
	h, now := New("config", nil), time.Now()
	var items []store.Item
	for i := range 1000 {
		items = append(items, store.Item{Key: fmt.Sprint("k", i), Value: fmt.Appendf(nil, `{"Service":"svc","Slots":%d}`, i), Revision: store.Revision(i + 1)})
	}
	h.Endpoints.Replace(items, 1000)
	for _, after := range []store.Revision{0, 500} {
		change, _ := h.Endpoints.Since(after)
		plain := h.partFor(h.Endpoints, after, change, false, now)
		packed := h.partFor(h.Endpoints, after, change, true, now)
		is.True(len(plain.Items) == 1000 && len(plain.Packed) == 0)
		is.True(len(packed.Items) == 0 && len(packed.Packed) > 0)
		is.Equal(&packed.Packed[0], &h.partFor(h.Endpoints, after, change, true, now).Packed[0]) // from the cache
		is.Equal(packed.Whole, plain.Whole)
		is.Equal(packed.At, plain.At)
		is.NoErr(UnpackPart(packed))
		seen := make(map[string]string)
		for _, e := range DecodeEvents(packed) {
			seen[e.Key] = string(e.Value)
		}
		for _, e := range DecodeEvents(plain) {
			is.Equal(seen[e.Key], string(e.Value))
		}
	}
	h.partFor(h.Endpoints, 0, mirror.Change{}, true, now.Add(2*packedLifetime))
	h.Endpoints.Apply([]store.Event{{Item: store.Item{Key: "k1", Revision: 1001}}}, 1001)
	change, _ := h.Endpoints.Since(1000)
	is.Equal(len(h.partFor(h.Endpoints, 1000, change, true, now).Items), 1) // few items are sent uncompressed
}

func TestASpoiltPartIsAnError(t *testing.T) {
	is := is.New(t)
	for _, packed := range [][]byte{{1}, mirror.Pack([]byte{0xff}), mirror.Pack([]byte("x"))[:5]} {
		is.True(UnpackPart(&peerpb.MirrorPart{Packed: packed}) != nil)
	}
	is.NoErr(UnpackPart(nil))
	is.NoErr(UnpackPart(&peerpb.MirrorPart{}))
}
