// Package table is the operators' table: rows for client accounts and request
// classes, typed columns, and edits that are checked and merged.
//
// The package is pure: no I/O and no clock. A Document is the stored form; a
// View is the immutable form that decisions read. Documents are values that
// one goroutine owns; Views may be shared.
package table

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Cell is one value in a row.
type Cell struct {
	Column string `json:"column" toml:"column"`
	Value  string `json:"value" toml:"value"`
}

// Row is one line of the table.
type Row struct {
	Name  string `json:"name" toml:"name"`
	Cells []Cell `json:"cells" toml:"cells"`
}

// Get returns the value in a column, or an empty string.
func (r Row) Get(column string) string {
	for _, c := range r.Cells {
		if c.Column == column {
			return c.Value
		}
	}
	return ""
}

func (r *Row) set(column, value string) {
	r.Cells = slices.Clone(r.Cells)
	for i := range r.Cells {
		if r.Cells[i].Column == column {
			r.Cells[i].Value = value
			return
		}
	}
	r.Cells = append(r.Cells, Cell{column, value})
}

// Op is the kind of an edit.
type Op string

// The kinds of edit.
const (
	OpSet    Op = "set"
	OpAdd    Op = "add"
	OpRemove Op = "remove"
)

// Edit is one change asked for by an operator.
type Edit struct {
	ID     string `json:"id"` // chosen by the client; recognises an edit whose answer was lost
	By     string `json:"by"` // account that asked for it
	Op     Op     `json:"op"`
	Row    string `json:"row"`
	Column string `json:"column,omitempty"`
	Value  string `json:"value,omitempty"`
	Was    string `json:"was,omitempty"`     // value that the operator saw
	HasWas bool   `json:"has_was,omitempty"` // whether Was is to be compared
	Kind   string `json:"kind,omitempty"`    // kind of a row that is added
	Force  bool   `json:"force,omitempty"`   // allows an edit that locks everyone out
}

// Accepted is an edit that took effect, as kept in the audit trail.
type Accepted struct {
	Edit     Edit      `json:"edit"`
	Old      string    `json:"old"`
	Revision uint64    `json:"revision"` // revision of the table that the edit made
	At       time.Time `json:"at"`       // wall clock of the entry instance that wrote it
}

// Document is the stored table. Revision grows by one with each edit; it is
// the document's own count, so that a store which answers with an older value
// or was restored from a copy is noticed.
type Document struct {
	Revision uint64     `json:"revision"`
	Rows     []Row      `json:"rows"`
	Recent   []Accepted `json:"recent"`             // newest last; the older ones are in the audit keys
	Archived []uint64   `json:"archived,omitempty"` // first revision of each audit key, oldest first
}

// ConflictError says that the cell changed since the operator saw it.
type ConflictError struct {
	Row, Column, Saw, Now, By string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s column %s: you saw %q, it is now %q (changed by %s)", e.Row, e.Column, e.Saw, e.Now, e.By)
}

// RejectedError says why an edit is not allowed.
type RejectedError struct {
	Row, Column, Reason string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("row %s column %s: %s", e.Row, e.Column, e.Reason)
}

// Decode parses a stored document.
func Decode(b []byte) (*Document, error) {
	var d Document
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, fmt.Errorf("decode table: %w", err)
	}
	return &d, nil
}

// Encode returns the stored form.
func (d *Document) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode table: %w", err)
	}
	return b, nil
}

// Find returns the row with this name.
func (d *Document) Find(name string) (Row, bool) {
	i := d.index(name)
	if i < 0 {
		return Row{}, false
	}
	return d.Rows[i], true
}

func (d *Document) index(name string) int {
	return slices.IndexFunc(d.Rows, func(r Row) bool { return r.Name == name })
}

// Applied returns the accepted edit with this id, if it is still recent.
func (d *Document) Applied(id string) (Accepted, bool) {
	i := slices.IndexFunc(d.Recent, func(a Accepted) bool { return a.Edit.ID == id })
	if i < 0 {
		return Accepted{}, false
	}
	return d.Recent[i], true
}

// Apply returns the document that results from the edit, leaving d as it is.
// It fails with a *ConflictError or a *RejectedError.
func (d *Document) Apply(e Edit, now time.Time) (*Document, Accepted, error) {
	next := &Document{Revision: d.Revision + 1, Rows: slices.Clone(d.Rows), Recent: slices.Clone(d.Recent), Archived: d.Archived}
	old, err := next.change(e)
	if err != nil {
		return nil, Accepted{}, err
	}
	if !e.Force {
		if err := next.safe(e); err != nil {
			return nil, Accepted{}, err
		}
	}
	acc := Accepted{Edit: e, Old: old, Revision: next.Revision, At: now}
	next.Recent = append(next.Recent, acc)
	return next, acc, nil
}

