// Package settings reads the TOML file with the settings of one process: its
// addresses, its hall and region, the platform's addresses, its certificates
// and the limits that the deployment requires. Policy is not part of the
// settings; the operators set it in the store.
//
// LoadEntry and LoadFront report all faults of a file at once, each with its
// line and key.
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

// Entry holds the settings of an entry instance.
type Entry struct {
	Name      string         `toml:"name" help:"Name of the instance, unique among the entry instances."`
	Hall      string         `toml:"hall" help:"Hall that the instance runs in."`
	Region    string         `toml:"region" help:"Region of the hall."`
	Caller    netip.AddrPort `toml:"caller_address" help:"Address at which callers and operators connect to the instance."`
	Peer      netip.AddrPort `toml:"peer_address" help:"Address at which the other entry instances connect to it."`
	Store     netip.AddrPort `toml:"store_address" help:"Address of the platform's key-value service."`
	List      netip.AddrPort `toml:"list_address" help:"Address of the platform's instance list and cloud API."`
	PlainText bool           `toml:"plain_text" help:"Must be true to run without TLS; traffic is then not encrypted."`
	TLS       TLS            `toml:"tls" help:"Certificates; required unless plain_text is true."`
}

// TLS holds the names of the certificate files, which are reloaded when they change.
type TLS struct {
	Authority string `toml:"authority_file" help:"Certificate of the authority that signs entry instances' certificates."`
	Cert      string `toml:"certificate_file" help:"Certificate of this instance."`
	Key       string `toml:"key_file" help:"Private key of this instance."`
}

// Fault is one error in a settings file.
type Fault struct {
	Line   int    `json:"line"` // from 1; 0 if the fault has no line
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Reason)
}

// FaultsError reports all faults of a settings file.
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

// LoadEntry reads and checks the settings of an entry instance. A *FaultsError lists all faults.
func LoadEntry(file string) (Entry, error) {
	var s Entry
	err := loadFile(file, &s, func(lines map[string]int) []Fault { return s.check(lines) })
	return s, err
}

// loadFile decodes a file into the struct that s points to, and checks it. check gets the line of
// each key in the file.
func loadFile(file string, s any, check func(lines map[string]int) []Fault) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return &FaultsError{File: file, Faults: []Fault{{0, "file", err.Error()}}}
	}
	faults := append(decode(b, s), check(keyLines(b))...)
	faults = lo.UniqBy(faults, func(f Fault) string { return f.Key }) // the first fault of a key is the most specific
	if len(faults) > 0 {
		return &FaultsError{File: file, Faults: faults}
	}
	return nil
}

// IsFront reports whether a file holds the settings of a front instance. It
// looks for front_address, which only these settings have.
func IsFront(file string) bool {
	b, err := os.ReadFile(file)
	if err != nil {
		return false
	}
	_, ok := keyLines(b)["front_address"]
	return ok
}

// decode sets the fields of the struct that s points to. Each value is decoded on its own, so
// that one invalid value does not hide the next.
func decode(b []byte, s any) []Fault {
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
	return decodeTable(tree, reflect.ValueOf(s).Elem(), "", lines)
}

// decodeTable sets the fields of v from a table. prefix is the dotted key of the table.
func decodeTable(tree map[string]any, v reflect.Value, prefix string, lines map[string]int) []Fault {
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

// setField sets a field from a decoded value, and returns a fault if the type does not match.
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
			return nil // empty means not set
		}
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return wrong(`an address as "IP:PORT"`)
		}
		field.Set(reflect.ValueOf(a))
	case netip.Addr:
		s, ok := value.(string)
		if !ok {
			return wrong("an IP address")
		}
		if s == "" {
			return nil // empty means not set
		}
		a, err := netip.ParseAddr(s)
		if err != nil {
			return wrong("an IP address")
		}
		field.Set(reflect.ValueOf(a))
	default:
		sub, ok := value.(map[string]any)
		if !ok {
			return wrong("a table")
		}
		return decodeTable(sub, field, key+".", lines)
	}
	return nil
}

func (s *Entry) check(lines map[string]int) []Fault {
	c := checker{lines: lines}
	c.require("name", s.Name != "")
	c.require("hall", s.Hall != "")
	c.require("caller_address", s.Caller.IsValid())
	c.require("peer_address", s.Peer.IsValid())
	c.require("store_address", s.Store.IsValid())
	c.require("list_address", s.List.IsValid())
	c.requireDistinct(map[string]netip.AddrPort{"caller_address": s.Caller, "peer_address": s.Peer})
	return append(c.faults, s.checkTLS(lines)...)
}

// checker collects the faults of settings.
type checker struct {
	lines  map[string]int // line of each key in the file
	faults []Fault
}

// require reports a key that is missing, empty or not readable, unless ok. For a
// value that could not be decoded, the earlier fault takes precedence.
func (c *checker) require(key string, ok bool) {
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

// requirePositive reports a number that is missing or not above 0.
func (c *checker) requirePositive(key string, value float64) {
	if value > 0 {
		return
	}
	c.faults = append(c.faults, Fault{c.lines[key], key, "missing, or not above 0"})
}

// requireDistinct reports addresses that are used more than once. Unset addresses are ignored.
func (c *checker) requireDistinct(addrs map[string]netip.AddrPort) {
	seen := make(map[netip.AddrPort]string)
	for _, key := range slices.Sorted(maps.Keys(addrs)) {
		addr := addrs[key]
		if !addr.IsValid() {
			continue
		}
		if other, twice := seen[addr]; twice {
			c.faults = append(c.faults, Fault{c.lines[key], key, "same address as " + other + " " + addr.String()})
		}
		seen[addr] = key
	}
}

func (s *Entry) checkTLS(lines map[string]int) []Fault {
	if s.PlainText {
		return nil
	}
	var faults []Fault
	for _, f := range []struct{ key, file string }{
		{"tls.authority_file", s.TLS.Authority},
		{"tls.certificate_file", s.TLS.Cert},
		{"tls.key_file", s.TLS.Key},
	} {
		if f.file == "" {
			faults = append(faults, Fault{lines[f.key], f.key, "missing; required unless plain_text = true"})
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
		parts, line := keyParts(&p, e)
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

// keyParts returns the parts of the dotted key of an expression, and its line.
func keyParts(p *unstable.Parser, e *unstable.Node) ([]string, int) {
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
