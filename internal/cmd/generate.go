package cmd

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

const generatedNote = "\nThis page is generated from the code by `go run . docs`; a test fails when it is stale.\n"

// generatedDocs returns the text of the documentation pages that are generated
// from the code, by file name.
func generatedDocs() map[string]string {
	return map[string]string{
		"events.md":   eventsPage(),
		"table.md":    tablePage(),
		"settings.md": settingsPage(),
		"commands.md": commandsPage(),
	}
}

func eventsPage() string {
	var b strings.Builder
	b.WriteString("# Events\n" + generatedNote + "\n| number | level | message | what happened, and what to do |\n| --- | --- | --- | --- |\n")
	for _, e := range event.Catalogue {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Code, e.Level, e.Message, e.Meaning)
	}
	return b.String()
}

func tablePage() string {
	var b strings.Builder
	b.WriteString("# Columns of the table\n" + generatedNote)
	b.WriteString("\nAn empty cell takes the value of the row `default`, and if that is empty too, the default below. Columns for `default` concern the whole system and are read in that row only.\n")
	b.WriteString("\n| column | type | unit | range | default | rows | meaning |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range table.Columns {
		limits := ""
		if c.Max > 0 {
			limits = fmt.Sprintf("%v to %v", c.Min, c.Max)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s |\n", c.Name, c.Type, c.Unit, limits, c.Default, c.AppliesTo, c.Help)
	}
	return b.String()
}

func settingsPage() string {
	var b strings.Builder
	b.WriteString("# Settings of an entry instance\n" + generatedNote)
	b.WriteString("\nSettings place a process; policy is in the table. `shelfcrank check FILE` names every fault.\n\n| key | type | meaning |\n| --- | --- | --- |\n")
	writeSettingsRows(&b, reflect.TypeFor[settings.Entry](), "")
	b.WriteString("\n# Settings of a front instance on the users' platform\n\n| key | type | meaning |\n| --- | --- | --- |\n")
	writeSettingsRows(&b, reflect.TypeFor[settings.Front](), "")
	return b.String()
}

// writeSettingsRows writes a row of a Markdown table for each field of the
// settings struct t, and for the fields of nested structs. prefix precedes each
// key.
func writeSettingsRows(w io.Writer, t reflect.Type, prefix string) {
	for f := range t.Fields() {
		key := prefix + f.Tag.Get("toml")
		kind := f.Type.String()
		switch kind {
		case "netip.AddrPort":
			kind = "\"IP:PORT\""
		case "netip.Addr":
			kind = "\"IP\""
		}
		if f.Type.Kind() == reflect.Struct && kind == f.Type.String() {
			kind = "table"
		}
		fmt.Fprintf(w, "| `%s` | %s | %s |\n", key, kind, f.Tag.Get("help"))
		if kind == "table" {
			writeSettingsRows(w, f.Type, key+".")
		}
	}
}

func commandsPage() string {
	var b strings.Builder
	b.WriteString("# Commands\n" + generatedNote + "\nExit codes: 0 done, 1 failed, 2 wrong usage or input.\n\n| command | does |\n| --- | --- |\n")
	writeCommandRows(&b, newRoot(&env{io.Discard, io.Discard}))
	return b.String()
}

// writeCommandRows writes a row of a Markdown table for each direct and indirect
// subcommand of c.
func writeCommandRows(w io.Writer, c *ffcli.Command) {
	for _, s := range c.Subcommands {
		fmt.Fprintf(w, "| `%s` | %s |\n", strings.ReplaceAll(s.ShortUsage, "|", "\\|"), s.ShortHelp)
		writeCommandRows(w, s)
	}
}
