// Package payload holds the bodies of requests in pieces, so that a body of unknown length grows without being
// copied.
package payload

import "io"

// Payload is a sequence of bytes in pieces. The zero value is empty. Copies share the pieces, which must not
// change.
type Payload struct {
	first []byte
	rest  [][]byte
	size  int
}

// Of returns a payload of one piece.
func Of(b []byte) Payload { return Payload{first: b, size: len(b)} }

// Append adds a piece at the end.
func (p *Payload) Append(piece []byte) {
	if p.size == 0 {
		p.first = piece
	} else if len(piece) > 0 {
		p.rest = append(p.rest, piece)
	}
	p.size += len(piece)
}

// Len returns the number of bytes.
func (p Payload) Len() int { return p.size }

// WriteTo implements io.WriterTo. It writes piece by piece.
func (p Payload) WriteTo(w io.Writer) (int64, error) {
	if p.size == 0 {
		return 0, nil
	}
	n, err := w.Write(p.first)
	written := int64(n)
	for _, piece := range p.rest {
		if err != nil {
			break
		}
		n, err = w.Write(piece)
		written += int64(n)
	}
	return written, err
}

// AppendTo appends all bytes to b.
func (p Payload) AppendTo(b []byte) []byte {
	b = append(b, p.first...)
	for _, piece := range p.rest {
		b = append(b, piece...)
	}
	return b
}
