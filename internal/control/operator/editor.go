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

// Records gives access to the records that the node holds. Offer adds records, which are then distributed to other
// nodes.
type Records interface {
	Held(ctx context.Context, key string) (membership.Record, bool)
	Offer(ctx context.Context, records ...membership.Record)
}

// Edit is a request to create or replace a document.
type Edit struct {
	Service string
	Source  []byte
	// By is the holder of the token that authorized the edit. Its team is EveryTeam for the operators.
	By Identity
	// Expected is the tag of the document to replace; empty if there must be none yet.
	Expected string
	// Operation is the id of the edit. An edit that is sent again under the same id takes effect once.
	Operation string
	Time      time.Time
}

// EditorConfig configures an Editor.
type EditorConfig struct {
	Platform *platform.Client
	Records  Records
	Log      *events.Log
}

// Editor reads documents from the platform and writes them to it.
type Editor struct {
	config EditorConfig
}

// NewEditor returns an editor.
func NewEditor(config EditorConfig) *Editor {
	return &Editor{config: config}
}

// Get returns the document of the service. If the platform does not answer, Get returns the document that the node
// holds, without its history, and reachable is false.
func (e *Editor) Get(ctx context.Context, service string) (stored zone.StoredDocument, reachable bool, err error) {
	current, err := e.readCurrent(ctx, service)
	if err != nil {
		stored, found := e.heldDocument(ctx, service)
		if !found {
			return stored, false, err
		}
		return stored, false, nil
	}
	if current.Stored.Revision == 0 {
		return current.Stored, true, newError(CodeNotFound, "service %q has no document", service)
	}
	return current.Stored, true, nil
}

// Put writes the document and returns the document in force. Errors are of type *Error.
func (e *Editor) Put(ctx context.Context, edit Edit) (zone.StoredDocument, error) {
	next, err := validate(edit)
	if err != nil {
		return next, err
	}
	current, err := e.readCurrent(ctx, edit.Service)
	if err != nil {
		return next, err
	}
	if done, found := current.Stored.Find(edit.Operation); found {
		return repeatedEdit(done, edit)
	}
	if err := checkReplace(current.Stored, edit); err != nil {
		return next, err
	}
	next.Revision = current.Stored.Revision + 1
	return e.write(ctx, current, next, edit)
}

// validate validates the document of the edit and returns it without its revision.
func validate(edit Edit) (zone.StoredDocument, error) {
	next := zone.StoredDocument{Source: string(edit.Source), Operation: edit.Operation, Editor: edit.By.String(), Time: edit.Time}
	if len(edit.Source) > zone.MaxSourceBytes {
		return next, newError(CodeTooLarge, "the document is larger than %d bytes", zone.MaxSourceBytes)
	}
	parsed, faults := document.Check(edit.Source)
	if len(faults) > 0 {
		return next, &Error{Code: CodeInvalidDocument, Message: "the document has faults", Faults: toFaults(faults)}
	}
	if parsed.Service != edit.Service {
		return next, newError(CodeInvalidDocument, "the document names service %q, the address %q", parsed.Service, edit.Service)
	}
	if edit.By.Team != EveryTeam && edit.By.Team != parsed.Team {
		return next, newError(CodeForbidden, "the document's team is %q, the token's %q", parsed.Team, edit.By.Team)
	}
	return next, nil
}

// checkReplace returns an error if the edit may not replace the current document.
func checkReplace(current zone.StoredDocument, edit Edit) error {
	if current.Revision == 0 {
		if edit.Expected != "" {
			return conflict(edit, current)
		}
		return nil
	}
	parsed, err := document.Parse([]byte(current.Source))
	isOwnTeam := err == nil && parsed.Team == edit.By.Team
	if !isOwnTeam && edit.By.Team != EveryTeam {
		return newError(CodeForbidden, "the document belongs to another team")
	}
	if edit.Expected == "" {
		refusal := newError(CodePreconditionRequired, "the service has a document; name its revision in If-Match")
		refusal.Current = current.Tag()
		return refusal
	}
	if edit.Expected != current.Tag() {
		return conflict(edit, current)
	}
	return nil
}

