// Package deployment turns the description of a deployment into settings for
// stand-ins and entry instances, and into the first table.
//
// The package is pure but for reading the embedded files.
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

// Spec describes a deployment.
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

// Model is a model with the number of engines that serve it.
type Model struct {
	Name    string `toml:"name"`
	Engines int    `toml:"engines"`
}

// Service is a plain service with its number of instances.
type Service struct {
	Name      string `toml:"name"`
	Instances int    `toml:"instances"`
}

// Account is a client account with the key that experiments use.
type Account struct {
	Name      string  `toml:"name"`
	Key       string  `toml:"key"`
	Operator  bool    `toml:"operator"`
	Weight    float64 `toml:"weight"`
	LimitRate float64 `toml:"limit_requests_per_s"`
}

// Class is a request class.
type Class struct {
	Name       string  `toml:"name"`
	Match      string  `toml:"match"`
	Model      string  `toml:"model"`
	Priority   int     `toml:"priority"`
	TargetMs   int     `toml:"target_ms"`
	DeadlineMs int     `toml:"deadline_ms"`
	Repeatable *bool   `toml:"repeatable"`
	MayBeLate  bool    `toml:"may_be_late"`
	Recompute  float64 `toml:"recompute_price"`
}

// Traffic is the load of one class.
type Traffic struct {
	Class     string  `toml:"class"`
	PerSecond float64 `toml:"per_second"` // conversations' turns or calls
	System    int     `toml:"system"`     // tokens that all sessions share
	Prompt    int     `toml:"prompt"`     // tokens that each turn adds
	Answer    int     `toml:"answer"`     // tokens of an answer
	Turns     int     `toml:"turns"`
}

// Load reads the description of a deployment.
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

// Class returns the class with this name.
func (s *Spec) Class(name string) Class {
	for _, c := range s.Classes {
		if c.Name == name {
			return c
		}
	}
	return Class{}
}

// OperatorKey returns the key of an operator's account.
func (s *Spec) OperatorKey() string {
	for _, a := range s.Accounts {
		if a.Operator {
			return a.Key
		}
	}
	return ""
}

// HashKey returns the form in which the table holds an account's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Table returns the first table. system sets cells of its default row.
func (s *Spec) Table(system ...table.Cell) *table.Document {
	d := &table.Document{Revision: 1}
	def := table.Row{Name: table.DefaultRow, Cells: []table.Cell{{Column: table.ColKind, Value: string(table.KindClass)}}}
	def.Cells = append(def.Cells, system...)
	d.Rows = append(d.Rows, def)
	for _, a := range s.Accounts {
		r := newRow(a.Name, table.KindAccount)
		r.add(table.ColKey, HashKey(a.Key))
		r.add(table.ColOperator, strconv.FormatBool(a.Operator))
		r.add(table.ColWeight, number(a.Weight))
		r.add(table.ColLimitRate, number(a.LimitRate))
		d.Rows = append(d.Rows, r.Row)
	}
	for _, c := range s.Classes {
		d.Rows = append(d.Rows, classRow(c))
	}
	return d
}

type row struct{ table.Row }

func newRow(name string, kind table.RowKind) *row {
	return &row{table.Row{Name: name, Cells: []table.Cell{{Column: table.ColKind, Value: string(kind)}}}}
}

func (r *row) add(column, value string) {
	if value != "" {
		r.Cells = append(r.Cells, table.Cell{Column: column, Value: value})
	}
}

func number(f float64) string {
	if f == 0 {
		return ""
	}
	return strconv.FormatFloat(f, 'g', -1, 64)
}

func classRow(c Class) table.Row {
	r := newRow(c.Name, table.KindClass)
	r.add(table.ColMatch, c.Match)
	r.add(table.ColModel, c.Model)
	r.add(table.ColPriority, strconv.Itoa(c.Priority))
	r.add(table.ColLatencyTarget, strconv.Itoa(c.TargetMs))
	r.add(table.ColDeadline, strconv.Itoa(c.DeadlineMs))
	r.add(table.ColRecomputePrice, number(c.Recompute))
	if c.MayBeLate {
		r.add(table.ColMayBeLate, "true")
	}
	if c.Repeatable != nil {
		r.add(table.ColRepeatable, strconv.FormatBool(*c.Repeatable))
	}
	return r.Row
}

// Addresses of a deployment on loopback, from a first port on.
const (
	portStore   = 0
	portList    = 1
	portEntry   = 10 // two ports each
	portService = 200
	portEngine  = 300
)

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

// StandIns returns the settings of the stand-ins.
func (s *Spec) StandIns(base int, seed uint64, system ...table.Cell) (standin.Settings, error) {
	doc, err := json.Marshal(s.Table(system...))
	if err != nil {
		return standin.Settings{}, fmt.Errorf("first table: %w", err)
	}
	set := standin.Settings{Store: loopback(base + portStore), List: loopback(base + portList), Seed: seed, Timing: s.Timing, Table: string(doc)}
	n := 0
	for _, m := range s.Models {
		for i := range m.Engines {
			set.Engine = append(set.Engine, standin.InstanceSpec{ID: fmt.Sprintf("%s-%02d", m.Name, i), Addr: loopback(base + portEngine + n), Hall: s.Halls[i%len(s.Halls)], Serves: m.Name})
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
		e := s.Entry(base, i)
		set.Entry = append(set.Entry, standin.InstanceSpec{ID: e.Name, Addr: e.Caller, Peer: e.Peer, Hall: e.Hall})
	}
	return set, nil
}

// Entry returns the settings of the i-th entry instance.
func (s *Spec) Entry(base, i int) settings.Entry {
	return settings.Entry{
		Name: fmt.Sprintf("entry-%02d", i), Hall: s.Halls[i%len(s.Halls)], Region: s.Region,
		Caller: loopback(base + portEntry + 2*i), Peer: loopback(base + portEntry + 2*i + 1),
		Store: loopback(base + portStore), List: loopback(base + portList), PlainText: true,
	}
}
