package origin

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestABatchHoldsWhereStreamsBegan(t *testing.T) {
	is := is.New(t)
	value, err := NewBatch([]Record{{"a", "svc", "v1", start}, {"b", "svc", "v2", start}, {"c", "other", "", start}}).Encode()
	is.NoErr(err)
	a := NewArchive(10)
	a.Add(value)
	a.Add(value) // written twice, as the answer of the first write was lost
	a.Add([]byte("{"))
	a.Add([]byte(`{"svc":{"v1":"AAAA"}}`)) // cut off
	for stream, want := range map[string]place{"a": {"svc", "v1"}, "b": {"svc", "v2"}, "c": {"other", ""}} {
		service, version, ok := a.Find(stream)
		is.True(ok)
		is.Equal(place{service, version}, want)
	}
	_, _, ok := a.Find("d")
	is.True(!ok)
}

// Two streams may have the same digest.
func TestAStreamThatIsRecordedWithTwoVersionsIsUnknown(t *testing.T) {
	is := is.New(t)
	a := NewArchive(10)
	for _, version := range []string{"v1", "v2", "v1"} {
		value, err := NewBatch([]Record{{"a", "svc", version, start}}).Encode()
		is.NoErr(err)
		a.Add(value)
	}
	_, _, ok := a.Find("a")
	is.True(!ok)
}

func TestAnArchiveIsBounded(t *testing.T) {
	is := is.New(t)
	var records []Record
	for i := range 100 {
		records = append(records, Record{fmt.Sprint("s", i), "svc", "v1", start})
	}
	value, err := NewBatch(records).Encode()
	is.NoErr(err)
	a := NewArchive(30)
	a.Add(value)
	found := 0
	for _, r := range records {
		if _, _, ok := a.Find(r.Stream); ok {
			found++
		}
	}
	is.Equal(found, 30)
}

func TestArchiversAreFewAndTheSameForAll(t *testing.T) {
	is := is.New(t)
	for size, writers := range map[int]int{1: 1, 2: 1, 9: 1, 63: 1, 64: 2, 330: 6, 986: 16} {
		all := fleet(size, 4)
		archivers := NewArchivers(all)
		is.Equal(archivers.Writers(), writers)
		first := make(map[string]bool)
		for i := range 2000 {
			of := archivers.Of(fmt.Sprint("stream", i))
			is.Equal(len(of), min(2, size))
			first[of[0].Name] = true
		}
		is.Equal(len(first), writers)
	}
	is.Equal(len(NewArchivers(nil).Of("s")), 0)
}
