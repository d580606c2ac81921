package standin

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/shelfcrank/shelfcrank/internal/prefix"
)

// Timing is the performance and price model of the simulated endpoints. It is the same for all
// policies that are compared.
type Timing struct {
	StepBaseUs     int     `toml:"step_base_us"`      // duration of a step of an empty batch
	StepPerSeqUs   int     `toml:"step_per_seq_us"`   // added by each sequence in the batch
	PerTokenUs     int     `toml:"per_token_us"`      // time to compute one prompt token
	ChunkTokens    int     `toml:"chunk_tokens"`      // maximum number of prompt tokens computed in one step
	MaxBatch       int     `toml:"max_batch"`         // maximum number of sequences in progress
	CacheTokens    int     `toml:"cache_tokens"`      // capacity of the prefix cache
	KVTokensPerS   float64 `toml:"kv_tokens_per_s"`   // export rate of an engine's KV cache; exports run one at a time
	ServiceUs      int     `toml:"service_us"`        // time of a service call
	ServiceWorkers int     `toml:"service_workers"`   // concurrent calls of a service
	ReportLagMs    int     `toml:"report_lag_ms"`     // age of a load report
	EventLagMs     int     `toml:"event_lag_ms"`      // age of a cache event
	EventGap       float64 `toml:"event_gap"`         // share of cache events that are lost
	ListLagMs      int     `toml:"list_lag_ms"`       // age of the instance list
	PriceSpot      float64 `toml:"price_reclaimable"` // per instance and hour
	PriceOnDemand  float64 `toml:"price_on_demand"`   // per instance and hour
	PriceService   float64 `toml:"price_service"`     // per service instance and hour
}

// DefaultTiming holds the values for settings that a file leaves out.
var DefaultTiming = Timing{
	StepBaseUs: 8000, StepPerSeqUs: 150, PerTokenUs: 60, ChunkTokens: 512, MaxBatch: 64,
	CacheTokens: 120_000, KVTokensPerS: 60_000, ServiceUs: 2000, ServiceWorkers: 32,
	ReportLagMs: 100, EventLagMs: 300, EventGap: 0.02, ListLagMs: 2000,
	PriceSpot: 1, PriceOnDemand: 3, PriceService: 0.2,
}

// InstanceSpec describes one instance that the simulation runs or, for an entry instance, only
// lists.
type InstanceSpec struct {
	ID       string         `toml:"id"`
	Addr     netip.AddrPort `toml:"address"`
	Peer     netip.AddrPort `toml:"peer_address"` // entry instances only
	Hall     string         `toml:"hall"`
	Serves   string         `toml:"serves"` // model or service
	OnDemand bool           `toml:"on_demand"`
	Version  string         `toml:"version"` // of the software; engines of different versions give different answers
}

// Settings configures a process that runs a World.
type Settings struct {
	Store   netip.AddrPort `toml:"store_address"`
	List    netip.AddrPort `toml:"list_address"`
	Seed    uint64         `toml:"seed"`
	Timing  Timing         `toml:"timing"`
	Engine  []InstanceSpec `toml:"engine"`
	Service []InstanceSpec `toml:"service"`
	Entry   []InstanceSpec `toml:"entry"`
	Table   string         `toml:"table"` // JSON of the first table; empty for none
}

// Load reads Settings from a TOML file. It rejects unknown keys.
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
