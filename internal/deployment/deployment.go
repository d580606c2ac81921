// Package deployment loads deployment descriptions and derives from them the
// settings of the stand-ins and of the entry instances, and the initial
// operators' table.
//
// Apart from reading the embedded files, its functions have no side effects.
package deployment

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"github.com/shelfcrank/shelfcrank/bench"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/internal/standin"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Spec describes a deployment: its region and halls, the number of entry
// instances, network delays, endpoints, client accounts, request classes and
// traffic. It is decoded from a TOML file in package bench.
type Spec struct {
	Name          string         `toml:"name"`
	Region        string         `toml:"region"`
	Halls         []string       `toml:"halls"`
	Entries       int            `toml:"entries"`
	HallDelayMs   int            `toml:"hall_delay_ms"`
	ClientDelayMs int            `toml:"client_delay_ms"`
	Timing        standin.Timing `toml:"timing"`
	Models        []Model        `toml:"model"`
	Services      []Service      `toml:"service"`
	Accounts      []Account      `toml:"account"`
	Classes       []Class        `toml:"class"`
	Traffic       []Traffic      `toml:"traffic"`
}

// Model describes a model and the number of engines that serve it.
type Model struct {
	Name    string `toml:"name"`
	Engines int    `toml:"engines"`
	// Versions are those of the engines' software, assigned in turn; empty if they state none.
	Versions []string `toml:"versions"`
}

// Service describes a plain service, one without a model, and the number of
// endpoints that serve it.
type Service struct {
	Name      string `toml:"name"`
	Instances int    `toml:"instances"`
}

// Account describes a client account, with the plain-text key that experiments
// authenticate with.
type Account struct {
	Name      string  `toml:"name"`
	Key       string  `toml:"key"`
	Operator  bool    `toml:"operator"`
	Weight    float64 `toml:"weight"`
	LimitRate float64 `toml:"limit_requests_per_s"`
}

// Class describes a request class. A nil Repeatable leaves the cell unset, so
// that the table's default applies.
type Class struct {
	Name           string  `toml:"name"`
	Match          string  `toml:"match"`
	Model          string  `toml:"model"`
	Priority       int     `toml:"priority"`
	TargetMs       int     `toml:"target_ms"`
	DeadlineMs     int     `toml:"deadline_ms"`
	Repeatable     *bool   `toml:"repeatable"`
	MayBeLate      bool    `toml:"may_be_late"`
	RecomputePrice float64 `toml:"recompute_price"`
}

// Traffic describes the load that one request class generates.
type Traffic struct {
	Class        string  `toml:"class"`
	PerSecond    float64 `toml:"per_second"` // conversation turns or service calls
	SystemTokens int     `toml:"system"`     // prompt tokens shared by all sessions
	PromptTokens int     `toml:"prompt"`     // prompt tokens added by each turn
	AnswerTokens int     `toml:"answer"`     // output tokens of a response
	Turns        int     `toml:"turns"`
}

// Load reads the embedded description of the named deployment. It fails on
// unknown keys.
func Load(name string) (*Spec, error) {
	b, err := bench.Files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("deployment %s: %w", name, err)
	}
	var s Spec
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return nil, fmt.Errorf("deployment %s: %w", name, err)
	}
	return &s, nil
}

// Class returns the request class with the given name, or the zero Class if
// there is none.
func (s *Spec) Class(name string) Class {
	for _, c := range s.Classes {
		if c.Name == name {
			return c
		}
	}
	return Class{}
}

// OperatorKey returns the key of the first client account with operator rights,
// or "" if there is none.
func (s *Spec) OperatorKey() string {
	for _, a := range s.Accounts {
		if a.Operator {
			return a.Key
		}
	}
	return ""
}

// HashKey returns the hex-encoded SHA-256 digest of a key, which the table
// stores instead of the key itself.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// InitialTable returns the operators' table at revision 1. The cells in system
// are added to its default row.
func (s *Spec) InitialTable(system ...table.Cell) *table.Document {
	d := &table.Document{Revision: 1}
	def := table.Row{Name: table.DefaultRow, Cells: []table.Cell{{Column: table.ColKind, Value: string(table.KindClass)}}}
	def.Cells = append(def.Cells, system...)
	d.Rows = append(d.Rows, def)
	for _, a := range s.Accounts {
		r := newTableRow(a.Name, table.KindAccount)
		r.add(table.ColKey, HashKey(a.Key))
		r.add(table.ColOperator, strconv.FormatBool(a.Operator))
		r.add(table.ColWeight, formatNumber(a.Weight))
		r.add(table.ColLimitRate, formatNumber(a.LimitRate))
		d.Rows = append(d.Rows, r.Row)
	}
	for _, c := range s.Classes {
		d.Rows = append(d.Rows, classRow(c))
	}
	return d
}

