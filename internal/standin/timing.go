package standin

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/shelfcrank/shelfcrank/internal/prefix"
)

// Timing is the model of a stand-in's speed. The same for all policies.
type Timing struct {
	StepBaseUs     int     `toml:"step_base_us"`      // time of one step of the batch, without load
	StepPerSeqUs   int     `toml:"step_per_seq_us"`   // added by each sequence in the batch
	PerTokenUs     int     `toml:"per_token_us"`      // time to compute one prompt token
	ChunkTokens    int     `toml:"chunk_tokens"`      // most prompt tokens computed in one step
	MaxBatch       int     `toml:"max_batch"`         // most sequences in progress
	CacheTokens    int     `toml:"cache_tokens"`      // prompt tokens the cache holds
	KVTokensPerS   float64 `toml:"kv_tokens_per_s"`   // speed of a KV cache export, shared by all exports of an engine
	ServiceUs      int     `toml:"service_us"`        // time of a service call
	ServiceWorkers int     `toml:"service_workers"`   // calls a service runs at once
	ReportLagMs    int     `toml:"report_lag_ms"`     // age of a load report
	EventLagMs     int     `toml:"event_lag_ms"`      // age of a cache event
	EventGap       float64 `toml:"event_gap"`         // share of cache events that are lost
	ListLagMs      int     `toml:"list_lag_ms"`       // age of the instance list
	PriceSpot      float64 `toml:"price_reclaimable"` // per instance and hour
	PriceOnDemand  float64 `toml:"price_on_demand"`   // per instance and hour
	PriceService   float64 `toml:"price_service"`     // per service instance and hour
}

// DefaultTiming is used where no file says otherwise.
var DefaultTiming = Timing{
	StepBaseUs: 8000, StepPerSeqUs: 150, PerTokenUs: 60, ChunkTokens: 512, MaxBatch: 64,
	CacheTokens: 120_000, KVTokensPerS: 60_000, ServiceUs: 2000, ServiceWorkers: 32,
	ReportLagMs: 100, EventLagMs: 300, EventGap: 0.02, ListLagMs: 2000,
	PriceSpot: 1, PriceOnDemand: 3, PriceService: 0.2,
}

// Place is one instance that the stand-in runs or, for an entry instance,
// only lists.
type Place struct {
	ID       string         `toml:"id"`
	Addr     netip.AddrPort `toml:"address"`
	Peer     netip.AddrPort `toml:"peer_address"` // entry instances only
	Hall     string         `toml:"hall"`
	Serves   string         `toml:"serves"` // model or service
	OnDemand bool           `toml:"on_demand"`
}

// Settings places a stand-in process.
type Settings struct {
	Store   netip.AddrPort `toml:"store_address"`
	List    netip.AddrPort `toml:"list_address"`
	Seed    uint64         `toml:"seed"`
	Timing  Timing         `toml:"timing"`
	Engine  []Place        `toml:"engine"`
	Service []Place        `toml:"service"`
	Entry   []Place        `toml:"entry"`
	Table   string         `toml:"table"` // JSON of the first table; empty for none
}

// Load reads the settings of a stand-in process.
func Load(file string) (Settings, error) {
	s := Settings{Timing: DefaultTiming}
	f, err := os.Open(file)
	if err != nil {
		return s, fmt.Errorf("stand-in settings: %w", err)
	}
	defer f.Close()
	d := toml.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("stand-in settings %s: %w", file, err)
	}
	return s, nil
}

func micros(n int) time.Duration { return time.Duration(n) * time.Microsecond }
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (t Timing) cacheBlocks() int { return t.CacheTokens / prefix.BlockTokens }
