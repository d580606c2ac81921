package endpoint

import (
	"net/netip"
	"time"
)

// Generate is a request to a model engine.
type Generate struct {
	Request    string `json:"request"`     // request id, which also identifies its KV cache
	Session    string `json:"session"`     // opaque id of the session
	Prompt     string `json:"prompt"`      // complete prompt
	MaxTokens  int    `json:"max_tokens"`  // limit of the answer's length, including the tokens before ResumeFrom
	Priority   int    `json:"priority"`    // 0 to 9; higher goes first
	Seed       uint64 `json:"seed"`        // seed of the sampler; a request with the same seed gives the same answer
	ResumeFrom int    `json:"resume_from"` // number of tokens of the answer that were generated before
}

// Chunk is one token of an engine's answer.
type Chunk struct {
	Index int    `json:"index"` // from 0
	Text  string `json:"text"`
	Done  bool   `json:"done"` // this is the last token
}

// Report is an engine's load, which may be slightly out of date, and its cache events.
type Report struct {
	Running      int     `json:"running"`       // sequences or calls in progress
	QueuedTokens []int   `json:"queued_tokens"` // prompt tokens that wait to be computed, by priority
	PerTokenUs   int     `json:"per_token_us"`  // time to compute a prompt token
	StepUs       int     `json:"step_us"`       // time between two tokens of a stream
	First        int     `json:"first"`         // number of the first event in Events
	Events       []Event `json:"events"`
}

// Event reports that a block was added to an engine's KV cache, or evicted from it.
type Event struct {
	Block   uint64    `json:"block"`
	Evicted bool      `json:"evicted,omitempty"`
	At      time.Time `json:"-"` // when the engine publishes it
}

// Import is a request to an engine to fetch a request's KV cache from another engine, at From.
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
