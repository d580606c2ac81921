package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// bounds are the limits configured for the instances of a soak run. The checker uses them too.
var bounds = settings.Bounds{
	RevokeMs: 5000, StrictRevoke: true, ConfigMs: 2000, StoreRefusedExtraMs: 5000, DrainMs: 2000, GraceS: 8, RetryRatio: 0.2, RetrySlack: 50,
	RetryWindowS: 10, QuotaOver: 0.1, QuotaWindowS: 8, LeaseMs: 3000, UsageWindowS: 5, UsageLateS: 10,
}

// checkBounds returns the limits that the checker verifies.
func checkBounds() check.Bounds {
	return check.Bounds{
		Contact: 3 * time.Second, Drain: bounds.Drain(), Revoke: bounds.Revoke(), Config: bounds.Config(),
		RollbackTolerance: 250 * time.Millisecond, Grace: bounds.Grace(), Recover: 12 * time.Second, RetryRatio: bounds.RetryRatio,
		RetrySlack: bounds.RetrySlack, RetryWindow: bounds.RetryWindow(), QuotaTolerance: bounds.QuotaOver, QuotaWindow: bounds.QuotaWindow(),
	}
}

const (
	host           = "soak.example"
	engineService  = "engine"
	plainService   = "plain"
	keysPerAccount = 4
	busyRate       = 10.0 // requests per second allowed to the account busy, whose callers send more
	busyBurst      = 10.0
)

// class is a kind of request with its share of the traffic.
type class struct {
	route  policy.Route
	method string
	weight float64 // relative to the other classes
}

func route(name string, kind policy.Kind, service string, timeout time.Duration, attempts int, resumable bool) policy.Route {
	return policy.Route{
		Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, TargetLatency: time.Second, TargetEventGap: time.Second,
		MaxAttempts: attempts, Resumable: resumable, Split: []policy.Share{{Service: service, Weight: 1}},
	}
}

const defaultStreamTimeout = 6 * time.Second

// newClasses returns the kinds of requests, with a timeout of streams of which 0 is the default.
func newClasses(streamTimeout time.Duration) []class {
	streamTimeout = cmp.Or(streamTimeout, defaultStreamTimeout)
	return []class{
		{route("pay", policy.Unsafe, plainService, 1500*time.Millisecond, 1, false), "POST", 3},
		{route("price", policy.Safe, plainService, 1500*time.Millisecond, 2, false), "GET", 3},
		{route("chat", policy.Streaming, engineService, streamTimeout, 2, true), "POST", 3},
		{route("note", policy.Streaming, engineService, streamTimeout, 1, false), "POST", 1},
	}
}

// probe is a route that one version of the configuration adds and a later one may remove.
type probe struct {
	route        policy.Route
	since, until int64 // first version with and first version without the route; until is 0 while it exists
}

// key is a key of a client account.
type key struct {
	name      string
	account   string
	addedAt   time.Time
	revokedAt time.Time // zero while it is valid
}

// operator simulates the platform's operator: it writes versions of the configuration to the store.
type operator struct {
	store   *writer
	record  *recorder
	slots   int // of each endpoint
	classes []class

	mu        sync.Mutex
	version   int64      // guarded by mu
	probes    []*probe   // guarded by mu
	keys      []*key     // guarded by mu
	keysAdded int        // number of keys ever added; guarded by mu
	rnd       *rand.Rand // guarded by mu
}

var accountNames = []string{"north", "south", "busy"}

func newOperator(store *writer, record *recorder, s Scenario, seed uint64) *operator {
	timeout := time.Duration(s.Streams.TimeoutS * float64(time.Second))
	o := &operator{store: store, record: record, slots: s.Slots, classes: newClasses(timeout), rnd: rand.New(rand.NewPCG(seed, 101))}
	for _, account := range accountNames {
		for range keysPerAccount {
			o.addKey(account, time.Time{})
		}
	}
	return o
}

// addKey adds a key to a client account. The caller holds o.mu, or o is not shared yet.
func (o *operator) addKey(account string, at time.Time) {
	o.keysAdded++
	o.keys = append(o.keys, &key{name: fmt.Sprintf("%s-key-%d", account, o.keysAdded), account: account, addedAt: at})
}

