package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/shelfcrank/shelfcrank/internal/payload"
)

// Fingerprint identifies a request by what an endpoint receives, method, host, URI and body, or a part
// of prompts by its ID. Ids of requests and deadlines are not part of it, since they change when a caller
// retries.
//
// The hash is cryptographic, so that no caller can produce a collision to have the requests of
// others refused. It is not keyed, since a key would have to be shared by all instances and kept
// secret from callers. Hashing is expensive for a long body: it is done only for requests that have
// the length of a suspect, and for those that were interrupted.
type Fingerprint struct {
	Sum    [hashSize]byte
	Length int // length of what was hashed in bytes, see Length; partLength for a part of prompts
}

// partLength is the Fingerprint.Length of parts of prompts, which no request has.
const partLength = -1

// hashSize is the size of the hash in bytes: 128 bits make accidental collisions negligible.
const hashSize = 16

// Of returns the fingerprint of a request.
func Of(method, host, uri string, body payload.Payload) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, host, uri} {
		writeLength(h, len(part))
		_, _ = io.WriteString(h, part) // never fails for a hash
	}
	_, _ = body.WriteTo(h)
	f := Fingerprint{Length: Length(method, host, uri, body.Len())}
	copy(f.Sum[:], h.Sum(nil))
	return f
}

// OfPart returns the fingerprint of a part of prompts.
func OfPart(id string) Fingerprint {
	sum := sha256.Sum256([]byte(id))
	f := Fingerprint{Length: partLength}
	copy(f.Sum[:], sum[:])
	return f
}

// IsPart reports whether f is of a part of prompts.
func (f Fingerprint) IsPart() bool { return f.Length == partLength }

// writeLength hashes the length of the next part, so that the boundaries of the parts count.
func writeLength(h hash.Hash, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}

// Length returns the Fingerprint.Length of a request, without hashing it.
func Length(method, host, uri string, body int) int {
	return len(method) + len(host) + len(uri) + body
}

// Hash returns a 64-bit hash, by which suspects are assigned to instances.
func (f Fingerprint) Hash() uint64 { return binary.BigEndian.Uint64(f.Sum[:]) }

// String returns the hash in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f.Sum[:]) }
