package payload

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// Guards against bodies that change with the pieces they came in.
func TestAPayloadIsItsPiecesInOrder(t *testing.T) {
	is := is.New(t)
	for _, pieces := range [][]string{nil, {""}, {"abc"}, {"", "abc"}, {"a", "", "b", "c"}, {"ab", "c"}} {
		var p Payload
		want := ""
		for _, piece := range pieces {
			p.Append([]byte(piece))
			want += piece
		}
		var out bytes.Buffer
		n, err := p.WriteTo(&out)
		is.NoErr(err)
		is.Equal(n, int64(len(want)))
		is.Equal(out.String(), want)
		is.Equal(p.Len(), len(want))
		is.Equal(string(p.AppendTo([]byte("head"))), "head"+want)
	}
	is.Equal(string(Of([]byte("x")).AppendTo(nil)), "x")
}