// accounts returns the client accounts that have a rate limit.
func (o *operator) accounts() []check.Account {
	return []check.Account{{Name: "busy", Rate: busyRate, Burst: busyBurst}}
}

const maxProbes = 3

// configure writes a configuration that adds a probe route, and removes the oldest one if there
// are too many. Version numbers may skip values.
func (o *operator) configure() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 1 + int64(o.rnd.IntN(3))
	name := fmt.Sprintf("probe-%d", o.version)
	o.probes = append(o.probes, &probe{route: route(name, policy.Safe, plainService, 1500*time.Millisecond, 2, false), since: o.version})
	active := slices.DeleteFunc(slices.Clone(o.probes), func(p *probe) bool { return p.until != 0 })
	if len(active) > maxProbes {
		active[0].until = o.version
	}
	return o.write(nil)
}

// revoke writes a configuration that revokes a key and adds a new key to the same client account.
func (o *operator) revoke(target uint64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	active := slices.DeleteFunc(slices.Clone(o.keys), func(k *key) bool { return !k.revokedAt.IsZero() })
	revoked := active[target%uint64(len(active))]
	o.addKey(revoked.account, time.Now())
	return o.write(revoked)
}

// write stores the present configuration, without the key revoked, which is nil if no key is to be
// revoked. The key counts as revoked once the write has returned. The caller holds o.mu.
func (o *operator) write(revoked *key) error {
	c := policy.Config{
		Version:  o.version,
		Services: []policy.Service{{Name: plainService}, {Name: engineService, Engine: &policy.Engine{Slots: o.slots, TokensPerEvent: 1}}},
		Limits:   policy.Limits{IdleTimeout: 15 * time.Second},
	}
	for _, class := range o.classes {
		c.Routes = append(c.Routes, class.route)
	}
	for _, p := range o.probes {
		if p.until == 0 {
			c.Routes = append(c.Routes, p.route)
		}
	}
	for _, name := range accountNames {
		a := policy.Account{Name: name}
		if name == "busy" {
			a.Rate, a.Burst = busyRate, busyBurst
		}
		for _, k := range o.keys {
			if k.account == name && k.revokedAt.IsZero() && k != revoked {
				a.Keys = append(a.Keys, k.name)
			}
		}
		c.Accounts = append(c.Accounts, a)
	}
	entry, value, err := platformtest.ConfigEntry(c)
	if err != nil {
		return err
	}
	sent := time.Now()
	o.store.put(entry, value)
	now := time.Now()
	o.record.config(check.Config{Version: c.Version, SentAt: sent, AckedAt: now})
	if revoked != nil {
		revoked.revokedAt = now
	}
	return nil
}

// keySettleTime is how long a new key stays unused, since instances may not have loaded it yet.
const keySettleTime = 12 * time.Second

// pickKey draws a key of a client account: a revoked one in 5 % of the cases if there is one, so that
// its rejection is checked.
func (o *operator) pickKey(account string) *key {
	o.mu.Lock()
	defer o.mu.Unlock()
	wantRevoked := o.rnd.Float64() < 0.05
	var fits []*key
	for _, k := range o.keys {
		if k.account == account && k.revokedAt.IsZero() != wantRevoked && time.Since(k.addedAt) > keySettleTime {
			fits = append(fits, k)
		}
	}
	if len(fits) == 0 {
		for _, k := range o.keys {
			if k.account == account && k.revokedAt.IsZero() {
				return k
			}
		}
	}
	return fits[o.rnd.IntN(len(fits))]
}

// pickProbe draws one of the latest probe routes, which may have been removed since. It returns
// false if there are none yet.
func (o *operator) pickProbe() (policy.Route, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.probes) == 0 {
		return policy.Route{}, false
	}
	recent := o.probes[max(0, len(o.probes)-maxProbes-2):]
	return recent[o.rnd.IntN(len(recent))].route, true
}

// annotate adds what the configuration says about a finished attempt: its client account, when its
// key was revoked, and which versions contain its route.
func (o *operator) annotate(a *check.Attempt, k *key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.Account, a.KeyRevoked = k.account, k.revokedAt
	if !strings.HasPrefix(a.Route, "probe-") {
		return
	}
	for _, p := range o.probes {
		if p.route.Name == a.Route {
			a.RouteAddedIn, a.RouteRemovedIn = p.since, p.until
		}
	}
}
