package progress

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBytesWithoutProgress(t *testing.T) {
	due := start.Add(time.Second)
	for _, test := range []struct {
		name   string
		due    time.Time
		size   int
		every  time.Duration
		pieces int // the last of which is one too many; 0 if none of 1,000 is
		err    error
	}{
		{"as fast as can be", due, 4 << 10, 0, 513, ErrTooManyBytes},
		{"in small pieces before the answer is due", due, 1, time.Microsecond, 0, nil},
		{"in small pieces", due, 1, 20 * time.Millisecond, 51, ErrOverdue},
		{"a comment a second", due, 3, time.Second, 33, ErrOverdue},
		{"in packets", due, 1400, 20 * time.Millisecond, 0, nil},
		{"in small pieces, never due", time.Time{}, 1, 20 * time.Millisecond, 0, nil},
		{"in packets, never due", time.Time{}, 4 << 10, time.Second, 513, ErrTooManyBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := New(test.due)
			first := 0
			for n := 1; n <= 1000 && first == 0; n++ {
				b.Receive(test.size, start.Add(time.Duration(n)*test.every))
				if b.Err() != nil {
					first = n
				}
			}
			is.Equal(first, test.pieces)
			is.Equal(b.Err(), test.err)
		})
	}
}

// Guards against endpoints that count as faulty for their silence, or for the packets in which their answer comes.
func TestRandomAnswersWithProgressAreNeverGivenUp(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		now := start
		b := New(now.Add(time.Second))
		for range 200 {
			left := rnd.IntN(1 << 20) // of an event
			for range rnd.IntN(maxPieces / 2) {
				now = now.Add(time.Duration(rnd.IntN(5000)) * time.Millisecond)
				b.Receive(1+rnd.IntN(smallPiece), now) // comments, or the beginning of the event
				is.NoErr(b.Err())
			}
			for left > 0 {
				n := min(left, smallPiece+rnd.IntN(4<<10))
				left -= n
				now = now.Add(time.Duration(rnd.IntN(50)) * time.Millisecond)
				b.Receive(n, now)
				is.NoErr(b.Err())
			}
			if rnd.IntN(2) == 0 {
				b.Continue()
			} else {
				b.Progress(now.Add(time.Second))
			}
		}
	}
}
