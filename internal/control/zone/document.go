package zone

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

const (
	// maxHistoryEdits is the number of earlier edits that a stored document keeps.
	maxHistoryEdits = 64
	// maxHistoryBytes limits the total size of the sources of earlier edits. It is far below the platform's limit for
	// one value.
	maxHistoryBytes = 256 << 10
	// MaxSourceBytes limits the source of one document.
	MaxSourceBytes = 64 << 10
	// editHashBits is the number of low bits of a version's sequence that come from the operation ID. The higher bits
	// are the time of the edit.
	editHashBits = 12
)

// StoredDocument is the value of a document in the platform.
type StoredDocument struct {
	// Revision grows by one with each accepted edit.
	Revision uint64 `json:"revision"`
	Source   string `json:"source"`
	// Operation identifies the edit, so that an editor whose response was lost can find out whether the edit was
	// accepted.
	Operation string `json:"operation"`
	// Editor is the author of the edit: a team, or "team/editor" if the token named a person.
	Editor string    `json:"editor"`
	Time   time.Time `json:"time"`
	// History holds the earlier edits, newest first. It is stored only in the platform, under a key of its own, and is
	// not sent to the nodes.
	History []StoredDocument `json:"history,omitempty"`
}

// ParseStored decodes the value of a document in the platform.
func ParseStored(value []byte) (StoredDocument, error) {
	var d StoredDocument
	return d, trace.Wrap(json.Unmarshal(value, &d))
}

// Version orders the edits of one document. Two edits have the same revision only if the platform lost the first and
// accepted the second in its place; the later edit then has the higher version.
func (d StoredDocument) Version() membership.Version {
	hash := xxhash.Sum64String(d.Operation) & (1<<editHashBits - 1)
	return membership.Version{Epoch: d.Revision, Sequence: uint64(d.Time.UnixMicro())<<editHashBits | hash}
}

// Tag returns a tag that identifies the edit: an entity tag without its quotes.
func (d StoredDocument) Tag() string {
	return fmt.Sprintf("%d-%08x", d.Revision, uint32(xxhash.Sum64String(d.Operation)))
}

// Find returns the edit with the operation ID, which is either the current edit or an earlier one.
func (d StoredDocument) Find(operation string) (StoredDocument, bool) {
	if d.Operation == operation {
		return d, true
	}
	for _, edit := range d.History {
		if edit.Operation == operation {
			return edit, true
		}
	}
	return StoredDocument{}, false
}

// Record returns the record that carries the document to the nodes, without its history.
func (d StoredDocument) Record(key string) (membership.Record, error) {
	d.History = nil
	value, err := json.Marshal(d)
	return membership.Record{Key: key, Version: d.Version(), Value: value}, trace.Wrap(err)
}

// WithPrevious returns the document with the previous one at the head of its history.
func (d StoredDocument) WithPrevious(previous StoredDocument) StoredDocument {
	d.History = nil
	if previous.Revision == 0 {
		return d
	}
	edits := previous.History
	previous.History = nil
	size := 0
	for _, edit := range append([]StoredDocument{previous}, edits...) {
		size += len(edit.Source)
		if len(d.History) == maxHistoryEdits || size > maxHistoryBytes {
			break
		}
		d.History = append(d.History, edit)
	}
	return d
}

// Reinstate writes the document that the nodes hold over an older entry in the platform, such as after the platform was
// rolled back to older content. If both have the same revision, the document gets the next one. It returns the document
// as it now is in the platform, or the held document unchanged if the entry is not older.
func Reinstate(ctx context.Context, client *platform.Client, key string, entry platform.Entry, held StoredDocument) (StoredDocument, platform.Entry, error) {
	current, err := parsePlatformDocument(entry)
	if err != nil {
		return held, entry, trace.Wrap(err)
	}
	if held.Version().Compare(current.Stored.Version()) <= 0 {
		return held, entry, nil
	}
	if held.Revision == current.Stored.Revision {
		held.Revision++
	}
	if err := current.readHistory(ctx, client, strings.TrimPrefix(key, DocumentPrefix)); err != nil {
		return held, entry, trace.Wrap(err)
	}
	written, err := current.Replace(ctx, client, held)
	return held, written, trace.Wrap(err)
}

func decodeDocument(e platform.Entry) []membership.Record {
	stored, err := ParseStored(e.Value)
	if err != nil {
		return nil
	}
	r, err := stored.Record(e.Key)
	if err != nil {
		return nil
	}
	return []membership.Record{r}
}

// hasMatchingVersion reports whether a document record has the version of the document in its value. It is true for
// every other kind of record.
func hasMatchingVersion(r membership.Record) bool {
	if !strings.HasPrefix(r.Key, DocumentPrefix) {
		return true
	}
	stored, err := ParseStored(r.Value)
	return err == nil && stored.Version() == r.Version
}

// Held returns the record that the node holds under the key.
func (c *Controller) Held(ctx context.Context, key string) (membership.Record, bool) {
	var held membership.Record
	found := false
	c.config.Board.Do(ctx, func(*board.Board) { held, found = c.records.Get(key) })
	return held, found
}

// reinstate writes each document that is held here and newer than its platform entry, or has no entry, back to the
// platform. Entries is the result of a list or a watch; full reports whether it covers all documents.
func (c *Controller) reinstate(ctx context.Context, entries []platform.Entry, full bool) error {
	stored := map[string]platform.Entry{}
	for _, e := range entries {
		stored[e.Key] = e
	}
	var failures []error
	for _, r := range c.heldDocuments(ctx) {
		entry, changed := stored[r.Key]
		if !changed && !full {
			continue
		}
		if entry.Deleted {
			entry = platform.Entry{}
		}
		failures = append(failures, c.reinstateDocument(ctx, r, entry))
	}
	return errors.Join(failures...)
}

func (c *Controller) reinstateDocument(ctx context.Context, r membership.Record, entry platform.Entry) error {
	held, err := ParseStored(r.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	next, written, err := Reinstate(ctx, c.config.Platform, r.Key, entry, held)
	if errors.Is(err, platform.ErrCompareFailed) {
		return nil // Another leader or an operator wrote first; the watch returns that write.
	}
	if err != nil || written.Revision == entry.Revision {
		return trace.Wrap(err)
	}
	c.config.Log.Emit(events.DocumentReinstated, events.Fields{"key": r.Key, "revision": next.Revision})
	record, err := next.Record(r.Key)
	if err == nil {
		c.Offer(ctx, record)
	}
	return trace.Wrap(err)
}

func (c *Controller) heldDocuments(ctx context.Context) []membership.Record {
	var held []membership.Record
	c.config.Board.Do(ctx, func(*board.Board) { held = c.records.WithPrefix(DocumentPrefix) })
	return held
}
