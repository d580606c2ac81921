package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// priorities returns a configuration with routes and accounts of these priorities.
func priorities(t *testing.T, routes, accounts []int) *Config {
	t.Helper()
	c := Config{Version: 1, Services: []Service{{Name: "svc"}}}
	for i, p := range routes {
		c.Routes = append(c.Routes, Route{
			Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Timeout: time.Second, Priority: p, MaxAttempts: 1,
			Split: []Share{{Service: "svc", Weight: 1}},
		})
	}
	for i, p := range accounts {
		c.Accounts = append(c.Accounts, Account{Name: fmt.Sprint("a", i), Keys: []string{fmt.Sprint("k", i)}, Priority: p})
	}
	out, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against priorities that differ from the order of all pairs of an account's and a route's priority.
func TestPrioritiesFollowTheOrderOfAllPairs(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		draw := func(n int) []int {
			out := make([]int, rnd.IntN(n)+1)
			for i := range out {
				out[i] = rnd.IntN(6) - 1
			}
			return out
		}
		c := priorities(t, draw(6), draw(5))
		type pair struct{ account, route int }
		var all []pair
		for _, r := range c.Routes {
			all = append(all, pair{0, r.Priority})
			for _, a := range c.Accounts {
				all = append(all, pair{a.Priority, r.Priority})
			}
		}
		slices.SortFunc(all, func(a, b pair) int { return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route)) })
		all = slices.Compact(all)
		level := func(p pair) int {
			rank := slices.Index(all, p)
			if len(all) > Priorities {
				return rank * Priorities / len(all)
			}
			return rank
		}
		for i := range c.Routes {
			is.Equal(c.Priority(nil, &c.Routes[i]), level(pair{0, c.Routes[i].Priority}))
			for j := range c.Accounts {
				is.Equal(c.Priority(&c.Accounts[j], &c.Routes[i]), level(pair{c.Accounts[j].Priority, c.Routes[i].Priority}))
			}
		}
	}
}

// Guards against a list of routes times client accounts, which passes the memory of an instance.
func TestAConfigurationOfManyRoutesAndAccountsTakesLittleMemory(t *testing.T) {
	is := is.New(t)
	many := make([]int, 3000)
	for i := range many {
		many[i] = i % 7
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	priorities(t, many, many)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 32<<20)
}
