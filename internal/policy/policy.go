// Package policy is the operators' configuration as requests are decided by:
// routes, services, client accounts and limits.
//
// A Config is immutable once New has made it. The package is pure.
package policy

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a request of a route may bear.
type Kind int

// The kinds of route. Unsafe is the zero value: a request is never repeated
// because its kind was not understood.
const (
	Unsafe    Kind = iota // runs at most once
	Safe                  // may run more than once
	Streaming             // answered by a stream of events
)

// Route maps requests to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // of the path; begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // a policy value; it becomes a deadline on arrival
	Target      time.Duration // latency for the full credit, to the first event of a stream
	MaxPause    time.Duration // between two events of a stream
	Priority    int           // 0 is the most urgent
	Split       []Share       // never empty
	MaxAttempts int           // servers that one request may be sent to, at least 1
	Public      bool          // needs no key
	Resumable   bool          // another server may go on with a broken stream
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Resumable }

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of equal servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // to one server, from all nodes together; 0 is no limit
	Engine         *Engine
	Scaling        *Scaling
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots        int
	CacheTokens  int // tokens of KV cache that a server has memory for
	TokensAnItem int // tokens in one event of a stream
	Moves        bool
	Backups      bool
}

// Scaling says how servers of a service are ordered. The bounds hold in each hall.
type Scaling struct {
	Min, Max   int
	Boot       time.Duration // from an order to serving
	SpotPrice  float64       // share of the price of a server that is not reclaimable
	HallPrices map[string]float64
}

// Account is a client account: a customer with keys, a limit and a priority.
type Account struct {
	Name        string
	Keys        []string
	Priority    int     // 0 is the most urgent; it comes before that of the route
	Rate        float64 // of units a second over all nodes; 0 is no limit
	Burst       float64 // units above the rate
	CountTokens bool    // the unit is a token, else a request
	PlainTokens float64 // what a request that names no tokens counts for
}

// Limits bounds what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	byHost    map[string][]*Route // longest prefix first
	byKey     map[string]*Account
	byService map[string]*Service
	ranks     map[rank]int
}

type rank struct{ account, route int }

// ErrInvalid says that a configuration cannot be used.
var ErrInvalid = errors.New("invalid configuration")

// New checks a configuration and prepares it for look-ups.
func New(c Config) (*Config, error) {
	if c.Version <= 0 {
		return nil, fmt.Errorf("%w: version %d", ErrInvalid, c.Version)
	}
	c.byHost = make(map[string][]*Route)
	c.byKey = make(map[string]*Account)
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
		for _, key := range c.Accounts[i].Keys {
			c.byKey[key] = &c.Accounts[i]
		}
	}
	c.rank()
	return &c, nil
}

// rank orders the pairs of a client account's and a route's priority.
func (c *Config) rank() {
	var all []rank
	for _, r := range c.Routes {
		for _, a := range c.Accounts {
			all = append(all, rank{a.Priority, r.Priority})
		}
		all = append(all, rank{0, r.Priority})
	}
	slices.SortFunc(all, func(a, b rank) int { return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route)) })
	all = slices.Compact(all)
	c.ranks = make(map[rank]int, len(all))
	for i, r := range all {
		c.ranks[r] = i
	}
}

// Priorities is the number of levels that servers tell apart; 0 goes first.
const Priorities = 10

// Priority returns the level at which a request is sent to a server. a may
// be nil.
func (c *Config) Priority(a *Account, r *Route) int {
	of := rank{0, r.Priority}
	if a != nil {
		of.account = a.Priority
	}
	if len(c.ranks) <= Priorities {
		return c.ranks[of]
	}
	return c.ranks[of] * Priorities / len(c.ranks)
}

// Match returns the route of a host whose prefix begins the path and is the
// longest, or nil.
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

// Account returns the client account that holds a key, or nil.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// Service returns the service with this name, or nil.
func (c *Config) Service(name string) *Service { return c.byService[name] }

// Pick returns the service that a request goes to. The same id gets the same
// service as long as the weights stay.
func (r *Route) Pick(id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
