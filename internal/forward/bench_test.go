package forward

import (
	"strings"
	"testing"
)

func BenchmarkNextEvent(b *testing.B) {
	text := strings.Repeat("id: 1234\ndata: "+strings.Repeat("x", 40)+"\n\n", 100)
	for b.Loop() {
		events := newEventReader(strings.NewReader(text), func() {})
		for {
			if _, _, _, err := events.next(); err != nil {
				break
			}
		}
	}
}
