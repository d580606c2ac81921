// Package settings reads the TOML file that places a process: its addresses,
// its hall and region, the platform's addresses and its certificates. Policy
// is never in settings; it is in the operators' table.
//
// Load reports every fault of a file at once, each with its line and key.
package settings

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/samber/lo"
)

// Serve places one entry instance.
type Serve struct {
	Name   string         `toml:"name" help:"Name of the instance, unique among the entry instances."`
	Hall   string         `toml:"hall" help:"Hall the instance runs in."`
	Region string         `toml:"region" help:"Region of the hall."`
	Caller netip.AddrPort `toml:"caller_address" help:"Address callers and operators reach the instance at."`
	Peer   netip.AddrPort `toml:"peer_address" help:"Address the other entry instances reach it at."`
	Store  netip.AddrPort `toml:"store_address" help:"Address of the platform's key-value service."`
	List   netip.AddrPort `toml:"list_address" help:"Address of the platform's instance list and cloud API."`
	Plain  bool           `toml:"plain_text" help:"Must be true to run without TLS; traffic is then readable on the network."`
	TLS    TLS            `toml:"tls" help:"Certificates; needed unless plain_text is true."`
}

// TLS names the certificate files. They are read again when they change.
type TLS struct {
	Authority string `toml:"authority_file" help:"Certificate of the authority that signs entry instances' certificates."`
	Cert      string `toml:"certificate_file" help:"Certificate of this instance."`
	Key       string `toml:"key_file" help:"Private key of this instance."`
}

// Fault is one thing wrong with a settings file.
type Fault struct {
	Line   int    `json:"line"` // from 1; 0 when the fault belongs to no line
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Reason)
}

// FaultsError is all that is wrong with a file.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, e.File+": "+f.String())
	}
	return strings.Join(lines, "\n")
}

// LoadServe reads and checks the settings of an entry instance.
func LoadServe(file string) (Serve, error) {
	var s Serve
	err := read(file, &s, func(lines map[string]int) []Fault { return s.check(lines) })
	return s, err
}

// read reads a file into the struct that s points to.
func read(file string, s any, check func(lines map[string]int) []Fault) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return &FaultsError{File: file, Faults: []Fault{{0, "file", err.Error()}}}
	}
	faults := append(parse(b, s), check(keyLines(b))...)
	faults = lo.UniqBy(faults, func(f Fault) string { return f.Key }) // the first says why
	if len(faults) > 0 {
		return &FaultsError{File: file, Faults: faults}
	}
	return nil
}

// IsFront reports whether a file holds the settings of a node that stands
// between clients and servers, by the keys that only these have.
func IsFront(file string) bool {
	b, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	_, ok := keyLines(b)["front_address"]
	return ok
}

// parse decodes key by key, so that one wrong value does not hide the next.
func parse(b []byte, s any) []Fault {
	lines := keyLines(b)
	var tree map[string]any
	if err := toml.Unmarshal(b, &tree); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			return []Fault{{row, strings.Join(de.Key(), "."), de.Error()}}
		}
		return []Fault{{0, "file", err.Error()}}
	}
	return fill(tree, reflect.ValueOf(s).Elem(), "", lines)
}

func fill(tree map[string]any, v reflect.Value, prefix string, lines map[string]int) []Fault {
	var faults []Fault
	known := make(map[string]int)
	for i := range v.NumField() {
		known[v.Type().Field(i).Tag.Get("toml")] = i
	}
	for name, value := range tree {
		key := prefix + name
		i, ok := known[name]
		if !ok {
			faults = append(faults, Fault{lines[key], key, "unknown key"})
			continue
		}
		if f := setField(v.Field(i), value, key, lines); f != nil {
			faults = append(faults, f...)
		}
	}
	return faults
}

