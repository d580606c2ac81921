package version

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestALaterVersionIsMissingOnceItWasAdvertisedForLong(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := New()
	tr.SetInForce(3, []byte("three"))
	tr.RecordAdvertised("a", 3, now)
	_, missing := tr.Missing(now.Add(time.Hour), time.Second)
	is.True(!missing)

	tr.RecordAdvertised("b", 5, now)
	tr.RecordAdvertised("c", 4, now.Add(900*time.Millisecond)) // not the latest: ignored
	_, missing = tr.Missing(now.Add(999*time.Millisecond), time.Second)
	is.True(!missing)
	from, missing := tr.Missing(now.Add(time.Second), time.Second)
	is.True(missing && from == "b")

	tr.SetInForce(5, []byte("five"))
	_, missing = tr.Missing(now.Add(time.Hour), 0)
	is.True(!missing)
	tr.RecordAdvertised("d", 6, now.Add(time.Hour)) // counts from now, not from when version 5 was advertised
	_, missing = tr.Missing(now.Add(time.Hour), time.Second)
	is.True(!missing)
	is.Equal(string(tr.Config()), "five")
}

func TestAnInstanceThatIsGoneDoesNotHideOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := New()
	tr.RecordAdvertised("gone", 5, now)
	tr.Forget("gone")
	tr.RecordAdvertised("b", 4, now)
	from, missing := tr.Missing(now.Add(time.Second), time.Second)
	is.True(missing && from == "b")
}
