package table

import (
	"strings"
	"time"
)

// Account is the row of a client account, with defaults for empty cells.
type Account struct {
	Name            string
	KeySHA256       string
	Operator        bool
	Weight          float64
	LimitRate       float64 // requests per second over all entry instances; 0 means no limit
	LimitTokens     float64 // tokens per second over all entry instances; 0 means no limit
	LimitConcurrent int     // open requests over all entry instances; 0 means no limit
}

// Class is the row of a request class, with defaults for empty cells. See
// Columns for the meaning of each field.
type Class struct {
	Name           string
	Match          string
	Model          string
	Priority       int
	LatencyTarget  time.Duration // latency target, from the arrival of a request
	Deadline       time.Duration // from the arrival of a request that sets no deadline
	MayBeLate      bool
	Repeatable     bool
	RecomputePrice float64 // cost of recomputing a prompt token, in milliseconds of lateness
	RetryShare     float64
}

// System holds the system-wide settings, which are in the default row.
type System struct {
	StopDeadline   time.Duration // time for streams to finish before a planned stop moves them
	Retention      time.Duration // of a request that may not be repeated, after its deadline
	RecordCapacity int           // maximum number of request records at an entry instance
	MoveKV         bool          // whether a stream that moves takes its KV cache along
	Policy         string        // routing policy
}

// View is the immutable, typed form of a document.
type View struct {
	Revision uint64
	Doc      *Document
	System   System
	byKey    map[string]*Account // by KeySHA256
	classes  []*Class
	weights  map[string]float64 // by name of the account
}

// NewView returns the typed form of a document. An empty cell of an account or
// class takes the value in the default row, or else the column's default; the
// columns key_sha256, operator, match and model have no default. The View keeps
// d, which must not be changed afterwards.
func NewView(d *Document) *View {
	v := &View{Revision: d.Revision, Doc: d, byKey: make(map[string]*Account), weights: make(map[string]float64)}
	def, _ := d.Find(DefaultRow)
	cell := func(r Row, column string) string {
		if s := r.Get(column); s != "" {
			return s
		}
		if s := def.Get(column); s != "" {
			return s
		}
		c, _ := FindColumn(column)
		return c.Default
	}
	for _, r := range d.Rows {
		switch RowKind(r.Get(ColKind)) {
		case KindAccount:
			a := newAccount(r, cell)
			v.weights[a.Name] = a.Weight
			if a.KeySHA256 != "" {
				v.byKey[a.KeySHA256] = a
			}
		case KindClass:
			v.classes = append(v.classes, newClass(r, cell))
		}
	}
	v.System = System{
		StopDeadline:   parseMillis(cell(def, ColStopDeadline)),
		Retention:      parseMillis(cell(def, ColRetention)),
		RecordCapacity: int(parseFloat(cell(def, ColRecordCapacity))),
		MoveKV:         parseBool(cell(def, ColMoveKV)),
		Policy:         cell(def, ColPolicy),
	}
	return v
}

// cellFunc returns the value in a column of a row, or its default.
type cellFunc func(r Row, column string) string

func newAccount(r Row, cell cellFunc) *Account {
	return &Account{
		Name:            r.Name,
		KeySHA256:       r.Get(ColKey),
		Operator:        parseBool(r.Get(ColOperator)),
		Weight:          parseFloat(cell(r, ColWeight)),
		LimitRate:       parseFloat(cell(r, ColLimitRate)),
		LimitTokens:     parseFloat(cell(r, ColLimitTokens)),
		LimitConcurrent: int(parseFloat(cell(r, ColLimitConcurrent))),
	}
}

func newClass(r Row, cell cellFunc) *Class {
	return &Class{
		Name:           r.Name,
		Match:          r.Get(ColMatch),
		Model:          r.Get(ColModel),
		Priority:       int(parseFloat(cell(r, ColPriority))),
		LatencyTarget:  parseMillis(cell(r, ColLatencyTarget)),
		Deadline:       parseMillis(cell(r, ColDeadline)),
		MayBeLate:      parseBool(cell(r, ColMayBeLate)),
		Repeatable:     parseBool(cell(r, ColRepeatable)),
		RecomputePrice: parseFloat(cell(r, ColRecomputePrice)),
		RetryShare:     parseFloat(cell(r, ColRetryShare)),
	}
}

// Account returns the account whose key has this SHA-256, in lower-case hex.
// Keys are looked up by hash so that the time taken reveals nothing about valid
// keys.
func (v *View) Account(keySHA256 string) (*Account, bool) {
	a, ok := v.byKey[keySHA256]
	return a, ok
}

// Weight returns the weight of an account by its name.
func (v *View) Weight(account string) float64 { return v.weights[account] }

// Class returns the class whose match is the longest prefix of path, at path
// boundaries. path has the form model/NAME or service/NAME/PATH.
func (v *View) Class(path string) (*Class, bool) {
	var best *Class
	for _, c := range v.classes {
		if c.Match == "" || !matches(c.Match, path) {
			continue
		}
		if best == nil || len(c.Match) > len(best.Match) {
			best = c
		}
	}
	return best, best != nil
}

// ClassByName returns the class with this row name.
func (v *View) ClassByName(name string) (*Class, bool) {
	for _, c := range v.classes {
		if c.Name == name {
			return c, true
		}
	}
	return nil, false
}

// matches reports whether match is a prefix of path that ends at a path
// boundary: service/till matches service/till/1 but not service/tillage.
func matches(match, path string) bool {
	rest, ok := strings.CutPrefix(path, match)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(match, "/"))
}
