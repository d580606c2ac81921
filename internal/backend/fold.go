package backend

// foldFinder finds lines of a head that begin with a blank or a tab. net/http joins such a line to the one before, as the
// protocol once allowed (RFC 9112, section 5.2), so that a field whose name begins with a blank is none and changes the value
// of another one.
type foldFinder struct {
	lineBegins bool
	ended      bool // the head has
	found      bool
}

// scan reads the next bytes of a connection, from the beginning of a head on.
func (f *foldFinder) scan(p []byte) {
	for _, b := range p {
		if f.ended {
			return
		}
		if f.lineBegins && b == '\r' {
			continue
		}
		if f.lineBegins {
			f.ended = b == '\n'
			f.found = f.found || b == ' ' || b == '\t'
		}
		f.lineBegins = b == '\n'
	}
}
