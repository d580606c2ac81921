package table

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testKeySHA256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

func testDocument() *Document {
	return &Document{Revision: 1, Rows: []Row{
		{Name: DefaultRow, Cells: []Cell{{ColKind, string(KindClass)}}},
		{Name: "ops", Cells: []Cell{{ColKind, string(KindAccount)}, {ColKey, testKeySHA256}, {ColOperator, "true"}}},
		{Name: "unlock", Cells: []Cell{{ColKind, string(KindClass)}, {ColMatch, "service/cabinet/unlock"}, {ColRepeatable, "false"}}},
	}}
}

func drawEdit(t *rapid.T) Edit {
	rows := []string{DefaultRow, "ops", "unlock", "new", "other"}
	var columns []string
	for _, c := range Columns {
		columns = append(columns, c.Name)
	}
	return Edit{
		ID:  rapid.StringMatching(`[a-z]{8}`).Draw(t, "id"),
		Op:  rapid.SampledFrom([]Op{OpSet, OpSet, OpSet, OpAdd, OpRemove, "nonsense"}).Draw(t, "op"),
		Row: rapid.SampledFrom(rows).Draw(t, "row"), Column: rapid.SampledFrom(columns).Draw(t, "column"),
		Value: rapid.SampledFrom([]string{"", "1", "0", "0.5", "-3", "1e9", "true", "false", "model/x", "text", testKeySHA256}).Draw(t, "value"),
		Kind:  rapid.SampledFrom([]string{"account", "class", "", "row"}).Draw(t, "kind"),
		Force: rapid.Bool().Draw(t, "force"),
	}
}

// Edits are atomic and do not change the document that they are applied to.
// After any sequence of edits the table can be read, and without Force the key
// of an operator stays valid.
func TestEditsAreAtomicAndKeepTheTableUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := testDocument()
		for range rapid.IntRange(1, 12).Draw(t, "edits") {
			e := drawEdit(t)
			before, _ := json.Marshal(d)
			next, acc, err := d.Apply(e, testTime)
			after, _ := json.Marshal(d)
			if string(before) != string(after) {
				t.Fatalf("edit %+v changed the document it was applied to", e)
			}
			var conflict *ConflictError
			var rejected *RejectedError
			if err != nil {
				if !errors.As(err, &conflict) && !errors.As(err, &rejected) {
					t.Fatalf("untyped error %v", err)
				}
				continue
			}
			if next.Revision != d.Revision+1 || acc.Revision != next.Revision {
				t.Fatalf("revision %d after %d", next.Revision, d.Revision)
			}
			if _, ok := next.AcceptedEdit(e.ID); !ok {
				t.Fatalf("accepted edit %s is not in the audit trail", e.ID)
			}
			v := NewView(next)
			if _, ok := v.Account(testKeySHA256); !ok && !e.Force {
				t.Fatalf("edit %+v locked the operator out without force", e)
			}
			if e.Force {
				continue
			}
			d = next
		}
	})
}

func TestDiffProducesTheWantedRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, want := testDocument(), testDocument()
		for range rapid.IntRange(0, 8).Draw(t, "edits") {
			if next, _, err := want.Apply(drawEdit(t), testTime); err == nil {
				want = next
			}
		}
		for _, e := range Diff(d, want.Rows) {
			e.Force = true
			next, _, err := d.Apply(e, testTime)
			if err != nil {
				t.Fatalf("edit %+v: %v", e, err)
			}
			d = next
		}
		if left := Diff(d, want.Rows); len(left) > 0 {
			t.Fatalf("edits left after the diff was applied: %+v", left)
		}
	})
}

func TestConflictReportsBothValues(t *testing.T) {
	is := is.New(t)
	d, _, err := testDocument().Apply(Edit{ID: "first", By: "ann", Op: OpSet, Row: "unlock", Column: ColPriority, Value: "9"}, testTime)
	is.NoErr(err)
	_, _, err = d.Apply(Edit{ID: "second", By: "bob", Op: OpSet, Row: "unlock", Column: ColPriority, Value: "7", Expected: "5", HasExpected: true}, testTime)
	var c *ConflictError
	is.True(errors.As(err, &c))
	is.Equal(*c, ConflictError{Row: "unlock", Column: ColPriority, Expected: "5", Current: "9", By: "ann"})
	_, _, err = d.Apply(Edit{ID: "third", By: "bob", Op: OpSet, Row: "unlock", Column: ColLatencyTarget, Value: "70"}, testTime)
	is.NoErr(err) // a change of another cell is no conflict
}

func TestClassIsTheLongestMatchAtAPathBoundary(t *testing.T) {
	is := is.New(t)
	d := testDocument()
	d.Rows = append(d.Rows,
		Row{Name: "cabinet", Cells: []Cell{{ColKind, string(KindClass)}, {ColMatch, "service/cabinet"}}})
	v := NewView(d)
	c, _ := v.Class("service/cabinet/unlock")
	is.Equal(c.Name, "unlock")
	is.True(!c.Repeatable)
	c, _ = v.Class("service/cabinet/unlocked")
	is.Equal(c.Name, "cabinet")
	_, ok := v.Class("service/cabinets")
	is.True(!ok)
}

func FuzzDecode(f *testing.F) {
	b, _ := testDocument().Encode()
	f.Add(b)
	f.Add([]byte(`{"rows":[{"name":"default"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			return
		}
		NewView(d)
		if again, err := d.Encode(); err == nil {
			if e, err := Decode(again); err != nil || !reflect.DeepEqual(NewView(d).System, NewView(e).System) {
				t.Fatalf("document differs after encoding and decoding: %v", err)
			}
		}
	})
}
