package table

import (
	"strings"
	"time"
)

// Account is the effective row of a client account.
type Account struct {
	Name      string
	KeySHA256 string
	Operator  bool
	Weight    float64
	LimitRate float64 // requests per second over all entry instances; 0 is none
	LimitToks float64 // tokens per second over all entry instances; 0 is none
	LimitOpen int     // open requests over all entry instances; 0 is none
}

// Class is the effective row of a request class.
type Class struct {
	Name       string
	Match      string
	Model      string
	Priority   int
	Target     time.Duration // a policy value; it becomes a deadline on arrival
	Deadline   time.Duration // a policy value; it becomes a deadline on arrival
	MayBeLate  bool
	Repeatable bool
	Recompute  float64 // milliseconds of lateness per recomputed token
	RetryShare float64
}

// System is what the default row says about the whole system.
type System struct {
	StopDeadline time.Duration
	Retention    time.Duration
	Records      int
	MoveKV       bool
	Policy       string
}

// View is the immutable, typed form of a document.
type View struct {
	Revision uint64
	Doc      *Document
	System   System
	byKey    map[string]*Account // guarded by being immutable
	classes  []*Class
	weights  map[string]float64
}

// NewView computes the effective rows of a document.
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
		StopDeadline: parseMillis(cell(def, ColStop)),
		Retention:    parseMillis(cell(def, ColRetention)),
		Records:      int(parseFloat(cell(def, ColRecords))),
		MoveKV:       parseBool(cell(def, ColMoveKV)),
		Policy:       cell(def, ColPolicy),
	}
	return v
}

type cellFunc func(r Row, column string) string

func newAccount(r Row, cell cellFunc) *Account {
	return &Account{
		Name:      r.Name,
		KeySHA256: r.Get(ColKey),
		Operator:  parseBool(r.Get(ColOperator)),
		Weight:    parseFloat(cell(r, ColWeight)),
		LimitRate: parseFloat(cell(r, ColLimitRate)),
		LimitToks: parseFloat(cell(r, ColLimitToks)),
		LimitOpen: int(parseFloat(cell(r, ColLimitOpen))),
	}
}

func newClass(r Row, cell cellFunc) *Class {
	return &Class{
		Name:       r.Name,
		Match:      r.Get(ColMatch),
		Model:      r.Get(ColModel),
		Priority:   int(parseFloat(cell(r, ColPriority))),
		Target:     parseMillis(cell(r, ColTarget)),
		Deadline:   parseMillis(cell(r, ColDeadline)),
		MayBeLate:  parseBool(cell(r, ColMayBeLate)),
		Repeatable: parseBool(cell(r, ColRepeatable)),
		Recompute:  parseFloat(cell(r, ColRecompute)),
		RetryShare: parseFloat(cell(r, ColRetryShare)),
	}
}

// Account returns the account whose key has this SHA-256, in hex. The look-up
// is by hash: how long it takes says nothing about any key.
func (v *View) Account(keySHA256 string) (*Account, bool) {
	a, ok := v.byKey[keySHA256]
	return a, ok
}

// Weight returns the weight of an account by its name.
func (v *View) Weight(account string) float64 { return v.weights[account] }

// Class returns the class whose match is the longest prefix of path, which is
// model/NAME or service/NAME/PATH.
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

// ClassNamed returns the class of a row.
func (v *View) ClassNamed(name string) (*Class, bool) {
	for _, c := range v.classes {
		if c.Name == name {
			return c, true
		}
	}
	return nil, false
}

// matches is a prefix match at path boundaries, so that service/till does not
// take in service/tillage.
func matches(match, path string) bool {
	rest, ok := strings.CutPrefix(path, match)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(match, "/"))
}
