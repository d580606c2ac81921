package mirror

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// mostConfig bounds a configuration that another instance passes on, in bytes. The
// store takes values of a million.
const mostConfig = 16 << 20

// Pack compresses a configuration that is passed on to many instances: a large
// one they cannot all get through one link within the time in which it has to be in force.
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
		return nil, fmt.Errorf("compressed configuration: %w", err)
	}
	value, err := io.ReadAll(io.LimitReader(r, mostConfig+1))
	if err != nil {
		return nil, fmt.Errorf("compressed configuration: %w", err)
	}
	if len(value) > mostConfig {
		return nil, fmt.Errorf("compressed configuration: more than %d bytes", mostConfig)
	}
	return value, nil
}
