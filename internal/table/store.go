package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/kv"
)

// KV is the part of the platform's key-value service that an Editor uses. See
// kv.Client for its methods.
type KV interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	Put(ctx context.Context, key string, value []byte, expect uint64, expiry time.Time) (uint64, error)
}

// Editor reads and edits the table in the store. It is safe for concurrent use,
// also by several processes.
type Editor struct {
	kv  KV
	key string
}

// NewEditor returns an editor of the table stored under a key.
func NewEditor(store KV, key string) *Editor { return &Editor{store, key} }

// ErrUnresolved is returned when an edit may have taken effect: the response to
// a write was lost, and the time of the call ended before a read showed whether
// the store had applied it.
var ErrUnresolved = errors.New("the edit may have taken effect; ask again with the same edit id")

const (
	maxRecentEdits   = 200 // edits kept in the document
	editsPerAuditKey = 100 // edits moved to one audit key
	maxAuditKeys     = 400 // audit keys listed in the document; older ones are dropped from the list
	retryInterval    = 30 * time.Millisecond
)

// Stored is a document with the revision of its key in the store.
type Stored struct {
	Doc      *Document
	Revision uint64 // of the key; Doc.Revision counts the edits
}

// Read returns the stored document, an empty one if there is none.
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

// Apply applies an edit to the stored document and returns the accepted edit
// with the document that contains it. It retries until ctx ends when another
// edit was written first or when the response to a write was lost: the edit id
// shows whether the edit is in the document already, so it takes effect once.
// A document with a revision below minRevision is treated as an outage of the
// store, which may have been restored from an older copy.
func (e *Editor) Apply(ctx context.Context, edit Edit, minRevision uint64) (Accepted, Stored, error) {
	unresolved := false     // whether a write whose response was lost may still take effect
	var lostRevision uint64 // revision that this write expected
	fail := func(err error) (Accepted, Stored, error) {
		if unresolved {
			err = fmt.Errorf("%w (%w)", ErrUnresolved, err)
		}
		return Accepted{}, Stored{}, err
	}
	for {
		cur, err := e.Read(ctx)
		switch {
		case err == nil && cur.Doc.Revision < minRevision:
			err = fmt.Errorf("%w: it returned table revision %d, but revision %d is in use", kv.ErrUnavailable, cur.Doc.Revision, minRevision)
			fallthrough
		case err != nil:
			if !unresolved || waitForRetry(ctx) != nil {
				return fail(err)
			}
			continue
		}
		if acc, ok := cur.Doc.AcceptedEdit(edit.ID); ok {
			return acc, cur, nil
		}
		if cur.Revision > lostRevision {
			unresolved = false // the key is past the revision that the lost write expected
		}
		next, acc, err := cur.Doc.Apply(edit, time.Now())
		if err != nil {
			// No lost write of this edit is pending: it expected a revision on
			// which the edit was allowed, and the key is past that revision.
			return Accepted{}, Stored{}, err
		}
		rev, err := e.write(ctx, next, cur.Revision)
		switch {
		case err == nil:
			return acc, Stored{next, rev}, nil
		case errors.Is(err, kv.ErrUnknownOutcome):
			unresolved, lostRevision = true, cur.Revision
		case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrRateLimited):
		default:
			if !unresolved {
				return fail(err)
			}
		}
		if waitForRetry(ctx) != nil {
			return fail(err)
		}
	}
}

func waitForRetry(ctx context.Context) error {
	select {
	case <-time.After(retryInterval):
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

// archive moves the oldest edits of a document with more than maxRecentEdits to
// a new audit key. The key is named after the first revision in it, so that
// processes that archive at the same time write the same value to the same
// key, and a conflict can be ignored.
func (e *Editor) archive(ctx context.Context, d *Document) error {
	if len(d.Recent) <= maxRecentEdits {
		return nil
	}
	old := d.Recent[:editsPerAuditKey]
	b, err := json.Marshal(old)
	if err != nil {
		return fmt.Errorf("encode audit: %w", err)
	}
	_, err = e.kv.Put(ctx, auditKey(old[0].Revision), b, 0, time.Time{})
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return err
	}
	d.Archived = append(d.Archived[:len(d.Archived):len(d.Archived)], old[0].Revision)
	if over := len(d.Archived) - maxAuditKeys; over > 0 {
		d.Archived = d.Archived[over:]
	}
	d.Recent = d.Recent[editsPerAuditKey:]
	return nil
}

func auditKey(first uint64) string { return fmt.Sprintf("audit-%d", first) }

// History returns up to limit accepted edits, the newest first.
func (e *Editor) History(ctx context.Context, limit int) ([]Accepted, error) {
	cur, err := e.Read(ctx)
	if err != nil {
		return nil, err
	}
	out := appendNewestFirst(nil, cur.Doc.Recent, limit)
	for i := len(cur.Doc.Archived) - 1; i >= 0 && len(out) < limit; i-- {
		entry, err := e.kv.Get(ctx, auditKey(cur.Doc.Archived[i]))
		if err != nil {
			return out, err
		}
		var old []Accepted
		if err := json.Unmarshal(entry.Value, &old); err != nil {
			return out, fmt.Errorf("decode audit: %w", err)
		}
		out = appendNewestFirst(out, old, limit)
	}
	return out, nil
}

// appendNewestFirst appends edits to out in reverse order, until out has limit
// elements.
func appendNewestFirst(out, edits []Accepted, limit int) []Accepted {
	for i := len(edits) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, edits[i])
	}
	return out
}