// tableRow is a row of the table under construction.
type tableRow struct{ table.Row }

func newTableRow(name string, kind table.RowKind) *tableRow {
	return &tableRow{table.Row{Name: name, Cells: []table.Cell{{Column: table.ColKind, Value: string(kind)}}}}
}

// add appends a cell unless value is empty.
func (r *tableRow) add(column, value string) {
	if value != "" {
		r.Cells = append(r.Cells, table.Cell{Column: column, Value: value})
	}
}

// formatNumber formats f for a cell; 0 becomes "", which leaves the cell unset.
func formatNumber(f float64) string {
	if f == 0 {
		return ""
	}
	return strconv.FormatFloat(f, 'g', -1, 64)
}

func classRow(c Class) table.Row {
	r := newTableRow(c.Name, table.KindClass)
	r.add(table.ColMatch, c.Match)
	r.add(table.ColModel, c.Model)
	r.add(table.ColPriority, strconv.Itoa(c.Priority))
	r.add(table.ColLatencyTarget, strconv.Itoa(c.TargetMs))
	r.add(table.ColDeadline, strconv.Itoa(c.DeadlineMs))
	r.add(table.ColRecomputePrice, formatNumber(c.RecomputePrice))
	if c.MayBeLate {
		r.add(table.ColMayBeLate, "true")
	}
	if c.Repeatable != nil {
		r.add(table.ColRepeatable, strconv.FormatBool(*c.Repeatable))
	}
	return r.Row
}

// Port offsets of a deployment on loopback, relative to its base port.
const (
	portStore   = 0
	portList    = 1  // the platform's list of endpoints, and control of the stand-ins
	portEntry   = 10 // two ports per instance: callers and peers
	portService = 200
	portEngine  = 300
)

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

// StandinSettings returns the settings of the stand-ins on loopback, with ports
// from base on. The cells in system are added to the default row of the initial
// table. Endpoints and entry instances are assigned to the halls in turn.
func (s *Spec) StandinSettings(base int, seed uint64, system ...table.Cell) (standin.Settings, error) {
	doc, err := json.Marshal(s.InitialTable(system...))
	if err != nil {
		return standin.Settings{}, fmt.Errorf("encode the initial table: %w", err)
	}
	set := standin.Settings{Store: loopback(base + portStore), List: loopback(base + portList), Seed: seed, Timing: s.Timing, Table: string(doc)}
	n := 0
	for _, m := range s.Models {
		for i := range m.Engines {
			engine := standin.InstanceSpec{ID: fmt.Sprintf("%s-%02d", m.Name, i), Addr: loopback(base + portEngine + n), Hall: s.Halls[i%len(s.Halls)], Serves: m.Name}
			if len(m.Versions) > 0 {
				engine.Version = m.Versions[i%len(m.Versions)]
			}
			set.Engine = append(set.Engine, engine)
			n++
		}
	}
	n = 0
	for _, v := range s.Services {
		for i := range v.Instances {
			set.Service = append(set.Service, standin.InstanceSpec{ID: fmt.Sprintf("%s-%02d", v.Name, i), Addr: loopback(base + portService + n), Hall: s.Halls[i%len(s.Halls)], Serves: v.Name})
			n++
		}
	}
	for i := range s.Entries {
		e := s.EntrySettings(base, i)
		set.Entry = append(set.Entry, standin.InstanceSpec{ID: e.Name, Addr: e.Caller, Peer: e.Peer, Hall: e.Hall})
	}
	return set, nil
}

// EntrySettings returns the settings of the i-th entry instance of a deployment
// on loopback with ports from base on. Connections are in plain text.
func (s *Spec) EntrySettings(base, i int) settings.Entry {
	return settings.Entry{
		Name: fmt.Sprintf("entry-%02d", i), Hall: s.Halls[i%len(s.Halls)], Region: s.Region,
		Caller: loopback(base + portEntry + 2*i), Peer: loopback(base + portEntry + 2*i + 1),
		Store: loopback(base + portStore), List: loopback(base + portList), PlainText: true,
	}
}
