package settings

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/intake"
)

// Front holds the settings of a front instance, which forwards requests of clients to endpoints.
type Front struct {
	Name    string         `toml:"name" help:"Name of the instance, unique among the front instances."`
	Hall    string         `toml:"hall" help:"Hall that the instance runs in."`
	Region  string         `toml:"region" help:"Region of the hall."`
	Front   netip.AddrPort `toml:"front_address" help:"Address at which the instance accepts connections of clients."`
	Ready   netip.AddrPort `toml:"ready_address" help:"Address of the readiness check, which reports whether the instance accepts connections."`
	Peer    netip.AddrPort `toml:"peer_address" help:"Address at which the other instances connect to it."`
	Metrics netip.AddrPort `toml:"metrics_address" help:"Address that serves /metrics."`
	Store   netip.AddrPort `toml:"store_address" help:"Address of the platform's metadata store."`
	Cloud   netip.AddrPort `toml:"cloud_address" help:"Address of the platform's API for the instance that leads the fleet; empty if the deployment has none."`
	Local   netip.Addr     `toml:"local_address" help:"IP address from which the instance connects to endpoints and other instances; empty to let the system choose."`
	// StoreWritesPerSecond limits how fast the instances of a fleet that starts register.
	StoreWritesPerSecond float64 `toml:"store_writes_per_s" help:"Writes that the metadata store accepts from all instances together, a second; 0 if unknown."`
	MemoryMB             int     `toml:"memory_mb" help:"Memory limit of the process, in MB; 0 for no limit. The bodies of requests in progress may take 35% of it, and connections of clients 20%."`
	MaxDescriptors       int     `toml:"max_descriptors" help:"Limit on the open descriptors of the process; 0 for that of the system. Connections of clients may take 45% of those that files don't need, as each request may need one more to an endpoint; the requests of one client account may keep three quarters of these busy."`
	Cores                float64 `toml:"cores" help:"CPU limit of the process, in cores; 0 if unknown."`
	// QuarantineS defaults to one minute. By then a caller that sent a request that crashes
	// endpoints by mistake has stopped retrying, and deploying a new version of an endpoint
	// takes longer than that.
	QuarantineS float64 `toml:"quarantine_s" help:"Time for which a request is not run after three endpoints ended while running it, in seconds; 0 for 60."`
	// MaxProxied bounds the memory for requests of other instances: each holds its body and up to
	// 512 KiB of its response.
	MaxProxied int    `toml:"max_proxied" help:"Requests of other instances that the instance serves at a time, while these have no path to endpoints; 0 for 256."`
	Bounds     Bounds `toml:"bounds" help:"Time limits and quotas that the deployment requires."`
	// Overload applies to services whose endpoints report how long work takes at the moment.
	Overload Overload `toml:"overload" help:"Decisions under load, for services whose endpoints report their slowdown; all off by default."`
}

// Overload turns on the decisions that are made when a service lacks the capacity for all requests.
type Overload struct {
	LoadReports  bool `toml:"load_reports" help:"Whether the load that endpoints report counts in the choice of an endpoint."`
	Admission    bool `toml:"admission" help:"Whether hubs refuse requests that would not be served in time."`
	FairShares   bool `toml:"fair_shares" help:"Whether a client account over its fair share is refused first; requires admission."`
	Reservations bool `toml:"reservations" help:"Whether a refused client is given a time to return at which capacity is reserved for it; requires admission."`
	PlainHubs    bool `toml:"plain_hubs" help:"Whether hubs also choose the endpoints of plain services."`
}

// defaultQuarantineS is the default of Front.QuarantineS.
const defaultQuarantineS = 60

// Quarantine returns the time for which a request is not run after endpoints ended while running it.
func (s *Front) Quarantine() time.Duration {
	return inSeconds(cmp.Or(s.QuarantineS, defaultQuarantineS))
}

// defaultMaxProxied is the default of Front.MaxProxied.
const defaultMaxProxied = 256

// bodyMemoryShare is the share of the memory of the process that the bodies of requests may take. The rest is for
// connections, answers, the state of the instance and garbage.
const bodyMemoryShare = 0.35

const (
	// connectionMemoryShare is the share of the memory of the process that connections of clients may take.
	connectionMemoryShare = 0.2
	// maxFiles is how many descriptors are kept for files, at most a tenth of all.
	maxFiles = 200
	// connectionShare is the share of the other descriptors that connections of clients may take. Each request in
	// progress may need one more to an endpoint, and the rest is for the store, other instances and probes.
	connectionShare = 0.45
)

// Intake returns what clients may take of the instance.
func (s *Front) Intake() intake.Limits {
	memory := float64(s.MemoryMB) * (1 << 20)
	descriptors := s.MaxDescriptors - min(maxFiles, s.MaxDescriptors/10)
	return intake.Limits{
		BodyBytes:       int64(bodyMemoryShare * memory),
		ConnectionBytes: int64(connectionMemoryShare * memory),
		Connections:     int(connectionShare * float64(descriptors)),
	}
}

// Proxied returns how many requests of other instances are served at a time.
func (s *Front) Proxied() int { return cmp.Or(s.MaxProxied, defaultMaxProxied) }

