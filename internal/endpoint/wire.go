package endpoint

import (
	"net/netip"
	"time"
)

// Generate is a request to a model engine.
type Generate struct {
	Request    string `json:"request"`     // id that names the request's KV cache
	Session    string `json:"session"`     // opaque name of the conversation
	Prompt     string `json:"prompt"`      // whole prompt
	MaxTokens  int    `json:"max_tokens"`  // length limit of the whole answer
	Priority   int    `json:"priority"`    // 0 to 9; higher goes first
	Seed       uint64 `json:"seed"`        // seed of the sampler: the same request gives the same answer
	ResumeFrom int    `json:"resume_from"` // tokens of the answer that were generated before
}

// Chunk is one token of an engine's answer.
type Chunk struct {
	Index int    `json:"index"` // from 0
	Text  string `json:"text"`
	Done  bool   `json:"done"` // no token follows
}

// Report is an engine's load, as it was a moment ago, and its cache events.
type Report struct {
	Running      int     `json:"running"`       // sequences or calls in progress
	QueuedTokens []int   `json:"queued_tokens"` // prompt tokens to compute, by priority
	PerTokenUs   int     `json:"per_token_us"`  // time to compute a prompt token
	StepUs       int     `json:"step_us"`       // time between two tokens of a stream
	First        int     `json:"first"`         // number of the first event below
	Events       []Event `json:"events"`
}

// Event says that a block entered or left an engine's cache.
type Event struct {
	Block   uint64    `json:"block"`
	Evicted bool      `json:"evicted,omitempty"`
	At      time.Time `json:"-"` // when the engine publishes it
}

// Import asks an engine to fetch a request's KV cache from another engine.
type Import struct {
	Request string         `json:"request"`
	From    netip.AddrPort `json:"from"`
}

// Export describes a request's KV cache.
type Export struct {
	Chain     []uint64 `json:"chain"`     // blocks of the prompt
	Generated int      `json:"generated"` // tokens of the answer
	Tokens    int      `json:"tokens"`    // all tokens
}
