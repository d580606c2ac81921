package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/mirror"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Parts are packed once for all that ask for the same, and read the same packed or not: an
// instance of the version before does not say that it unpacks.
func TestPackedPartsReadTheSame(t *testing.T) {
	is := is.New(t)
	h, now := newHub("config", nil), time.Now()
	var items []store.Item
	for i := range 1000 {
		items = append(items, store.Item{Key: fmt.Sprint("k", i), Value: fmt.Appendf(nil, `{"Service":"svc","Slots":%d}`, i), Revision: store.Revision(i + 1)})
	}
	h.endpoints.Replace(items, 1000)
	for _, after := range []store.Revision{0, 500} {
		change, _ := h.endpoints.Since(after)
		plain := h.part(h.endpoints, after, change, false, now)
		packed := h.part(h.endpoints, after, change, true, now)
		is.True(len(plain.Items) == 1000 && len(plain.Packed) == 0)
		is.True(len(packed.Items) == 0 && len(packed.Packed) > 0)
		is.Equal(&packed.Packed[0], &h.part(h.endpoints, after, change, true, now).Packed[0]) // the same bytes
		is.Equal(packed.Whole, plain.Whole)
		is.Equal(packed.At, plain.At)
		is.NoErr(unpackPart(packed))
		seen := make(map[string]string)
		for _, e := range mirrorEvents(packed) {
			seen[e.Key] = string(e.Value)
		}
		for _, e := range mirrorEvents(plain) {
			is.Equal(seen[e.Key], string(e.Value))
		}
	}
	h.part(h.endpoints, 0, mirror.Change{}, true, now.Add(2*packFor))
	h.endpoints.Apply([]store.Event{{Item: store.Item{Key: "k1", Revision: 1001}}}, 1001)
	change, _ := h.endpoints.Since(1000)
	is.Equal(len(h.part(h.endpoints, 1000, change, true, now).Items), 1) // a few are told as they are
}

func TestASpoiltPartIsAnError(t *testing.T) {
	is := is.New(t)
	for _, packed := range [][]byte{{1}, mirror.Pack([]byte{0xff}), mirror.Pack([]byte("x"))[:5]} {
		is.True(unpackPart(&peerpb.MirrorPart{Packed: packed}) != nil)
	}
	is.NoErr(unpackPart(nil))
	is.NoErr(unpackPart(&peerpb.MirrorPart{}))
}
