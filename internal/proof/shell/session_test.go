package shell_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/proxy"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

// step is one request of a session, sent while the link between the entry node and the instance has the step's faults.
type step struct {
	title string
	// toInstance and toEntry are the faults of the two directions of the link.
	toInstance proxy.Fault
	toEntry    proxy.Fault
	// silence reports whether the open connections between the two nodes go silent permanently.
	silence bool
	method  string
	path    string
	header  map[string]string
	body    string
}

const (
	keyHeader      = "Idempotency-Key"
	deadlineHeader = "Comfreyhoist-Deadline-Ms"
)

// book returns a step that sends a booking under a key; names such as "key 1" are replaced by keys generated for the run.
func book(title, key, body string) step {
	return step{
		title:  title,
		method: http.MethodPost,
		path:   "/call/bookings/bookings",
		header: map[string]string{keyHeader: key},
		body:   body,
	}
}

func withFaults(s step, toInstance, toEntry proxy.Fault) step {
	s.toInstance, s.toEntry = toInstance, toEntry
	return s
}

// withDeadline sets the deadline of the step in milliseconds.
func withDeadline(deadline string, s step) step {
	s.header[deadlineHeader] = deadline
	return s
}

func withSilence(s step) step {
	s.silence = true
	return s
}

// onLongMessage restricts the fault to one long message, so that control messages on the link are not damaged.
func onLongMessage(f proxy.Fault) proxy.Fault {
	f.MinChunkSize, f.MaxDamagedChunks = len(longBody)/4, 1
	return f
}

var longBody = strings.Repeat("a lowered chandelier, ", 500)

// sessions are the sessions by the names of their golden files. In each the caller gets its complete response at last, and the
// ledger shows one run.
var sessions = map[string][]step{
	"whole": {
		book("a booking", "key 1", "ballroom"),
		book("the same again", "key 1", "ballroom"),
		book("another under the same key", "key 1", "chapel"),
		book("a key that is no key", "two words", "ballroom"),
		{title: "a lookup", method: http.MethodGet, path: "/call/bookings/bookings/7?month=5"},
		{title: "no such kind", method: http.MethodGet, path: "/call/bookings/archive"},
		{title: "no such service", method: http.MethodGet, path: "/call/crystal/7"},
		{title: "no such deadline", method: http.MethodGet, path: "/call/bookings/bookings/7", header: map[string]string{deadlineHeader: "soon"}},
	},
	"late": {
		withDeadline("300", withFaults(book("the answer comes after the deadline", "key 1", "ballroom"), proxy.Fault{}, proxy.Fault{Delay: time.Second})),
		book("the caller asks again", "key 1", "ballroom"),
	},
	"truncated": {
		withFaults(book("the answer is cut short", "key 1", longBody), proxy.Fault{}, onLongMessage(proxy.Fault{TruncateAfter: 1})),
		book("the caller asks again", "key 1", longBody),
	},
	"truncated_request": {
		withFaults(book("the request is cut short", "key 1", longBody), onLongMessage(proxy.Fault{TruncateAfter: 1}), proxy.Fault{}),
		book("the caller asks again", "key 1", longBody),
	},
	"corrupted": {
		withFaults(book("the answer is damaged", "key 1", longBody), proxy.Fault{}, onLongMessage(proxy.Fault{Corrupt: true})),
		book("the caller asks again", "key 1", longBody),
	},
	"doubled": {
		withFaults(book("the answer comes twice", "key 1", longBody), proxy.Fault{}, onLongMessage(proxy.Fault{Duplicate: true})),
		book("the caller asks again", "key 1", longBody),
	},
	"silenced": {
		{title: "a lookup opens a connection", method: http.MethodGet, path: "/call/bookings/bookings/7"},
		withSilence(book("the open connections have gone silent", "key 1", "ballroom")),
		book("the caller asks again", "key 1", "ballroom"),
	},
}

// TestSessions compares sessions, as the caller sees them, with golden files.
func TestSessions(t *testing.T) {
	f := startSessions(t)
	for name, steps := range sessions {
		t.Run(name, func(t *testing.T) { runSession(t, f, name, steps) })
	}
	t.Run("recovery after damage", func(t *testing.T) { testRecoveryAfterDamage(t, f) })
}

// testRecoveryAfterDamage corrupts all messages between two nodes for damageTime. Requests must succeed again afterwards.
func testRecoveryAfterDamage(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	f.Network.SetBoth([]string{f.Nodes[0].Name}, []string{f.Nodes[1].Name}, proxy.Fault{Corrupt: true})
	time.Sleep(damageTime)
	f.Network.Clear()
	harness.Eventually(t, 20*time.Second, func() bool { return hasKeyOwner(t, f) })
}

// damageTime is several heartbeat intervals.
const damageTime = 2 * time.Second

