package policy

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWeightsAreKept(t *testing.T) {
	is := is.New(t)
	r := Route{Split: []Share{{"a", 90}, {"b", 10}}}
	n := 0
	for i := range 10_000 {
		if r.Pick(fmt.Sprint(i)) == "b" {
			n++
		}
	}
	is.True(n > 850 && n < 1150)
	is.Equal(r.Pick("same"), r.Pick("same"))
}

func TestAAccountsPriorityComesBeforeTheRoutes(t *testing.T) {
	is := is.New(t)
	c, err := New(Config{
		Version: 1,
		Routes: []Route{
			{Name: "r0", Host: "h", Prefix: "/0/", Timeout: time.Second, Priority: 0, Split: []Share{{"s", 1}}},
			{Name: "r2", Host: "h", Prefix: "/2/", Timeout: time.Second, Priority: 2, Split: []Share{{"s", 1}}},
		},
		Accounts: []Account{{Name: "t1", Priority: 1}, {Name: "t2", Priority: 2}},
	})
	is.NoErr(err)
	is.True(c.Priority(&c.Accounts[0], &c.Routes[1]) < c.Priority(&c.Accounts[1], &c.Routes[0]))
	is.True(c.Priority(&c.Accounts[0], &c.Routes[0]) < c.Priority(&c.Accounts[0], &c.Routes[1]))
	is.True(c.Priority(&c.Accounts[1], &c.Routes[1]) < Priorities)
}

func TestARouteWithoutAServiceIsInvalid(t *testing.T) {
	is := is.New(t)
	_, err := New(Config{Version: 1, Routes: []Route{{Name: "r"}}})
	is.True(errors.Is(err, ErrInvalid))
}

// An account without a limit, or one that the configuration in force does not contain, must not get a
// share of almost zero beside accounts whose limits are thousands of units.
func TestWeight(t *testing.T) {
	is := is.New(t)
	c, err := New(Config{Version: 1, Accounts: []Account{{Name: "small", Rate: 300}, {Name: "large", Rate: 900}, {Name: "free"}}})
	is.NoErr(err)
	is.Equal(c.Weight("small"), 300.0)
	is.Equal(c.Weight("large"), 900.0)
	is.Equal(c.Weight("free"), 600.0)
	is.Equal(c.Weight("unknown"), 600.0)
	c, err = New(Config{Version: 1, Accounts: []Account{{Name: "free"}}})
	is.NoErr(err)
	is.Equal(c.Weight("free"), 1.0)
}
