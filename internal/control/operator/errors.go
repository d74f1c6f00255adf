package operator

import (
	"fmt"
	"net/http"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
)

// Code is the reason for which the administration API refused a request.
type Code string

// The codes.
const (
	CodeUnauthorized         Code = "unauthorized"
	CodeForbidden            Code = "forbidden"
	CodeNotFound             Code = "not_found"
	CodeInvalidDocument      Code = "invalid_document"
	CodeTooLarge             Code = "too_large"
	CodePreconditionRequired Code = "precondition_required"
	CodeRevisionConflict     Code = "revision_conflict"
	CodeOperationReused      Code = "operation_reused"
	CodePlatformUnreachable  Code = "platform_unreachable"
	CodeUnsettled            Code = "unsettled"
	CodeInternal             Code = "internal"
)

// statuses maps each code to its HTTP status.
var statuses = map[Code]int{
	CodeUnauthorized:         http.StatusUnauthorized,
	CodeForbidden:            http.StatusForbidden,
	CodeNotFound:             http.StatusNotFound,
	CodeInvalidDocument:      http.StatusBadRequest,
	CodeTooLarge:             http.StatusRequestEntityTooLarge,
	CodePreconditionRequired: http.StatusPreconditionRequired,
	CodeRevisionConflict:     http.StatusPreconditionFailed,
	CodeOperationReused:      http.StatusConflict,
	CodePlatformUnreachable:  http.StatusServiceUnavailable,
	CodeUnsettled:            http.StatusServiceUnavailable,
	CodeInternal:             http.StatusInternalServerError,
}

// retryAfter is the Retry-After value of responses with status 503, which are sent if the platform does not answer.
const retryAfter = 2 * time.Second

// Error is the response to a refused request.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Faults are the faults of an invalid document.
	Faults []Fault `json:"faults,omitempty"`
	// Expected is the tag that If-Match names, and Current is the tag of the current document. They are set if the edit
	// does not name the current document.
	Expected string `json:"expected,omitempty"`
	Current  string `json:"current,omitempty"`
	// Operation is the id of the edit if it is unknown whether the edit took effect.
	Operation string `json:"operation,omitempty"`
}

// Error returns the code and message on one line, followed by one line per fault.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Message)
	if e.Code == CodeRevisionConflict {
		text += fmt.Sprintf(" (expected %s, current %s)", e.Expected, e.Current)
	}
	for _, f := range e.Faults {
		text += fmt.Sprintf("\nline %d: [%s] %s: %s", f.Line, f.Section, f.Key, f.Reason)
	}
	return text
}

func newError(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Fault is one fault of a document. Line is the line number, from 1; 0 if the fault has no line.
type Fault struct {
	Line    int    `json:"line"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Reason  string `json:"reason"`
}

func toFaults(found []document.Fault) []Fault {
	var faults []Fault
	for _, f := range found {
		faults = append(faults, Fault{Line: f.Line, Section: f.Section, Key: f.Key, Reason: f.Reason})
	}
	return faults
}
