package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/kv"
)

// KV is the part of the platform's key-value service that edits need.
type KV interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	Put(ctx context.Context, key string, value []byte, expect uint64, lapse time.Time) (uint64, error)
}

// Editor writes edits to the store. It is safe for concurrent use.
type Editor struct {
	kv  KV
	key string
}

// NewEditor returns an editor of the table under a key.
func NewEditor(store KV, key string) *Editor { return &Editor{store, key} }

// ErrUnresolved says that an edit may have taken effect: the store stopped
// answering while its answer was awaited.
var ErrUnresolved = errors.New("the edit may have taken effect; ask again with the same edit id")

const (
	recentMost  = 200 // edits kept in the document
	archiveSize = 100 // edits moved to one audit key
	archiveMost = 400 // audit keys remembered; the oldest are forgotten
	retryPause  = 30 * time.Millisecond
)

// Stored is a document with the store's revision of it.
type Stored struct {
	Doc      *Document
	Revision uint64 // the store's own
}

// Read reads the document.
func (e *Editor) Read(ctx context.Context) (Stored, error) {
	entry, err := e.kv.Get(ctx, e.key)
	if errors.Is(err, kv.ErrNotFound) {
		return Stored{Doc: &Document{}}, nil
	}
	if err != nil {
		return Stored{}, err
	}
	doc, err := Decode(entry.Value)
	if err != nil {
		return Stored{}, err
	}
	return Stored{doc, entry.Revision}, nil
}

// Apply writes an edit on top of the newest document and returns what was
// accepted with the document that holds it. An answer that was lost is
// resolved: with the same edit id, the edit takes effect once. Documents below
// the revision atLeast are not believed.
func (e *Editor) Apply(ctx context.Context, edit Edit, atLeast uint64) (Accepted, Stored, error) {
	unsure := false // whether a write whose answer was lost may still take effect
	var lostAt uint64
	fail := func(err error) (Accepted, Stored, error) {
		if unsure {
			err = fmt.Errorf("%w (%w)", ErrUnresolved, err)
		}
		return Accepted{}, Stored{}, err
	}
	for {
		cur, err := e.Read(ctx)
		switch {
		case err == nil && cur.Doc.Revision < atLeast:
			err = fmt.Errorf("%w: it answers with revision %d, %d is in force", kv.ErrDown, cur.Doc.Revision, atLeast)
			fallthrough
		case err != nil:
			if !unsure || pause(ctx) != nil {
				return fail(err)
			}
			continue
		}
		if acc, ok := cur.Doc.Applied(edit.ID); ok {
			return acc, cur, nil
		}
		if cur.Revision > lostAt {
			unsure = false // the lost write expected a revision that has passed
		}
		next, acc, err := cur.Doc.Apply(edit, time.Now())
		if err != nil {
			// A lost write expected the revision that it was applied to, where
			// it was allowed: that revision has passed.
			return Accepted{}, Stored{}, err
		}
		rev, err := e.write(ctx, next, cur.Revision)
		switch {
		case err == nil:
			return acc, Stored{next, rev}, nil
		case errors.Is(err, kv.ErrUnknown):
			unsure, lostAt = true, cur.Revision
		case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrBudget):
		default:
			if !unsure {
				return fail(err)
			}
		}
		if pause(ctx) != nil {
			return fail(err)
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(retryPause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Editor) write(ctx context.Context, next *Document, expect uint64) (uint64, error) {
	if err := e.archive(ctx, next); err != nil {
		return 0, err
	}
	b, err := next.Encode()
	if err != nil {
		return 0, err
	}
	return e.kv.Put(ctx, e.key, b, expect, time.Time{})
}

// archive moves the oldest edits of a document that has many to an audit key
// of their own. The key follows from the first revision in it, so that two
// who do it at once write the same.
func (e *Editor) archive(ctx context.Context, d *Document) error {
	if len(d.Recent) <= recentMost {
		return nil
	}
	old := d.Recent[:archiveSize]
	b, err := json.Marshal(old)
	if err != nil {
		return fmt.Errorf("encode audit: %w", err)
	}
	_, err = e.kv.Put(ctx, auditKey(old[0].Revision), b, 0, time.Time{})
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return err
	}
	d.Archived = append(d.Archived[:len(d.Archived):len(d.Archived)], old[0].Revision)
	if over := len(d.Archived) - archiveMost; over > 0 {
		d.Archived = d.Archived[over:]
	}
	d.Recent = d.Recent[archiveSize:]
	return nil
}

func auditKey(first uint64) string { return fmt.Sprintf("audit-%d", first) }

// History returns up to limit accepted edits, the newest first.
func (e *Editor) History(ctx context.Context, limit int) ([]Accepted, error) {
	cur, err := e.Read(ctx)
	if err != nil {
		return nil, err
	}
	out := newestFirst(nil, cur.Doc.Recent, limit)
	for i := len(cur.Doc.Archived) - 1; i >= 0 && len(out) < limit; i-- {
		entry, err := e.kv.Get(ctx, auditKey(cur.Doc.Archived[i]))
		if err != nil {
			return out, err
		}
		var old []Accepted
		if err := json.Unmarshal(entry.Value, &old); err != nil {
			return out, fmt.Errorf("decode audit: %w", err)
		}
		out = newestFirst(out, old, limit)
	}
	return out, nil
}

func newestFirst(out, edits []Accepted, limit int) []Accepted {
	for i := len(edits) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, edits[i])
	}
	return out
}