func conflict(edit Edit, current zone.StoredDocument) *Error {
	refusal := newError(CodeRevisionConflict, "the document is not the one that the edit replaces")
	refusal.Expected = edit.Expected
	if current.Revision > 0 {
		refusal.Current = current.Tag()
	}
	return refusal
}

// repeatedEdit returns the result of an edit that already took effect.
func repeatedEdit(done zone.StoredDocument, edit Edit) (zone.StoredDocument, error) {
	if done.Source != string(edit.Source) {
		return done, newError(CodeOperationReused, "the operation id belongs to another edit")
	}
	return done, nil
}

func (e *Editor) write(ctx context.Context, current zone.PlatformDocument, next zone.StoredDocument, edit Edit) (zone.StoredDocument, error) {
	_, err := current.Replace(ctx, e.config.Platform, next)
	if err != nil {
		next, err = e.resolveWrite(ctx, current, edit)
	}
	if err != nil {
		e.config.Log.Emit(events.DocumentRefused, events.Fields{
			"service": edit.Service, "operation": edit.Operation, "editor": edit.By.String(), "error": err.Error(),
		})
		return next, err
	}
	e.publishAccepted(ctx, zone.DocumentPrefix+edit.Service, next)
	return next, nil
}

// resolveWrite reads the document back after a write that failed or whose response was lost, to find out whether the
// write took effect.
func (e *Editor) resolveWrite(ctx context.Context, before zone.PlatformDocument, edit Edit) (zone.StoredDocument, error) {
	current, err := e.readPlatform(ctx, edit.Service)
	if err == nil {
		if done, found := current.Stored.Find(edit.Operation); found {
			return repeatedEdit(done, edit)
		}
		// A lagging read returns a lower revision and proves nothing. After a higher revision the swap can't succeed.
		if current.Entry.Revision > before.Entry.Revision {
			return current.Stored, conflict(edit, current.Stored)
		}
	}
	refusal := newError(CodeUnsettled, "the platform did not say whether the write took effect; send it again under the same operation id")
	refusal.Operation = edit.Operation
	return before.Stored, refusal
}

func (e *Editor) publishAccepted(ctx context.Context, key string, stored zone.StoredDocument) {
	e.config.Log.Emit(events.DocumentAccepted, events.Fields{
		"key": key, "revision": stored.Revision, "operation": stored.Operation, "editor": stored.Editor,
	})
	record, err := stored.Record(key)
	if err == nil {
		e.config.Records.Offer(ctx, record)
	}
}

// readCurrent returns the document at the platform. If the node holds a newer one, it first writes that back.
func (e *Editor) readCurrent(ctx context.Context, service string) (zone.PlatformDocument, error) {
	current, err := e.readPlatform(ctx, service)
	if err != nil {
		return current, err
	}
	held, found := e.heldDocument(ctx, service)
	if !found || held.Version().Compare(current.Stored.Version()) <= 0 {
		return current, nil
	}
	_, _, err = zone.Reinstate(ctx, e.config.Platform, zone.DocumentPrefix+service, current.Entry, held)
	if err != nil && !errors.Is(err, platform.ErrCompareFailed) {
		return current, unreachable(err)
	}
	return e.readPlatform(ctx, service)
}

func (e *Editor) readPlatform(ctx context.Context, service string) (zone.PlatformDocument, error) {
	current, err := zone.ReadPlatformDocument(ctx, e.config.Platform, service)
	if err != nil {
		return current, unreachable(err)
	}
	return current, nil
}

func (e *Editor) heldDocument(ctx context.Context, service string) (zone.StoredDocument, bool) {
	record, found := e.config.Records.Held(ctx, zone.DocumentPrefix+service)
	if !found {
		return zone.StoredDocument{}, false
	}
	stored, err := zone.ParseStored(record.Value)
	return stored, err == nil
}

func unreachable(err error) *Error {
	return newError(CodePlatformUnreachable, "the platform does not answer: %v", err)
}