// Bounds are the time limits and quotas that the deployment requires. A time limit counts from
// the event that it is about, such as the removal of a key.
type Bounds struct {
	RevokeMs            float64 `toml:"revoke_ms" help:"Time after which a removed key must be rejected."`
	StrictRevoke        bool    `toml:"strict_revoke" help:"Whether revoke_ms also applies to an instance that cannot reach the store. If false, such an instance continues to accept the keys that it knows."`
	ConfigMs            float64 `toml:"config_ms" help:"Time after which a configuration written to the store must be in force."`
	StoreRefusedExtraMs float64 `toml:"outer_ms" help:"Time added to config_ms for an instance whose calls the store refuses while it serves others."`
	DrainMs             float64 `toml:"drain_ms" help:"Time after which an endpoint that is leaving must get no new requests."`
	GraceS              float64 `toml:"grace_s" help:"Time from the stop signal to the end of the process."`
	RetryRatio          float64 `toml:"retry_ratio" help:"Retries allowed per request."`
	RetrySlack          float64 `toml:"retry_slack" help:"Retries allowed in each window in addition to retry_ratio."`
	RetryWindowS        float64 `toml:"retry_window_s" help:"Window of retry_slack."`
	QuotaOver           float64 `toml:"quota_over" help:"Share by which the use in a window may exceed the limit of a client account."`
	QuotaSlack          float64 `toml:"quota_slack" help:"Units by which the use in a window may exceed the limit in addition to quota_over."`
	QuotaWindowS        float64 `toml:"quota_window_s" help:"Window over which the use of a limit is measured."`
	LeaseMs             float64 `toml:"lease_ms" help:"Lease of the instance that leads the fleet."`
	UsageWindowS        float64 `toml:"usage_window_s" help:"Window for which usage is reported."`
	ExposeShare         float64 `toml:"expose_share" help:"Share of a service's requests that a version on trial may get; 0 if there are no roll-outs."`
	ExposeSlack         float64 `toml:"expose_slack" help:"Requests that a version on trial may get in addition to expose_share."`
	UsageLateS          float64 `toml:"usage_late_s" help:"Time after the end of a window at which its report is due."`
}

// Revoke returns the time after which a removed key must be rejected.
func (b Bounds) Revoke() time.Duration { return inMilliseconds(b.RevokeMs) }

// Config returns the time after which a configuration must be in force at an
// instance whose calls the store answers.
func (b Bounds) Config() time.Duration { return inMilliseconds(b.ConfigMs) }

// StoreRefusedExtra returns the time added to Config for an instance whose calls the store refuses.
func (b Bounds) StoreRefusedExtra() time.Duration { return inMilliseconds(b.StoreRefusedExtraMs) }

// Drain returns the time after which a leaving endpoint must get no new requests.
func (b Bounds) Drain() time.Duration { return inMilliseconds(b.DrainMs) }

// Grace returns the time from the stop signal to the end of the process.
func (b Bounds) Grace() time.Duration { return inSeconds(b.GraceS) }

// RetryWindow returns the window of RetrySlack.
func (b Bounds) RetryWindow() time.Duration { return inSeconds(b.RetryWindowS) }

// QuotaWindow returns the window over which the use of a limit is measured.
func (b Bounds) QuotaWindow() time.Duration { return inSeconds(b.QuotaWindowS) }

// Lease returns the lease of the instance that leads the fleet.
func (b Bounds) Lease() time.Duration { return inMilliseconds(b.LeaseMs) }

// UsageWindow returns the window for which usage is reported.
func (b Bounds) UsageWindow() time.Duration { return inSeconds(b.UsageWindowS) }

// UsageLate returns the time after the end of a window at which its report is due.
func (b Bounds) UsageLate() time.Duration { return inSeconds(b.UsageLateS) }

func inSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func inMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// LoadFront reads and checks the settings of a front instance. A *FaultsError lists all faults.
func LoadFront(file string) (Front, error) {
	var s Front
	err := loadFile(file, &s, func(lines map[string]int) []Fault { return s.check(lines) })
	return s, err
}

func (s *Front) check(lines map[string]int) []Fault {
	c := checker{lines: lines}
	c.require("name", s.Name != "")
	c.require("hall", s.Hall != "")
	c.require("front_address", s.Front.IsValid())
	c.require("ready_address", s.Ready.IsValid())
	c.require("peer_address", s.Peer.IsValid())
	c.require("metrics_address", s.Metrics.IsValid())
	c.require("store_address", s.Store.IsValid())
	c.requirePositive("bounds.revoke_ms", s.Bounds.RevokeMs)
	c.requirePositive("bounds.config_ms", s.Bounds.ConfigMs)
	c.requirePositive("bounds.drain_ms", s.Bounds.DrainMs)
	c.requirePositive("bounds.grace_s", s.Bounds.GraceS)
	c.requirePositive("bounds.lease_ms", s.Bounds.LeaseMs)
	c.requirePositive("bounds.usage_window_s", s.Bounds.UsageWindowS)
	c.requirePositive("bounds.retry_window_s", s.Bounds.RetryWindowS)
	c.require("overload.admission", s.Overload.Admission || !s.Overload.FairShares && !s.Overload.Reservations)
	c.requireDistinct(map[string]netip.AddrPort{
		"front_address": s.Front, "ready_address": s.Ready, "peer_address": s.Peer, "metrics_address": s.Metrics,
	})
	return c.faults
}
