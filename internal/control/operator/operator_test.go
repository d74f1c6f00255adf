package operator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
)

const (
	bookingsToken  = "token-of-the-bookings-team"
	accessToken    = "token-of-the-access-team"
	operatorsToken = "token-of-the-operators"
	anaToken       = "token-of-ana-of-the-bookings-team"
	ruiToken       = "token-of-rui-of-the-operators"
)

// fakeRecords is an in-memory Records of one node.
type fakeRecords struct {
	mu      sync.Mutex
	records *membership.Records
}

func (r *fakeRecords) Held(_ context.Context, key string) (membership.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.Get(key)
}

func (r *fakeRecords) Offer(_ context.Context, records ...membership.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Merge(records...)
}

// apiNode is the administration API of one node, with the records that the node holds.
type apiNode struct {
	address string
	records *fakeRecords
}

func (n apiNode) client(token string) *operator.Client {
	return operator.NewClient(operator.ClientConfig{Address: n.address, Token: token, Timeout: 10 * time.Second})
}

func newStore(t *testing.T) (*store.Store, string) {
	s := store.New()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server.URL
}

func startAPINode(t *testing.T, storeURL string, log io.Writer) apiNode {
	records := &fakeRecords{records: membership.NewRecords()}
	client := platform.NewClient(platform.Config{URL: storeURL, Timeout: time.Second})
	router := httprouter.New()
	operator.Register(router, operator.Config{
		Board: board.NewLoop(board.Board{}),
		Editor: operator.NewEditor(operator.EditorConfig{
			Platform: client,
			Records:  records,
			Log:      events.NewLog(log, zerolog.DebugLevel, "node"),
		}),
		Tokens: operator.NewTokens(map[operator.Identity]string{
			{Team: "bookings-team"}:                bookingsToken,
			{Team: "bookings-team", Editor: "ana"}: anaToken,
			{Team: "access-team"}:                  accessToken,
			{Team: "*"}:                            operatorsToken,
			{Team: "*", Editor: "rui"}:             ruiToken,
		}),
	})
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return apiNode{address: strings.TrimPrefix(server.URL, "http://"), records: records}
}

func source(team, deadline string) []byte {
	return []byte("[service]\nname = bookings\nteam = " + team + "\n\n[kind book]\nmethod = POST\npath = /bookings\nrank = 2\nidempotent = false\ndeadline = " + deadline + "\n")
}

func codeOf(err error) operator.Code {
	var refusal *operator.Error
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

func TestRefusals(t *testing.T) {
	_, url := newStore(t)
	node := startAPINode(t, url, io.Discard)
	stored, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "1s"), "", "first")
	is.New(t).NoErr(err)
	for name, c := range map[string]struct {
		token    string
		service  string
		source   []byte
		expected string
		code     operator.Code
	}{
		"no token":              {service: "bookings", code: operator.CodeUnauthorized},
		"unknown token":         {token: operatorsToken + "x", service: "bookings", code: operator.CodeUnauthorized},
		"another team's":        {token: accessToken, service: "bookings", source: source("access-team", "1s"), expected: stored.Tag(), code: operator.CodeForbidden},
		"given to another team": {token: accessToken, service: "bookings", source: source("bookings-team", "1s"), expected: stored.Tag(), code: operator.CodeForbidden},
		"other service":         {token: bookingsToken, service: "access", source: source("bookings-team", "1s"), code: operator.CodeInvalidDocument},
		"no precondition":       {token: bookingsToken, service: "bookings", source: source("bookings-team", "1s"), code: operator.CodePreconditionRequired},
		"old tag":               {token: bookingsToken, service: "bookings", source: source("bookings-team", "1s"), expected: "0-00000000", code: operator.CodeRevisionConflict},
		"too large":             {token: operatorsToken, service: "bookings", source: make([]byte, zone.MaxSourceBytes+1), expected: stored.Tag(), code: operator.CodeTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := node.client(c.token).Put(t.Context(), c.service, c.source, c.expected, "")
			is.Equal(codeOf(err), c.code)
			now, err := node.client(operatorsToken).Get(t.Context(), "bookings")
			is.NoErr(err)
			is.Equal(now.Tag(), stored.Tag()) // the document is unchanged
		})
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	_, url := newStore(t)
	faulty := "[service]\nname = bookings\nteam = bookings-team\nattempts = many\n\n[kind book]\npath = bookings\nrank = 11\nidempotent = maybe\n"
	_, err := startAPINode(t, url, io.Discard).client(bookingsToken).Put(t.Context(), "bookings", []byte(faulty), "", "")
	var refusal *operator.Error
	is.True(errors.As(err, &refusal))
	found := map[string]int{}
	for _, f := range refusal.Faults {
		found[f.Section+"."+f.Key] = f.Line
	}
	is.Equal(found, map[string]int{"service.attempts": 4, "kind book.path": 7, "kind book.rank": 8, "kind book.idempotent": 9})
}

