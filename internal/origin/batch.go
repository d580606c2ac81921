package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Batch is what the store holds of a number of streams, for instances that start after all others were stopped:
// the digests of their IDs, by service and version.
type Batch map[string]map[string][]byte

const digestLen = 8

// digest identifies a stream in a batch.
func digest(stream string) uint64 {
	sum := sha256.Sum256([]byte(stream))
	return binary.BigEndian.Uint64(sum[:digestLen])
}

// NewBatch returns a batch of records.
func NewBatch(records []Record) Batch {
	b := make(Batch)
	for _, r := range records {
		if b[r.Service] == nil {
			b[r.Service] = make(map[string][]byte)
		}
		b[r.Service][r.Version] = binary.BigEndian.AppendUint64(b[r.Service][r.Version], digest(r.Stream))
	}
	return b
}

// Encode returns the batch as a value of the store.
func (b Batch) Encode() ([]byte, error) {
	value, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w", err)
	}
	return value, nil
}

// Archive is what batches tell of where streams began.
type Archive struct {
	most  int
	began map[uint64]place
}

// place is a service and a version. It is zero for streams that are recorded with several.
type place struct{ service, version string }

// NewArchive returns an archive of at most a number of streams.
func NewArchive(most int) *Archive { return &Archive{most: most, began: make(map[uint64]place)} }

// Add adds an encoded batch. Streams beyond the bound are left out, and so are batches that cannot be decoded.
func (a *Archive) Add(value []byte) {
	var b Batch
	if json.Unmarshal(value, &b) != nil {
		return
	}
	for service, versions := range b {
		for version, digests := range versions {
			for d := range slices.Chunk(digests, digestLen) {
				if len(d) == digestLen {
					a.add(binary.BigEndian.Uint64(d), place{service, version})
				}
			}
		}
	}
}

// add adds a stream. Two streams may have the same digest, so that one with two places counts as unknown.
func (a *Archive) add(d uint64, p place) {
	known, ok := a.began[d]
	switch {
	case ok && known != p:
		a.began[d] = place{}
	case !ok && len(a.began) < a.most:
		a.began[d] = p
	}
}

// Find returns the service and version at which a stream began.
func (a *Archive) Find(stream string) (service, version string, ok bool) {
	p := a.began[digest(stream)]
	return p.service, p.version, p.service != ""
}

// instancesPerArchiver bounds how many archivers there are, each of which reads all batches when clients resume
// streams after a start of all instances.
const instancesPerArchiver = 64

// Archivers are the instances that write the records of streams to the store, and read them there, in order.
type Archivers []topology.Member

// NewArchivers returns the archivers of a fleet. All that know the same instances choose the same ones.
func NewArchivers(instances []topology.Member) Archivers {
	all := rank("archivers", instances)
	return all[:min(len(all), 2+len(all)/instancesPerArchiver)]
}

// Writers returns the number of instances that write if all are reached.
func (a Archivers) Writers() int { return max(1, len(a)-1) }

// Of returns the archiver of a stream and the one to be asked beside it, as the first may have just started.
func (a Archivers) Of(stream string) []topology.Member {
	if len(a) == 0 {
		return nil
	}
	first := int(rendezvous.Hash(stream) % uint64(a.Writers()))
	return a[first:min(first+2, len(a))]
}
