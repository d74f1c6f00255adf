package operator

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// Records are the records that the node holds and spreads.
type Records interface {
	Held(ctx context.Context, key string) (membership.Record, bool)
	Offer(ctx context.Context, records ...membership.Record)
}

// Edit is one change of a document.
type Edit struct {
	Service string
	Source  []byte
	// By is whose token it was; of EveryTeam for the operators.
	By Identity
	// Expected is the tag of the document that is replaced; empty where none may stand.
	Expected string
	// Operation identifies the edit; sent again under the same id, it is carried out once.
	Operation string
	Time      time.Time
}

// EditorConfig sets an Editor up.
type EditorConfig struct {
	Platform *platform.Client
	Records  Records
	Log      *events.Log
}

// Editor reads and writes documents at the platform.
type Editor struct {
	config EditorConfig
}

// NewEditor returns an editor.
func NewEditor(config EditorConfig) *Editor {
	return &Editor{config: config}
}

// Get returns the document of the service. Where the platform does not answer it is the one that the node holds,
// without its history, and reachable is false.
func (e *Editor) Get(ctx context.Context, service string) (stored zone.StoredDocument, reachable bool, err error) {
	now, err := e.read(ctx, service)
	if err != nil {
		stored, found := e.held(ctx, service)
		if !found {
			return stored, false, err
		}
		return stored, false, nil
	}
	if now.Stored.Revision == 0 {
		return now.Stored, true, refuse(CodeNotFound, "service %q has no document", service)
	}
	return now.Stored, true, nil
}

// Put writes the document and returns it as it stands. An error is an *Error.
func (e *Editor) Put(ctx context.Context, edit Edit) (zone.StoredDocument, error) {
	next, err := check(edit)
	if err != nil {
		return next, err
	}
	now, err := e.read(ctx, edit.Service)
	if err != nil {
		return next, err
	}
	if done, found := now.Stored.Find(edit.Operation); found {
		return settled(done, edit)
	}
	if err := permit(now.Stored, edit); err != nil {
		return next, err
	}
	next.Revision = now.Stored.Revision + 1
	return e.write(ctx, now, next, edit)
}

// check validates the whole document.
func check(edit Edit) (zone.StoredDocument, error) {
	next := zone.StoredDocument{Source: string(edit.Source), Operation: edit.Operation, Editor: edit.By.String(), Time: edit.Time}
	if len(edit.Source) > zone.MaxSourceBytes {
		return next, refuse(CodeTooLarge, "the document is larger than %d bytes", zone.MaxSourceBytes)
	}
	parsed, faults := document.Check(edit.Source)
	if len(faults) > 0 {
		return next, &Error{Code: CodeInvalidDocument, Message: "the document has faults", Faults: faultsOf(faults)}
	}
	if parsed.Service != edit.Service {
		return next, refuse(CodeInvalidDocument, "the document names service %q, the address %q", parsed.Service, edit.Service)
	}
	if edit.By.Team != EveryTeam && edit.By.Team != parsed.Team {
		return next, refuse(CodeForbidden, "the document's team is %q, the token's %q", parsed.Team, edit.By.Team)
	}
	return next, nil
}

// permit judges whether the edit may replace the document that stands.
func permit(stands zone.StoredDocument, edit Edit) error {
	if stands.Revision == 0 {
		if edit.Expected != "" {
			return conflict(edit, stands)
		}
		return nil
	}
	parsed, err := document.Parse([]byte(stands.Source))
	owned := err == nil && parsed.Team == edit.By.Team
	if !owned && edit.By.Team != EveryTeam {
		return refuse(CodeForbidden, "the document belongs to another team")
	}
	if edit.Expected == "" {
		refusal := refuse(CodePreconditionRequired, "the service has a document; name its revision in If-Match")
		refusal.Current = stands.Tag()
		return refusal
	}
	if edit.Expected != stands.Tag() {
		return conflict(edit, stands)
	}
	return nil
}

func conflict(edit Edit, stands zone.StoredDocument) *Error {
	refusal := refuse(CodeRevisionConflict, "the document is not the one that the edit replaces")
	refusal.Expected = edit.Expected
	if stands.Revision > 0 {
		refusal.Current = stands.Tag()
	}
	return refusal
}

// settled answers an edit that was carried out before.
func settled(done zone.StoredDocument, edit Edit) (zone.StoredDocument, error) {
	if done.Source != string(edit.Source) {
		return done, refuse(CodeOperationReused, "the operation id belongs to another edit")
	}
	return done, nil
}

func (e *Editor) write(ctx context.Context, now zone.Standing, next zone.StoredDocument, edit Edit) (zone.StoredDocument, error) {
	_, err := now.Replace(ctx, e.config.Platform, next)
	if err != nil {
		next, err = e.settle(ctx, now, edit)
	}
	if err != nil {
		e.config.Log.Emit(events.DocumentRefused, events.Fields{
			"service": edit.Service, "operation": edit.Operation, "editor": edit.By.String(), "error": err.Error(),
		})
		return next, err
	}
	e.accept(ctx, zone.DocumentPrefix+edit.Service, next)
	return next, nil
}

// settle finds out by reading back whether a write took effect that was refused or whose answer was lost.
func (e *Editor) settle(ctx context.Context, before zone.Standing, edit Edit) (zone.StoredDocument, error) {
	now, err := e.load(ctx, edit.Service)
	if err == nil {
		if done, found := now.Stored.Find(edit.Operation); found {
			return settled(done, edit)
		}
		// A lagging read shows a lower revision and proves nothing; after a higher one the swap can't succeed.
		if now.Entry.Revision > before.Entry.Revision {
			return now.Stored, conflict(edit, now.Stored)
		}
	}
	refusal := refuse(CodeUnsettled, "the platform did not say whether the write took effect; send it again under the same operation id")
	refusal.Operation = edit.Operation
	return before.Stored, refusal
}

func (e *Editor) accept(ctx context.Context, key string, stored zone.StoredDocument) {
	e.config.Log.Emit(events.DocumentAccepted, events.Fields{
		"key": key, "revision": stored.Revision, "operation": stored.Operation, "editor": stored.Editor,
	})
	record, err := stored.Record(key)
	if err == nil {
		e.config.Records.Offer(ctx, record)
	}
}

// read returns the document at the platform, after a newer one that the node holds has been written back.
func (e *Editor) read(ctx context.Context, service string) (zone.Standing, error) {
	now, err := e.load(ctx, service)
	if err != nil {
		return now, err
	}
	held, found := e.held(ctx, service)
	if !found || held.Version().Compare(now.Stored.Version()) <= 0 {
		return now, nil
	}
	_, _, err = zone.Reinstate(ctx, e.config.Platform, zone.DocumentPrefix+service, now.Entry, held)
	if err != nil && !errors.Is(err, platform.ErrCompareFailed) {
		return now, unreachable(err)
	}
	return e.load(ctx, service)
}

func (e *Editor) load(ctx context.Context, service string) (zone.Standing, error) {
	now, err := zone.ReadStanding(ctx, e.config.Platform, service)
	if err != nil {
		return now, unreachable(err)
	}
	return now, nil
}

func (e *Editor) held(ctx context.Context, service string) (zone.StoredDocument, bool) {
	record, found := e.config.Records.Held(ctx, zone.DocumentPrefix+service)
	if !found {
		return zone.StoredDocument{}, false
	}
	stored, err := zone.ParseStored(record.Value)
	return stored, err == nil
}

func unreachable(err error) *Error {
	return refuse(CodePlatformUnreachable, "the platform does not answer: %v", err)
}
