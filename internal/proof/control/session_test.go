package control_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/comfreyhoist/comfreyhoist/internal/control/metrics"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
	"github.com/comfreyhoist/comfreyhoist/internal/process/node"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const (
	teamToken  = "token-of-the-access-team"
	otherToken = "token-of-the-bookings-team"
)

// session records the requests to one node and their responses.
type session struct {
	t    *testing.T
	node *fleet.Node
	text bytes.Buffer
	tag  string
}

// send sends one request, with the latest ETag in If-Match if match is set, and records the request and the response.
func (s *session) send(title, token, method, path string, match bool, body []byte) {
	is := is.New(s.t)
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.node.Operator+path, bytes.NewReader(body))
	is.NoErr(err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	if match {
		request.Header.Set("If-Match", s.tag)
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	answer, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	if tag := response.Header.Get("ETag"); tag != "" {
		s.tag = tag
	}
	fmt.Fprintf(&s.text, "# %s\n%s %s\n", title, method, path)
	if match {
		fmt.Fprintf(&s.text, "If-Match: %s\n", request.Header.Get("If-Match"))
	}
	fmt.Fprintf(&s.text, "%s\n%s\n", body, response.Status)
	for _, name := range []string{"Etag", "Retry-After", "Www-Authenticate", "Comfreyhoist-Source"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&s.text, "%s: %s\n", name, value)
		}
	}
	fmt.Fprintf(&s.text, "\n%s\n", answer)
}

var (
	times      = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z?([+-]\d\d:\d\d)?`)
	tagHashes  = regexp.MustCompile(`\b(\d+)-[0-9a-f]{8}\b`)
	operations = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	addresses  = regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`)
)

func normalize(text string) []byte {
	text = operations.ReplaceAllString(text, "<operation>")
	text = times.ReplaceAllString(text, "<time>")
	text = tagHashes.ReplaceAllString(text, "$1-<hash>")
	return []byte(addresses.ReplaceAllString(text, "<address>"))
}

// TestOperatorSession compares the requests and responses of an operator's session with a golden file.
func TestOperatorSession(t *testing.T) {
	deployment := fleet.Chain()
	deployment.Services = deployment.Services[1:]
	deployment.Services[0].Instances = 1
	tokens := "*:" + fleet.OperatorToken + ",access-team:" + teamToken + ",bookings-team:" + otherToken
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: deployment, ExtraFlags: []string{"-operator.tokens", tokens}})
	s := &session{t: t, node: f.Nodes[0]}
	const path = "/v1/documents/access"
	faulty := strings.NewReplacer("rank = 2", "rank = 12", "idempotent = true", "idempotent = perhaps").Replace(string(document(900)))

	s.send("list without a token", "", http.MethodGet, "/v1/documents", false, nil)
	s.send("list", teamToken, http.MethodGet, "/v1/documents", false, nil)
	s.send("get", teamToken, http.MethodGet, path, false, nil)
	s.send("put a document with two faults", teamToken, http.MethodPut, path, true, []byte(faulty))
	s.send("put without naming the revision", teamToken, http.MethodPut, path, false, document(900))
	s.send("put as another team", otherToken, http.MethodPut, path, true, document(900))
	stale := s.tag
	s.send("put", teamToken, http.MethodPut, path, true, document(900))
	fresh := s.tag
	s.tag = stale
	s.send("put over a revision that is gone", teamToken, http.MethodPut, path, true, document(901))
	s.tag = fresh
	s.send("history", teamToken, http.MethodGet, path+"/history", false, nil)
	f.Store.SetFaults(store.Faults{Down: true})
	s.send("get while the platform is down", teamToken, http.MethodGet, path, false, nil)
	s.send("put while the platform is down", teamToken, http.MethodPut, path, true, document(902))
	f.Store.SetFaults(store.Faults{})
	s.send("a service without a document", teamToken, http.MethodGet, "/v1/documents/nothing", false, nil)
	s.send("drain as a team", teamToken, http.MethodPost, "/v1/drain", false, nil)
	s.send("drain", fleet.OperatorToken, http.MethodPost, "/v1/drain", false, nil)

	goldie.New(t).Assert(t, "operator_session", normalize(s.text.String()))
}

// TestDumpAndMetrics reads the state of the nodes through the operators API, the table and the metrics. Each must be complete, and
// none may contain a token.
func TestDumpAndMetrics(t *testing.T) {
	is := is.New(t)
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: fleet.Chain()})
	is.True(servesAll(t, f.Nodes))
	for _, n := range f.Nodes {
		encoded, err := client(n).Dump(t.Context())
		is.NoErr(err)
		is.True(!bytes.Contains(encoded, []byte(fleet.OperatorToken))) // a dump contains no token
		is.Equal(camelCase.FindAllString(string(encoded), -1), nil)    // keys are in snake case
		var d node.Dump
		is.NoErr(json.Unmarshal(encoded, &d))
		var table strings.Builder
		is.NoErr(d.WriteTable(&table, time.Now()))
		for _, other := range f.Nodes {
			is.True(strings.Contains(table.String(), other.Name))
		}
		for _, title := range []string{"DOCUMENTS", "MEMBERS", "HOMES", "ADMISSION", "LIMIT", "REFUSED AT THE GATE", "REFUSED AT THE ENTRY", "INSTANCES", "PASSED OVER", "RETRY BUDGETS", "QUARANTINE", "CONNECTIONS"} {
			is.True(strings.Contains(table.String(), "\n"+title))
		}
	}

	response, err := http.Get("http://" + f.Nodes[0].Backend + "/debug/vars")
	is.NoErr(err)
	var variables struct {
		Values metrics.Values `json:"comfreyhoist"`
	}
	is.NoErr(json.NewDecoder(response.Body).Decode(&variables))
	is.NoErr(response.Body.Close())
	is.Equal(slices.Sorted(maps.Keys(variables.Values)), metrics.Names()) // every metric of the catalogue is exported
	is.Equal(variables.Values[metrics.Members], int64(len(f.Nodes)))
}

// camelCase matches keys of JSON objects that begin with a capital letter.
var camelCase = regexp.MustCompile(`"[A-Z][A-Za-z]*":`)
