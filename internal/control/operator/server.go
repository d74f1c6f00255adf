// Package operator implements the administration API of a node and its client, which the command line uses.
//
// Each team edits the document of its own service with its bearer token. With the token of team "*", operators edit
// every document and stop the node. A token may belong to an editor, a member of the team, whose name then appears in
// the history and the events. A document is accepted once it has been written to the platform by compare-and-swap. It
// is then distributed to all nodes and is never reverted.
//
// # Usage
//
//	router := httprouter.New()
//	editor := operator.NewEditor(operator.EditorConfig{Platform: platformClient, Records: records, Log: log})
//	tokens := operator.NewTokens(map[operator.Identity]string{{Team: "bookings-team"}: token})
//	operator.Register(router, operator.Config{Board: loop, Editor: editor, Tokens: tokens, Drain: drain, Dump: dump})
//
//	client := operator.NewClient(operator.ClientConfig{Address: "10.0.1.21:7003", Token: token, Timeout: time.Second})
//	stored, err := client.Get(ctx, "bookings")
//
// Refusals are of type *Error, on the server and on the client.
package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
)

// Headers and paths of the API.
const (
	// OperationHeader carries the id of an edit, with which the edit can be repeated safely.
	OperationHeader = "Comfreyhoist-Operation"
	// SourceHeader is "platform" if the document was read from the platform, or "node" if the platform did not answer
	// and the document is the one that the node holds.
	SourceHeader = "Comfreyhoist-Source"
	documentPath = "/v1/documents"
	drainPath    = "/v1/drain"
	dumpPath     = "/v1/dump"
)

// maxOperationBytes is the maximum length of an operation id.
const maxOperationBytes = 128

// Config configures the API.
type Config struct {
	Board  *board.Loop
	Editor *Editor
	Tokens *Tokens
	// Drain starts the planned stop of the node.
	Drain func()
	// Dump writes the state of the node as JSON.
	Dump http.HandlerFunc
}

// Register adds the routes of the API to the router.
func Register(router *httprouter.Router, config Config) {
	s := &server{config: config}
	router.GET(documentPath, s.authorized(s.list))
	router.GET(documentPath+"/:service", s.authorized(s.get))
	router.PUT(documentPath+"/:service", s.authorized(s.put))
	router.GET(documentPath+"/:service/history", s.authorized(s.history))
	router.POST(drainPath, s.authorized(s.drain))
	router.GET(dumpPath, s.authorized(s.dump))
}

type server struct {
	config Config
}

// request is an authorized request.
type request struct {
	*http.Request

	identity Identity
	service  string
}

// authorized calls f for requests with a known token, and writes the error that f returns as the response.
func (s *server) authorized(f func(http.ResponseWriter, request) error) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		identity, known := s.config.Tokens.Identify(bearerToken(r))
		if !known {
			writeError(w, newError(CodeUnauthorized, "the bearer token is missing or unknown"))
			return
		}
		if err := f(w, request{Request: r, identity: identity, service: p.ByName("service")}); err != nil {
			writeError(w, err)
		}
	}
}

// Summary describes one document in a list.
type Summary struct {
	Service  string    `json:"service"`
	Team     string    `json:"team"`
	Revision uint64    `json:"revision"`
	Editor   string    `json:"editor"`
	Accepted time.Time `json:"accepted"`
}

// list returns the documents in force on this node.
func (s *server) list(w http.ResponseWriter, _ request) error {
	summaries := []Summary{}
	for service, d := range s.config.Board.Snapshot().Documents.ByService {
		summaries = append(summaries, Summary{
			Service:  service,
			Team:     d.Document.Team,
			Revision: d.Revision,
			Editor:   d.Editor,
			Accepted: d.AcceptedAt,
		})
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return strings.Compare(a.Service, b.Service) })
	return writeJSON(w, summaries)
}

func (s *server) get(w http.ResponseWriter, r request) error {
	stored, reachable, err := s.config.Editor.Get(r.Context(), r.service)
	if err != nil {
		return err
	}
	source := "platform"
	if !reachable {
		source = "node"
	}
	w.Header().Set(SourceHeader, source)
	return writeDocument(w, stored)
}

func (s *server) put(w http.ResponseWriter, r request) error {
	source, err := io.ReadAll(http.MaxBytesReader(w, r.Body, zone.MaxSourceBytes))
	if err != nil {
		return newError(CodeTooLarge, "the document can't be read or is larger than %d bytes", zone.MaxSourceBytes)
	}
	operation := r.Header.Get(OperationHeader)
	if len(operation) > maxOperationBytes {
		return newError(CodeInvalidDocument, "%s is longer than %d bytes", OperationHeader, maxOperationBytes)
	}
	if operation == "" {
		operation = uuid.NewString()
	}
	w.Header().Set(OperationHeader, operation)
	stored, err := s.config.Editor.Put(r.Context(), Edit{
		Service:   r.service,
		Source:    source,
		By:        r.identity,
		Expected:  strings.Trim(r.Header.Get("If-Match"), `"`),
		Operation: operation,
		Time:      time.Now().UTC(),
	})
	if err != nil {
		return err
	}
	return writeDocument(w, stored)
}

// history returns the edits of a document, the newest first.
func (s *server) history(w http.ResponseWriter, r request) error {
	stored, reachable, err := s.config.Editor.Get(r.Context(), r.service)
	if err != nil {
		return err
	}
	if !reachable {
		return newError(CodePlatformUnreachable, "the history is kept by the platform, which does not answer")
	}
	newest := stored
	newest.History = nil
	return writeJSON(w, append([]zone.StoredDocument{newest}, stored.History...))
}

func (s *server) drain(w http.ResponseWriter, r request) error {
	if r.identity.Team != EveryTeam {
		return newError(CodeForbidden, "only the token of team %q may stop a node", EveryTeam)
	}
	w.WriteHeader(http.StatusAccepted)
	s.config.Drain()
	return nil
}

func (s *server) dump(w http.ResponseWriter, r request) error {
	if r.identity.Team != EveryTeam {
		return newError(CodeForbidden, "only the token of team %q may read the state of a node", EveryTeam)
	}
	s.config.Dump(w, r.Request)
	return nil
}

func writeDocument(w http.ResponseWriter, stored zone.StoredDocument) error {
	w.Header().Set("ETag", strconv.Quote(stored.Tag()))
	stored.History = nil
	return writeJSON(w, stored)
}

func writeJSON(w http.ResponseWriter, value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return newError(CodeInternal, "%v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(encoded, '\n'))
	return nil
}

func writeError(w http.ResponseWriter, err error) {
	var refusal *Error
	if !errors.As(err, &refusal) {
		refusal = newError(CodeInternal, "%v", err)
	}
	encoded, err := json.MarshalIndent(refusal, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	status := statuses[refusal.Code]
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", fmt.Sprint(int(retryAfter.Seconds())))
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n'))
}
