package forward

import (
	"bufio"
	"strings"
	"testing"
)

func BenchmarkNextEvent(b *testing.B) {
	text := strings.Repeat("id: 1234\ndata: "+strings.Repeat("x", 40)+"\n\n", 100)
	var buf []byte
	for b.Loop() {
		r := bufio.NewReader(strings.NewReader(text))
		for {
			e, err := nextEvent(r, buf)
			if err != nil {
				break
			}
			buf = e
		}
	}
}
