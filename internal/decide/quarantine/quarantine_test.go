package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
)

var start = time.Unix(1_000_000, 0)

// service is a set of nodes that receive each other's blame without delay.
type service struct {
	tables  []*quarantine.Table
	crashes int
}

func newService(nodes int) *service {
	s := &service{}
	for i := range nodes {
		config := quarantine.DefaultConfig
		config.Node = fmt.Sprint("node_", i)
		s.tables = append(s.tables, quarantine.NewTable(config))
	}
	return s
}

// crash breaks the requests that run on a node.
func (s *service) crash(now time.Time, node int, began time.Time, running ...quarantine.Fingerprint) {
	s.crashes++
	for _, f := range running {
		blame, blamed := s.tables[node].End(now, f, began, quarantine.Broken)
		for i, t := range s.tables {
			if blamed && i != node {
				t.Learn(now, blame)
			}
		}
	}
}

func request(body string) quarantine.Fingerprint {
	return quarantine.NewFingerprint(quarantine.Request{Service: "bookings", Method: "POST", Path: "/bookings", Body: []byte(body)})
}

func (s *service) run(t *testing.T, now time.Time, node int, f quarantine.Fingerprint) {
	t.Helper()
	is.New(t).Equal(s.tables[node].Begin(now, f, 0).Action, quarantine.Run)
}

func TestCrashesOfOneRequestAreLimited(t *testing.T) {
	is := is.New(t)
	s := newService(5)
	poison, bystander := request("poison"), request("beside")
	now := start
	for i := range 20 {
		now = now.Add(200 * time.Millisecond)
		node := i % len(s.tables)
		if s.tables[node].Begin(now, poison, 0).Action != quarantine.Run {
			continue
		}
		running := []quarantine.Fingerprint{poison}
		if s.tables[node].Begin(now, bystander, 0).Action == quarantine.Run {
			running = append(running, bystander)
		}
		s.crash(now.Add(time.Millisecond), node, now, running...)
	}
	is.Equal(s.crashes, 2)
	for _, table := range s.tables {
		is.Equal(table.Begin(now, poison, 0).Action, quarantine.Refuse)
	}
	s.run(t, now, 0, bystander) // suspected since the first crash, but not running at the second
	s.tables[0].End(now, bystander, now, quarantine.Answered)
	is.Equal(len(s.tables[0].Entries()), 1)
}

func TestSimultaneousCrashesAddUp(t *testing.T) {
	is := is.New(t)
	s := newService(3)
	poison := request("poison")
	s.run(t, start, 0, poison)
	s.run(t, start, 1, poison)
	s.crash(start, 0, start, poison)
	s.crash(start, 1, start, poison)
	is.Equal(s.tables[2].Begin(start, poison, 0).Action, quarantine.Refuse)
}

func TestRecentlyCompletedRequestIsExemptOnce(t *testing.T) {
	is := is.New(t)
	s := newService(2)
	sheets := request("sheets")
	s.run(t, start, 0, sheets)
	s.tables[0].End(start, sheets, start, quarantine.Answered)
	now := start.Add(time.Second)
	s.run(t, now, 0, sheets)
	s.run(t, now, 0, sheets)
	s.crash(now.Add(time.Millisecond), 0, now, sheets, sheets)
	is.Equal(len(s.tables[0].Entries()), 0) // completed recently: not suspected
	for range 2 {
		now = now.Add(time.Second)
		s.run(t, now, 0, sheets)
		s.crash(now.Add(time.Millisecond), 0, now, sheets)
	}
	is.Equal(s.tables[1].Begin(now, sheets, 0).Action, quarantine.Refuse) // the exemption holds for one crash
}

func TestTermGrowsAndExpires(t *testing.T) {
	is := is.New(t)
	c := quarantine.DefaultConfig
	s := newService(1)
	poison := request("poison")
	now := start
	for _, term := range []time.Duration{0, c.FirstTerm, 2 * c.FirstTerm, 4 * c.FirstTerm} {
		s.run(t, now, 0, poison)
		s.crash(now, 0, now, poison)
		is.Equal(s.tables[0].Entries()[0].Term, term)
		now = now.Add(max(term, time.Second))
	}
	now = now.Add(c.EvidenceLifetime + time.Second)
	s.run(t, now, 0, poison)
	is.Equal(len(s.tables[0].Entries()), 0) // the evidence has expired
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	is := is.New(t)
	s := newService(2)
	a, b := request("a"), request("b")
	s.run(t, start, 0, a)
	s.run(t, start, 0, a)
	s.run(t, start, 0, b)
	s.crash(start, 0, start, a, a, b) // one crash for each request
	s.run(t, start, 1, a)
	is.Equal(s.tables[1].Begin(start, b, 0).Action, quarantine.RetryLater)
	s.run(t, start, 1, request("c")) // requests without suspicion still run
	s.tables[1].End(start, a, start, quarantine.Answered)
	s.run(t, start, 1, b)
}

func TestCrashesSeenBySender(t *testing.T) {
	is := is.New(t)
	table := quarantine.NewTable(quarantine.DefaultConfig)
	is.Equal(table.Begin(start, request("a"), 1).Action, quarantine.Run)
	is.Equal(table.Begin(start, request("b"), 1).Action, quarantine.RetryLater) // both are suspects
	is.Equal(table.Begin(start, request("c"), 2).Action, quarantine.Refuse)
	table.Learn(start, quarantine.Blame{Crashes: 9}) // no fingerprint: ignored
	is.Equal(len(table.Entries()), 3)
}

// Guards against a request that is refused because it resembles one that crashes backend servers, and against one that isn't
// recognized under another key.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	is := is.New(t)
	bad := quarantine.Request{Host: "sheets.example", Method: "POST", Path: "/hall/plan?x=1", Body: []byte("body")}
	same := bad
	same.Body = []byte("body")
	is.Equal(quarantine.NewFingerprint(same), quarantine.NewFingerprint(bad))
	for name, change := range map[string]func(r *quarantine.Request){
		"other host":    func(r *quarantine.Request) { r.Host = "deposits.example" },
		"other service": func(r *quarantine.Request) { r.Service = "bookings" },
		"other method":  func(r *quarantine.Request) { r.Method = "PUT" },
		"other path":    func(r *quarantine.Request) { r.Path = "/hall/plan2?x=1" },
		"other query":   func(r *quarantine.Request) { r.Path = "/hall/plan?x=2" },
		"without query": func(r *quarantine.Request) { r.Path = "/hall/plan" },
		"other body":    func(r *quarantine.Request) { r.Body = []byte("bodies") },
		"without body":  func(r *quarantine.Request) { r.Body = nil },
		"parts moved":   func(r *quarantine.Request) { r.Host, r.Method = "sheets.exampleP", "OST" },
	} {
		t.Run(name, func(t *testing.T) {
			other := bad
			change(&other)
			is := is.New(t)
			is.True(quarantine.NewFingerprint(other) != quarantine.NewFingerprint(bad))
		})
	}
}