func (d *Document) change(e Edit) (old string, err error) {
	i := d.index(e.Row)
	switch e.Op {
	case OpAdd:
		if i >= 0 {
			return "", &ConflictError{Row: e.Row, Column: ColKind, Now: d.Rows[i].Get(ColKind), By: d.lastBy(e.Row, ColKind)}
		}
		if e.Row == "" {
			return "", &RejectedError{Row: e.Row, Reason: "a row needs a name"}
		}
		col, _ := FindColumn(ColKind)
		if err := col.Check(e.Kind); err != nil || e.Kind == "" {
			return "", &RejectedError{Row: e.Row, Column: ColKind, Reason: "kind must be account or class"}
		}
		d.Rows = append(d.Rows, Row{Name: e.Row, Cells: []Cell{{ColKind, e.Kind}}})
		return "", nil
	case OpRemove:
		if i < 0 {
			return "", &RejectedError{Row: e.Row, Reason: "no such row"}
		}
		if e.Row == DefaultRow {
			return "", &RejectedError{Row: e.Row, Reason: "the default row cannot be removed"}
		}
		d.Rows = slices.Delete(d.Rows, i, i+1)
		return e.Row, nil
	case OpSet:
		return d.setCell(e, i)
	default:
		return "", &RejectedError{Row: e.Row, Reason: fmt.Sprintf("unknown operation %q", e.Op)}
	}
}

func (d *Document) setCell(e Edit, i int) (string, error) {
	if i < 0 {
		return "", &RejectedError{Row: e.Row, Column: e.Column, Reason: "no such row"}
	}
	col, ok := FindColumn(e.Column)
	if !ok {
		return "", &RejectedError{Row: e.Row, Column: e.Column, Reason: "no such column"}
	}
	if e.Column == ColKind {
		return "", &RejectedError{Row: e.Row, Column: e.Column, Reason: "the kind of a row does not change; remove it and add another"}
	}
	if err := col.Check(e.Value); err != nil {
		return "", &RejectedError{Row: e.Row, Column: e.Column, Reason: err.Error()}
	}
	old := d.Rows[i].Get(e.Column)
	if e.HasWas && e.Was != old {
		return "", &ConflictError{Row: e.Row, Column: e.Column, Saw: e.Was, Now: old, By: d.lastBy(e.Row, e.Column)}
	}
	d.Rows[i].set(e.Column, e.Value)
	return old, nil
}

func (d *Document) lastBy(row, column string) string {
	for _, a := range slices.Backward(d.Recent) {
		if a.Edit.Row == row && (a.Edit.Column == column || a.Edit.Op != OpSet) {
			return a.Edit.By
		}
	}
	return "an earlier edit"
}

// safe refuses an edit after which no operator could edit the table again, or
// no account had a weight.
func (d *Document) safe(e Edit) error {
	operators, weight := 0, 0.0
	for _, r := range d.Rows {
		if r.Get(ColKind) != string(KindAccount) {
			continue
		}
		if parseBool(r.Get(ColOperator)) && r.Get(ColKey) != "" {
			operators++
		}
		w := r.Get(ColWeight)
		if w == "" {
			w = "1"
		}
		weight += parseFloat(w)
	}
	if operators == 0 {
		return &RejectedError{Row: e.Row, Column: e.Column, Reason: "no operator could edit the table any more; -force allows it"}
	}
	if weight == 0 {
		return &RejectedError{Row: e.Row, Column: e.Column, Reason: "all weights would be zero; -force allows it"}
	}
	return nil
}

// Diff returns the edits that lead from the rows of d to the wanted ones:
// additions first, then cells, then removals.
func Diff(d *Document, want []Row) []Edit {
	var edits []Edit
	for _, w := range want {
		have, ok := d.Find(w.Name)
		if !ok {
			edits = append(edits, Edit{Op: OpAdd, Row: w.Name, Kind: w.Get(ColKind)})
		}
		for _, c := range Columns {
			if c.Name != ColKind && have.Get(c.Name) != w.Get(c.Name) {
				edits = append(edits, Edit{Op: OpSet, Row: w.Name, Column: c.Name, Value: w.Get(c.Name)})
			}
		}
	}
	for _, r := range d.Rows {
		if !slices.ContainsFunc(want, func(w Row) bool { return w.Name == r.Name }) {
			edits = append(edits, Edit{Op: OpRemove, Row: r.Name})
		}
	}
	return edits
}
