package zone

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
)

// HistoryPrefix is the key prefix of the earlier edits of documents. Leaders neither list nor watch these keys.
const HistoryPrefix = "history/"

// ErrHistoryStale means that the platform returned a document together with a history older than that document.
var ErrHistoryStale = errors.New("the platform shows an older history than the document's")

// PlatformDocument is a document with its history, as stored in the platform. It is zero if there is no document.
//
// An edit is written to the history before another edit replaces it, so reading the document first and its history
// second misses no edit. A single compare-and-swap on the document decides which edit replaces it.
type PlatformDocument struct {
	Stored   StoredDocument
	Entry    platform.Entry
	replaces string
	history  platform.Entry
}

// documentValue is the encoded value of a document in the platform.
type documentValue struct {
	StoredDocument

	// Replaces is the operation ID of the edit that this one replaced.
	Replaces string `json:"replaces,omitempty"`
}

// ReadPlatformDocument reads the service's document and then its history.
func ReadPlatformDocument(ctx context.Context, client *platform.Client, service string) (PlatformDocument, error) {
	entry, err := getOrNone(ctx, client, DocumentPrefix+service)
	if err != nil {
		return PlatformDocument{}, trace.Wrap(err)
	}
	s, err := parsePlatformDocument(entry)
	if err != nil {
		return s, trace.Wrap(err)
	}
	return s, s.readHistory(ctx, client, service)
}

// getOrNone returns the entry under the key, or the zero Entry if it does not exist.
func getOrNone(ctx context.Context, client *platform.Client, key string) (platform.Entry, error) {
	entry, err := client.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, nil
	}
	return entry, trace.Wrap(err)
}

// parsePlatformDocument decodes the document in the entry, without the history under its own key.
func parsePlatformDocument(entry platform.Entry) (PlatformDocument, error) {
	s := PlatformDocument{Entry: entry}
	if entry.Revision == 0 {
		return s, nil
	}
	var v documentValue
	err := json.Unmarshal(entry.Value, &v)
	s.Stored, s.replaces = v.StoredDocument, v.Replaces
	return s, trace.Wrap(err)
}

// readHistory reads the history under its own key and adds its edits to those in the document's value, where earlier
// versions of the program stored them.
func (s *PlatformDocument) readHistory(ctx context.Context, client *platform.Client, service string) error {
	var err error
	if s.history, err = getOrNone(ctx, client, HistoryPrefix+service); err != nil {
		return trace.Wrap(err)
	}
	s.history.Key = HistoryPrefix + service
	s.Entry.Key = DocumentPrefix + service
	edits, err := parseHistory(s.history)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, edit := range edits {
		if !containsEdit(s.Stored.History, edit) {
			s.Stored.History = append(s.Stored.History, edit)
		}
	}
	if s.isHistoryStale(time.Now()) {
		return trace.Wrap(ErrHistoryStale)
	}
	return nil
}

// maxReadLag is the maximum lag of the platform's reads. A history that still lacks an edit after that time has lost
// it, which must not block further edits.
const maxReadLag = time.Minute

// isHistoryStale reports whether the history lacks the replaced edit and may still lag.
func (s *PlatformDocument) isHistoryStale(now time.Time) bool {
	_, found := s.Stored.Find(s.replaces)
	return s.replaces != "" && !found && now.Sub(s.Stored.Time) < maxReadLag
}

func parseHistory(entry platform.Entry) ([]StoredDocument, error) {
	if entry.Revision == 0 {
		return nil, nil
	}
	var edits []StoredDocument
	return edits, trace.Wrap(json.Unmarshal(entry.Value, &edits))
}

// Replace adds the current document to the history and then replaces it with the next one.
func (s PlatformDocument) Replace(ctx context.Context, client *platform.Client, next StoredDocument) (platform.Entry, error) {
	if err := s.writeHistory(ctx, client, next.WithPrevious(s.Stored).History); err != nil {
		return platform.Entry{}, trace.Wrap(err)
	}
	next.History = nil
	value, err := json.Marshal(documentValue{StoredDocument: next, Replaces: s.Stored.Operation})
	if err != nil {
		return platform.Entry{}, trace.Wrap(err)
	}
	written, err := client.CompareAndSwap(ctx, platform.Swap{Key: s.Entry.Key, Value: value, Expected: s.Entry.Revision})
	return written, trace.Wrap(err)
}

// writeHistory writes the history unless it already contains the current document. A concurrent edit of the document
// may also have written it.
func (s PlatformDocument) writeHistory(ctx context.Context, client *platform.Client, edits []StoredDocument) error {
	if len(edits) == 0 || s.isInHistory(s.history) {
		return nil
	}
	value, err := json.Marshal(edits)
	if err != nil {
		return trace.Wrap(err)
	}
	_, writeErr := client.CompareAndSwap(ctx, platform.Swap{Key: s.history.Key, Value: value, Expected: s.history.Revision})
	if writeErr == nil {
		return nil
	}
	current, err := getOrNone(ctx, client, s.history.Key)
	if err == nil && s.isInHistory(current) {
		return nil
	}
	return trace.Wrap(writeErr)
}

// isInHistory reports whether the history contains the current document.
func (s PlatformDocument) isInHistory(history platform.Entry) bool {
	edits, err := parseHistory(history)
	return err == nil && containsEdit(edits, s.Stored)
}

func containsEdit(edits []StoredDocument, target StoredDocument) bool {
	return slices.ContainsFunc(edits, func(edit StoredDocument) bool { return edit.Version() == target.Version() })
}
