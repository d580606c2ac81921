package mirror

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxUnpackedSize is the largest uncompressed size that Unpack accepts, in bytes. The store accepts
// values of up to a million bytes.
const maxUnpackedSize = 16 << 20

// Pack compresses a value, a configuration or a list of entries, that one instance sends to many.
// An uncompressed large configuration would not get through the sender's link to all of them
// within the time in which it has to be in force.
func Pack(value []byte) []byte {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	_, _ = w.Write(value) // a buffer takes all
	_ = w.Close()
	return out.Bytes()
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	value, err := io.ReadAll(io.LimitReader(r, maxUnpackedSize+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(value) > maxUnpackedSize {
		return nil, fmt.Errorf("decompress: more than %d bytes", maxUnpackedSize)
	}
	return value, nil
}
