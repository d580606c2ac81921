// Package table implements the table that operators edit: rows for client
// accounts and request classes, typed columns, and edits that are validated
// before they are applied.
//
// A Document is the stored form, and a View the immutable, typed form that the
// other packages read. Both are free of I/O; an Editor reads and writes the
// Document in the key-value store. A Document must be used by one goroutine
// only, a View may be shared.
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

// Row holds the settings of one client account or request class, or the
// defaults.
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

// Op is the operation of an edit.
type Op string

// The operations of edits.
const (
	OpSet    Op = "set"    // set a cell
	OpAdd    Op = "add"    // add a row
	OpRemove Op = "remove" // remove a row
)

// Edit is one change of the table that an operator requested.
type Edit struct {
	ID          string `json:"id"` // chosen by the client; identifies an edit that is retried
	By          string `json:"by"` // client account of the operator
	Op          Op     `json:"op"`
	Row         string `json:"row"`
	Column      string `json:"column,omitempty"`
	Value       string `json:"value,omitempty"`
	Expected    string `json:"was,omitempty"`     // value that the operator expects the cell to have
	HasExpected bool   `json:"has_was,omitempty"` // whether Expected is compared with the current value
	Kind        string `json:"kind,omitempty"`    // RowKind of a row that is added
	Force       bool   `json:"force,omitempty"`   // skips the check that the table stays usable
}

// Accepted is an edit that took effect, as kept in the audit trail.
type Accepted struct {
	Edit     Edit      `json:"edit"`
	Old      string    `json:"old"`      // value before; for OpRemove, the name of the row
	Revision uint64    `json:"revision"` // revision of the table that the edit made
	At       time.Time `json:"at"`       // wall clock of the entry instance that wrote it
}

// Document is the stored table. Revision grows by one with each edit. It is
// kept in the document, apart from the store's own revision of the key, so that
// a store that returns an old value or was restored from a copy is detected.
type Document struct {
	Revision uint64     `json:"revision"`
	Rows     []Row      `json:"rows"`
	Recent   []Accepted `json:"recent"`             // newest last; older ones are in the audit keys
	Archived []uint64   `json:"archived,omitempty"` // first revision of each audit key, oldest first
}

// ConflictError is the error of an edit of a cell that no longer has the value
// that the operator expects, or of adding a row that exists. By is the client
// account that made the last change.
type ConflictError struct {
	Row, Column, Expected, Current, By string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s column %s: you saw %q, it is now %q (changed by %s)", e.Row, e.Column, e.Expected, e.Current, e.By)
}

// RejectedError is the error of an edit that is not allowed.
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

// Encode returns the JSON form in which the document is stored.
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

// AcceptedEdit returns the accepted edit with this id, unless it has been moved
// to an audit key.
func (d *Document) AcceptedEdit(id string) (Accepted, bool) {
	i := slices.IndexFunc(d.Recent, func(a Accepted) bool { return a.Edit.ID == id })
	if i < 0 {
		return Accepted{}, false
	}
	return d.Recent[i], true
}

// Apply returns the document that results from the edit and the edit's entry
// in the audit trail, without changing d. Errors are of type *ConflictError or
// *RejectedError.
func (d *Document) Apply(e Edit, now time.Time) (*Document, Accepted, error) {
	next := &Document{Revision: d.Revision + 1, Rows: slices.Clone(d.Rows), Recent: slices.Clone(d.Recent), Archived: d.Archived}
	old, err := next.applyToRows(e)
	if err != nil {
		return nil, Accepted{}, err
	}
	if !e.Force {
		if err := next.checkUsable(e); err != nil {
			return nil, Accepted{}, err
		}
	}
	acc := Accepted{Edit: e, Old: old, Revision: next.Revision, At: now}
	next.Recent = append(next.Recent, acc)
	return next, acc, nil
}

// applyToRows applies e to the rows of d and returns the value before.
func (d *Document) applyToRows(e Edit) (old string, err error) {
	i := d.index(e.Row)
	switch e.Op {
	case OpAdd:
		if i >= 0 {
			return "", &ConflictError{Row: e.Row, Column: ColKind, Current: d.Rows[i].Get(ColKind), By: d.lastEditor(e.Row, ColKind)}
		}
		if e.Row == "" {
			return "", &RejectedError{Row: e.Row, Reason: "the name of the row is empty"}
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
		return "", &RejectedError{Row: e.Row, Column: e.Column, Reason: "the kind of a row cannot be changed; remove the row and add it again"}
	}
	if err := col.Check(e.Value); err != nil {
		return "", &RejectedError{Row: e.Row, Column: e.Column, Reason: err.Error()}
	}
	old := d.Rows[i].Get(e.Column)
	if e.HasExpected && e.Expected != old {
		return "", &ConflictError{Row: e.Row, Column: e.Column, Expected: e.Expected, Current: old, By: d.lastEditor(e.Row, e.Column)}
	}
	d.Rows[i].set(e.Column, e.Value)
	return old, nil
}

// lastEditor returns the client account that last changed a cell, or its row.
func (d *Document) lastEditor(row, column string) string {
	for _, a := range slices.Backward(d.Recent) {
		if a.Edit.Row == row && (a.Edit.Column == column || a.Edit.Op != OpSet) {
			return a.Edit.By
		}
	}
	return "an earlier edit"
}

// checkUsable rejects an edit after which no operator could edit the table
// again, or the weights of all accounts would be zero.
func (d *Document) checkUsable(e Edit) error {
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
		return &RejectedError{Row: e.Row, Column: e.Column, Reason: "no operator could edit the table afterwards; -force allows it"}
	}
	if weight == 0 {
		return &RejectedError{Row: e.Row, Column: e.Column, Reason: "all weights would be zero; -force allows it"}
	}
	return nil
}

// Diff returns the edits that turn the rows of d into want. For each wanted row
// it adds the row if it is missing and sets the cells that differ; rows that
// are not wanted are removed last.
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