func startSessions(t *testing.T) *fleet.Fleet {
	t.Helper()
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: oneInstance()})
	harness.Eventually(t, 60*time.Second, func() bool { return hasKeyOwner(t, f) })
	return f
}

func runSession(t *testing.T, f *fleet.Fleet, name string, steps []step) {
	t.Helper()
	golden := goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden"), goldie.WithDiffEngine(goldie.ClassicDiff))
	p := &sessionRunner{fleet: f, keys: map[string]string{}}
	for _, s := range steps {
		p.runStep(t, s)
	}
	golden.Assert(t, name, p.transcript.Bytes())
	p.checkRuns(t)
}

// hasKeyOwner reports whether a request with a caller's own key runs, which requires that the key has an owner.
func hasKeyOwner(t *testing.T, f *fleet.Fleet) bool {
	t.Helper()
	a := exchange{id: "remembers", path: bookingPath, key: uuid.Must(uuid.NewV7()).String()}
	send(t.Context(), f.Nodes[0].Caller, &a)
	return a.outcome == "ran"
}

// oneInstance returns one availability zone with the entry node and one instance of bookings.
func oneInstance() fleet.Deployment {
	d := deployment(1)
	d.Zones = d.Zones[:1]
	return d
}

// sessionRunner runs the steps of one session and records the requests and responses of the caller.
type sessionRunner struct {
	fleet      *fleet.Fleet
	keys       map[string]string
	transcript bytes.Buffer
}

func (p *sessionRunner) runStep(t *testing.T, s step) {
	t.Helper()
	entry, instance := p.fleet.Nodes[0].Name, p.fleet.Nodes[1].Name
	p.fleet.Network.Set(entry, instance, s.toInstance)
	p.fleet.Network.Set(instance, entry, s.toEntry)
	if s.silence {
		p.fleet.Network.SilenceOpen(entry, instance)
	}
	fmt.Fprintf(&p.transcript, "== %s\n", s.title)
	p.exchange(t, s)
	p.fleet.Network.Clear()
	harness.Eventually(t, 30*time.Second, func() bool { return isHealthy(t, p.fleet) && hasKeyOwner(t, p.fleet) })
}

func (p *sessionRunner) exchange(t *testing.T, s step) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, s.method, "http://"+p.fleet.Nodes[0].Caller+s.path, strings.NewReader(s.body))
	is.NoErr(err)
	for name, value := range s.header {
		request.Header.Set(name, p.value(value))
	}
	p.write("> ", s.method+" "+s.path, request.Header, []byte(s.body))
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err) // complete according to Content-Length
	p.write("< ", response.Status, response.Header, body)
}

// value returns the generated key for a name such as "key 1", and other values unchanged.
func (p *sessionRunner) value(text string) string {
	if !strings.HasPrefix(text, "key ") {
		return text
	}
	if p.keys[text] == "" {
		p.keys[text] = uuid.Must(uuid.NewV7()).String()
	}
	return p.keys[text]
}

var (
	mintedKey = regexp.MustCompile(`m\.[0-9a-z]+\.[0-9a-f-]+\.\w+`)
	// varyingHeaders are the headers whose values differ between runs.
	varyingHeaders = []string{"Date", "Retry-After", "Comfreyhoist-Retry-After-Ms"}
)

func (p *sessionRunner) write(prefix, first string, header http.Header, body []byte) {
	lines := []string{first}
	for name, values := range header {
		value := strings.Join(values, ", ")
		if slices.Contains(varyingHeaders, name) {
			value = "(changes)"
		}
		lines = append(lines, name+": "+p.normalize(value))
	}
	slices.Sort(lines[1:])
	lines = append(lines, p.normalize(shorten(string(body))))
	for _, line := range lines {
		p.transcript.WriteString(strings.TrimSpace(prefix+line) + "\n")
	}
}

func (p *sessionRunner) normalize(text string) string {
	for name, key := range p.keys {
		text = strings.ReplaceAll(text, key, "("+name+")")
	}
	return mintedKey.ReplaceAllString(text, "(key of the node)")
}

// maxShownBody is the length, in bytes, up to which a transcript shows a body in full.
const maxShownBody = 120

func shorten(body string) string {
	if len(body) > maxShownBody {
		return fmt.Sprintf("%s... (%d bytes, xxhash %x)", body[:maxShownBody/4], len(body), xxhash.Sum64String(body))
	}
	return strings.TrimSpace(body)
}

// checkRuns checks in the ledger that each key of the session ran once.
func (p *sessionRunner) checkRuns(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for _, key := range p.keys {
		started := 0
		for _, r := range p.fleet.Nodes[1].Server.Ledger().Runs() {
			if r.Key == key {
				started += r.Started
			}
		}
		is.Equal(started, 1)
	}
}
