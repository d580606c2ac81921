package brittle

import (
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Observer records in a Table whether a request was rejected. It implements balance.Observer.
type Observer struct {
	Table    *Table
	Clock    *clock.Clock
	Endpoint *registry.Endpoint
	Beyond   bool // the request is beyond the share
}

// PromptRead implements balance.Observer.
func (Observer) PromptRead() {}

// Done implements balance.Observer.
func (o Observer) Done(result balance.Result) {
	if result == balance.Refused {
		o.Table.Rejected(o.Endpoint, o.Beyond, o.Clock.Now())
	}
}