func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	platformStore, url := newStore(t)
	first := startAPINode(t, url, io.Discard)
	stored, err := first.client(operatorsToken).Put(t.Context(), "bookings", source("bookings-team", "1s"), "", "")
	is.NoErr(err)
	platformStore.SetFaults(store.Faults{Delay: 20 * time.Millisecond}) // all nodes read before the first one writes
	const racers = 8
	var won, lost [racers]bool
	var group conc.WaitGroup
	for i := range racers {
		node := startAPINode(t, url, io.Discard)
		group.Go(func() {
			_, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "2s"), stored.Tag(), "")
			var refusal *operator.Error
			won[i] = err == nil
			lost[i] = errors.As(err, &refusal) && refusal.Expected == stored.Tag() && strings.HasPrefix(refusal.Current, "2-")
		})
	}
	group.Wait()
	winners := 0
	for i := range racers {
		is.True(won[i] != lost[i]) // the response to a losing edit names both revisions
		if won[i] {
			winners++
		}
	}
	is.Equal(winners, 1)
	edits, err := first.client(operatorsToken).History(t.Context(), "bookings")
	is.NoErr(err)
	is.Equal(len(edits), 2)
}

func TestResponseLostAfterWrite(t *testing.T) {
	is := is.New(t)
	platformStore, url := newStore(t)
	node := startAPINode(t, url, io.Discard)
	platformStore.SetFaults(store.Faults{LoseAnswers: true})
	stored, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "1s"), "", "edit-1")
	is.NoErr(err) // reading back finds the operation
	is.Equal(stored.Revision, uint64(1))
	platformStore.SetFaults(store.Faults{})
	again, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "1s"), "", "edit-1")
	is.NoErr(err)
	is.Equal(again.Tag(), stored.Tag()) // took effect once
	_, err = node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "2s"), stored.Tag(), "edit-1")
	is.Equal(codeOf(err), operator.CodeOperationReused)
}

func TestLostWriteIsNotReportedAsAccepted(t *testing.T) {
	is := is.New(t)
	platformStore, url := newStore(t)
	node := startAPINode(t, url, io.Discard)
	platformStore.SetFaults(store.Faults{LoseWrites: true})
	_, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "1s"), "", "edit-1")
	is.Equal(codeOf(err), operator.CodeUnsettled)
	platformStore.SetFaults(store.Faults{})
	stored, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "1s"), "", "edit-1")
	is.NoErr(err)
	is.Equal(stored.Revision, uint64(1))
}

func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	platformStore, url := newStore(t)
	node := startAPINode(t, url, io.Discard)
	stored, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "1s"), "", "")
	is.NoErr(err)
	platformStore.SetFaults(store.Faults{Down: true})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+node.address+"/v1/documents/bookings", strings.NewReader(string(source("bookings-team", "2s"))))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+bookingsToken)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "2")
	held, err := node.client(bookingsToken).Get(t.Context(), "bookings")
	is.NoErr(err) // the node returns the document that it holds
	is.Equal(held.Tag(), stored.Tag())
}