func setField(field reflect.Value, value any, key string, lines map[string]int) []Fault {
	wrong := func(want string) []Fault {
		return []Fault{{lines[key], key, fmt.Sprintf("want %s, got %v", want, value)}}
	}
	switch field.Interface().(type) {
	case string:
		s, ok := value.(string)
		if !ok {
			return wrong("a string")
		}
		field.SetString(s)
	case bool:
		b, ok := value.(bool)
		if !ok {
			return wrong("true or false")
		}
		field.SetBool(b)
	case int:
		i, ok := value.(int64)
		if !ok {
			return wrong("a whole number")
		}
		field.SetInt(i)
	case float64:
		switch f := value.(type) {
		case float64:
			field.SetFloat(f)
		case int64:
			field.SetFloat(float64(f))
		default:
			return wrong("a number")
		}
	case netip.AddrPort:
		s, ok := value.(string)
		if !ok {
			return wrong(`an address as "IP:PORT"`)
		}
		if s == "" {
			return nil // not given
		}
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return wrong(`an address as "IP:PORT"`)
		}
		field.Set(reflect.ValueOf(a))
	default:
		sub, ok := value.(map[string]any)
		if !ok {
			return wrong("a table")
		}
		return fill(sub, field, key+".", lines)
	}
	return nil
}

func (s *Serve) check(lines map[string]int) []Fault {
	c := checker{lines: lines}
	c.need("name", s.Name != "")
	c.need("hall", s.Hall != "")
	c.need("caller_address", s.Caller.IsValid())
	c.need("peer_address", s.Peer.IsValid())
	c.need("store_address", s.Store.IsValid())
	c.need("list_address", s.List.IsValid())
	c.apart(map[string]netip.AddrPort{"caller_address": s.Caller, "peer_address": s.Peer})
	return append(c.faults, s.checkTLS(lines)...)
}

// checker collects what is wrong with settings.
type checker struct {
	lines  map[string]int // of the keys that are given
	faults []Fault
}

// need reports a key that is missing, or given but empty. A value that could
// not be read was reported before.
func (c *checker) need(key string, ok bool) {
	if ok {
		return
	}
	line, given := c.lines[key]
	reason := "missing"
	if given {
		reason = "empty or not readable"
	}
	c.faults = append(c.faults, Fault{line, key, reason})
}

// positive reports a number that is not above 0.
func (c *checker) positive(key string, value float64) {
	if value > 0 {
		return
	}
	c.faults = append(c.faults, Fault{c.lines[key], key, "missing, or not above 0"})
}

// apart reports addresses that are used twice.
func (c *checker) apart(addrs map[string]netip.AddrPort) {
	seen := make(map[netip.AddrPort]string)
	for _, key := range slices.Sorted(maps.Keys(addrs)) {
		addr := addrs[key]
		if !addr.IsValid() {
			continue
		}
		if other, twice := seen[addr]; twice {
			c.faults = append(c.faults, Fault{c.lines[key], key, "clashes with " + other + " " + addr.String()})
		}
		seen[addr] = key
	}
}

func (s *Serve) checkTLS(lines map[string]int) []Fault {
	if s.Plain {
		return nil
	}
	var faults []Fault
	for _, f := range []struct{ key, file string }{
		{"tls.authority_file", s.TLS.Authority},
		{"tls.certificate_file", s.TLS.Cert},
		{"tls.key_file", s.TLS.Key},
	} {
		if f.file == "" {
			faults = append(faults, Fault{lines[f.key], f.key, "missing; without certificates plain_text = true is needed"})
			continue
		}
		if _, err := os.Stat(f.file); err != nil {
			faults = append(faults, Fault{lines[f.key], f.key, err.Error()})
		}
	}
	return faults
}

// keyLines maps each dotted key of a file to its line.
func keyLines(b []byte) map[string]int {
	lines := make(map[string]int)
	var p unstable.Parser
	p.Reset(b)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		parts, line := keyOf(&p, e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = parts
			lines[strings.Join(parts, ".")] = line
		case unstable.KeyValue:
			lines[strings.Join(append(append([]string{}, table...), parts...), ".")] = line
		}
	}
	return lines
}

func keyOf(p *unstable.Parser, e *unstable.Node) ([]string, int) {
	var parts []string
	line := 0
	for it := e.Key(); it.Next(); {
		n := it.Node()
		parts = append(parts, string(n.Data))
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
	}
	return parts, line
}
