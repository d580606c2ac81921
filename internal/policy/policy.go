// Package policy holds the operators' configuration, by which requests are routed and limited:
// routes, services, client accounts and limits.
//
// A Config is immutable once New has returned it. The package does no I/O.
package policy

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Kind says how a route's requests are answered and whether they may be repeated.
type Kind int

// The kinds of route. Unsafe is the zero value, so that no request is repeated because its kind was
// not recognized.
const (
	Unsafe    Kind = iota // a request runs at most once
	Safe                  // a request may run more than once
	Streaming             // a request is answered by a stream of events
)

// Route maps requests to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string // of the path; begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // a request's deadline is its arrival and this
	TargetLatency  time.Duration // target latency of the answer, or of the first event of a stream
	TargetEventGap time.Duration // target for the longest time between two events of a stream
	MaxSilence     time.Duration // without an event, after which a client abandons a stream; 0 on other routes
	Priority       int           // 0 is the most urgent
	Split          []Share       // how requests are split among services; never empty
	MaxAttempts    int           // number of endpoints that one request may be sent to, at least 1
	Public         bool          // requests need no key
	Resumable      bool          // another endpoint may continue a stream that broke off
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Resumable }

// Share is a service's share of a route's requests.
type Share struct {
	Service string
	Weight  float64 // relative to the sum of the weights of the route's shares
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string   // path of an endpoint's health check
	MaxConnections int      // to one endpoint, from all instances together; 0 is no limit
	Engine         *Engine  // nil if the endpoints are no model engines
	Scaling        *Scaling // nil if the number of endpoints is fixed
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int  // requests that an endpoint processes at once; 0 if the endpoints report it
	CacheTokens    int  // size of an endpoint's KV cache in tokens
	TokensPerEvent int  // number of tokens in one event of a stream
	Moves          bool // endpoints can move KV cache to each other
	Backups        bool // endpoints can keep backups of KV cache
}

// Scaling says how the number of a service's endpoints is scaled. The bounds apply in each hall.
type Scaling struct {
	Min, Max   int                // number of endpoints
	Boot       time.Duration      // from the order of an endpoint until it serves
	SpotPrice  float64            // price of a reclaimable endpoint as a share of that of an on-demand one
	HallPrices map[string]float64 // price of an endpoint's second, by hall
}

// Account is a client account: a customer with keys, a limit and a priority.
type Account struct {
	Name          string
	Keys          []string
	Priority      int     // 0 is the most urgent; it takes precedence over the route's
	Rate          float64 // units a second over all instances; 0 is no limit
	Burst         float64 // units above the rate
	CountTokens   bool    // a unit is a token, else a request
	DefaultTokens float64 // units of a request that does not name its tokens, if CountTokens is set
}

// Limits are limits on what a client may send. Zero stands for the default.
type Limits struct {
	HeaderBytes   int           // size of the request header
	BodyBytes     int64         // size of the request body
	HeaderTimeout time.Duration // for reading the request header
	IdleTimeout   time.Duration // of a connection between two requests
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	byHost    map[string][]*Route // longest prefix first; hosts in lower case
	byKey     map[string]*Account
	byAccount map[string]*Account
	meanRate  float64 // of the client accounts' limits; 1 if there are none
	byService map[string]*Service

	// By priority: its position among the priorities of all accounts, and of all routes, from 0.
	accountRanks, routeRanks map[int]int
}

// ErrInvalid is the error of a configuration that cannot be used.
var ErrInvalid = errors.New("invalid configuration")

// New checks a configuration and prepares it for look-ups.
func New(c Config) (*Config, error) {
	if c.Version <= 0 {
		return nil, fmt.Errorf("%w: version %d", ErrInvalid, c.Version)
	}
	c.byHost = make(map[string][]*Route)
	c.byKey = make(map[string]*Account)
	c.byAccount = make(map[string]*Account)
	c.byService = make(map[string]*Service)
	for i := range c.Services {
		c.byService[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Split) == 0 {
			return nil, fmt.Errorf("%w: route %s has no service", ErrInvalid, r.Name)
		}
		r.MaxAttempts = max(1, r.MaxAttempts)
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Accounts {
		c.byAccount[c.Accounts[i].Name] = &c.Accounts[i]
		for _, key := range c.Accounts[i].Keys {
			c.byKey[key] = &c.Accounts[i]
		}
	}
	c.meanRate = meanRate(c.Accounts)
	c.rankPriorities()
	return &c, nil
}

// LongestResumable returns the longest Timeout of a route whose streams can be resumed; 0 if there is none.
func (c *Config) LongestResumable() time.Duration {
	longest := time.Duration(0)
	for i := range c.Routes {
		if c.Routes[i].Resumable {
			longest = max(longest, c.Routes[i].Timeout)
		}
	}
	return longest
}

// meanRate returns the mean of the limits of the accounts that have one, or 1 if none has.
func meanRate(accounts []Account) float64 {
	sum, limited := 0.0, 0
	for i := range accounts {
		if accounts[i].Rate > 0 {
			sum += accounts[i].Rate
			limited++
		}
	}
	if limited == 0 {
		return 1
	}
	return sum / float64(limited)
}

// rankPriorities ranks the priorities of client accounts and of routes. A request's rank is that of its pair among all
// pairs, first by account. Requests without a client account have the account priority 0.
func (c *Config) rankPriorities() {
	accounts := append(lo.Map(c.Accounts, func(a Account, _ int) int { return a.Priority }), 0)
	c.accountRanks = ranksOf(accounts)
	c.routeRanks = ranksOf(lo.Map(c.Routes, func(r Route, _ int) int { return r.Priority }))
}

// ranksOf returns the rank of each of the values, 0 for the smallest.
func ranksOf(values []int) map[int]int {
	slices.Sort(values)
	ranks := make(map[int]int)
	for i, v := range slices.Compact(values) {
		ranks[v] = i
	}
	return ranks
}

// Priorities is the number of priority levels that endpoints distinguish. Level 0 is served first.
const Priorities = 10

// Priority returns the priority level, below Priorities, of a request of a route by a client
// account, which may be nil. If there are more ranks than levels, neighbouring ranks share a level.
func (c *Config) Priority(a *Account, r *Route) int {
	account := 0
	if a != nil {
		account = a.Priority
	}
	rank := c.accountRanks[account]*len(c.routeRanks) + c.routeRanks[r.Priority]
	if ranks := len(c.accountRanks) * len(c.routeRanks); ranks > Priorities {
		return rank * Priorities / ranks
	}
	return rank
}

// Match returns the route of a host with the longest prefix that matches the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasAccounts reports whether requests need a key.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }

// Account returns the client account that a key belongs to, or nil.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// Weight returns the weight of a client account's fair share of a service: its limit in units a second,
// or the mean of all limits for a request without an account or with one that has no limit.
func (c *Config) Weight(account string) float64 {
	if a := c.byAccount[account]; a != nil && a.Rate > 0 {
		return a.Rate
	}
	return c.meanRate
}

// Service returns the service with this name, or nil.
func (c *Config) Service(name string) *Service { return c.byService[name] }

// Uses reports whether requests of the route may go to a service.
func (r *Route) Uses(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && (s.Weight > 0 || len(r.Split) == 1) })
}

// Pick returns the service for a request with an id. It returns the same service for the same id
// until the shares change.
func (r *Route) Pick(id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	point := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
