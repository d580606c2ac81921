// Package prefix tracks which prompt prefixes an endpoint probably has in its cache.
//
// A prompt is divided into blocks. The hash of a block covers all blocks before it, as in the
// prefix caches of model engines. Index holds a limited number of hashes of blocks that were sent
// to an endpoint or that it reported. Hashing is pure; an Index is safe for concurrent use.
package prefix

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of a block of prompt text, in bytes.
const BlockBytes = 256

// BytesPerToken is the mean length of a token, used where the engine's own count is unknown.
const BytesPerToken = 4

// BlockTokens is the number of tokens in a block.
const BlockTokens = BlockBytes / BytesPerToken

// Chain returns the hash of each complete block of the prompt. Each hash covers the model's name
// and all text up to the end of the block.
func Chain(model, prompt string) []uint64 {
	n := len(prompt) / BlockBytes
	chain := make([]uint64, 0, n)
	prev := xxhash.Sum64String(model)
	d := xxhash.New()
	var b [8]byte
	for i := range n {
		d.Reset()
		binary.LittleEndian.PutUint64(b[:], prev)
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		prev = d.Sum64()
		chain = append(chain, prev)
	}
	return chain
}

// Tokens estimates the number of tokens in a text.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Index is the set of blocks that an endpoint probably has cached, of limited size. It keeps two
// generations and drops the older one when the younger is full, which approximates LRU eviction at
// constant cost.
type Index struct {
	mu    sync.Mutex
	limit int                 // maximum blocks in one generation
	young map[uint64]struct{} // guarded by mu
	old   map[uint64]struct{} // guarded by mu
}

// NewIndex returns an index that holds at most limit blocks, rounded down to an even number but at
// least 2.
func NewIndex(limit int) *Index {
	return &Index{limit: max(1, limit/2), young: make(map[uint64]struct{}), old: make(map[uint64]struct{})}
}

// Add records that the endpoint has the blocks.
func (x *Index) Add(blocks ...uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range blocks {
		x.touch(b)
	}
}

// Remove records that the endpoint has evicted the blocks.
func (x *Index) Remove(blocks ...uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range blocks {
		delete(x.young, b)
		delete(x.old, b)
	}
}

// Clear removes all blocks, as after a restart of the endpoint.
func (x *Index) Clear() {
	x.mu.Lock()
	defer x.mu.Unlock()
	clear(x.young)
	clear(x.old)
}

func (x *Index) touch(b uint64) {
	if _, ok := x.young[b]; ok {
		return
	}
	if len(x.young) >= x.limit {
		x.old = x.young
		x.young = make(map[uint64]struct{}, x.limit)
	}
	x.young[b] = struct{}{}
}

// Held returns how many leading blocks of the chain the endpoint probably has. The blocks that it
// has are a prefix of the chain, so a binary search finds the last one.
func (x *Index) Held(chain []uint64) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	lo, hi := 0, len(chain)
	for lo < hi {
		mid := (lo + hi) / 2
		if x.has(chain[mid]) {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

func (x *Index) has(b uint64) bool {
	if _, ok := x.young[b]; ok {
		return true
	}
	_, ok := x.old[b]
	return ok
}

// Len returns the number of blocks. Blocks in both generations count twice.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.young) + len(x.old)
}