func TestNewerDocumentIsWrittenBackToRestoredPlatform(t *testing.T) {
	is := is.New(t)
	platformStore, url := newStore(t)
	node := startAPINode(t, url, io.Discard)
	first, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "1s"), "", "")
	is.NoErr(err)
	older := platformStore.Snapshot()
	second, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "2s"), first.Tag(), "")
	is.NoErr(err)
	platformStore.Restore(older)
	_, err = node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "3s"), first.Tag(), "")
	is.Equal(codeOf(err), operator.CodeRevisionConflict) // an edit of the restored content is refused
	now, err := node.client(bookingsToken).Get(t.Context(), "bookings")
	is.NoErr(err)
	is.Equal(now.Tag(), second.Tag())

	// Another node, which has not seen the second edit, accepts an edit of the restored content under the same
	// revision.
	platformStore.Restore(older)
	otherNode := startAPINode(t, url, io.Discard)
	other, err := otherNode.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "4s"), first.Tag(), "")
	is.NoErr(err)
	is.Equal(other.Revision, second.Revision)
	settled, err := node.client(bookingsToken).Get(t.Context(), "bookings")
	is.NoErr(err)
	is.Equal(settled.Tag(), other.Tag()) // the later of the two edits is in force
}

func TestTokensAreNotLogged(t *testing.T) {
	is := is.New(t)
	_, url := newStore(t)
	var log strings.Builder
	node := startAPINode(t, url, &log)
	_, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "1s"), "", "")
	is.NoErr(err)
	is.True(strings.Contains(log.String(), "document_accepted"))
	is.True(!strings.Contains(log.String(), bookingsToken))
}

func TestHistoryAndEventsContainEditor(t *testing.T) {
	is := is.New(t)
	_, url := newStore(t)
	var log strings.Builder
	node := startAPINode(t, url, &log)
	tag := ""
	want := []string{"bookings-team", "bookings-team/ana", "*/rui"}
	for i, token := range []string{bookingsToken, anaToken, ruiToken} {
		stored, err := node.client(token).Put(t.Context(), "bookings", source("bookings-team", fmt.Sprintf("%ds", i+1)), tag, "")
		is.NoErr(err)
		is.Equal(stored.Editor, want[i])
		is.True(strings.Contains(log.String(), `"editor":"`+want[i]+`"`))
		tag = stored.Tag()
	}
	edits, err := node.client(anaToken).History(t.Context(), "bookings")
	is.NoErr(err)
	is.Equal(len(edits), len(want))
	for i, edit := range edits {
		is.Equal(edit.Editor, want[len(want)-1-i])
	}
	_, err = node.client(anaToken).Put(t.Context(), "bookings", source("access-team", "9s"), tag, "")
	is.Equal(codeOf(err), operator.CodeForbidden) // an editor has the rights of the team
	is.Equal(codeOf(node.client(anaToken).Drain(t.Context())), operator.CodeForbidden)
	for _, token := range []string{bookingsToken, anaToken, ruiToken} {
		is.True(!strings.Contains(log.String(), token))
	}
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var stored zone.StoredDocument
	for i := range 1000 {
		next := zone.StoredDocument{Revision: uint64(i + 1), Source: strings.Repeat("x", zone.MaxSourceBytes/8)}
		stored = next.WithPrevious(stored)
	}
	size := 0
	for _, edit := range stored.History {
		size += len(edit.Source)
		is.Equal(len(edit.History), 0)
	}
	is.True(len(stored.History) > 1)
	is.True(size < 1<<19) // JSON-escaped, the value stays below the platform's limit of one megabyte
	is.Equal(stored.History[0].Revision, stored.Revision-1)
}
