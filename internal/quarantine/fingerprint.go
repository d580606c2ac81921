package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Fingerprint tells requests apart by what an endpoint receives: method, host, URI and
// body. Ids and deadlines are not part of it, for a caller comes back with others.
//
// The hash is a strong one rather than a keyed one: a key would have to be the same at
// all instances and secret to callers, and who could make two requests collide could have
// others' refused. It is dear for a long body, and is worked out only for requests
// that are as long as one under suspicion, and for those that were cut off.
type Fingerprint struct {
	Sum    [sumSize]byte
	Length int // bytes that were hashed
}

// sumSize is the size of a fingerprint's hash, in bytes; 128 bits do not collide by chance.
const sumSize = 16

// Of returns the fingerprint of a request.
func Of(method, host, uri string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, host, uri} {
		writeLength(h, len(part))
		_, _ = io.WriteString(h, part) // a hash takes everything
	}
	_, _ = h.Write(body)
	f := Fingerprint{Length: Length(method, host, uri, body)}
	copy(f.Sum[:], h.Sum(nil))
	return f
}

// writeLength keeps the parts apart.
func writeLength(h hash.Hash, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}

// Length returns the length that the fingerprint of a request has.
func Length(method, host, uri string, body []byte) int {
	return len(method) + len(host) + len(uri) + len(body)
}

// Hash returns a short hash, to spread requests over instances by.
func (f Fingerprint) Hash() uint64 { return binary.BigEndian.Uint64(f.Sum[:]) }

// String returns the hash in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f.Sum[:]) }
