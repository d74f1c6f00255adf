package once

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
)

// Report is the result of a run.
type Report struct {
	Bookings int `json:"bookings"`
	Sends    int `json:"sends"`
	// Outcomes counts the outcomes that callers received; "" stands for no response.
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons"`
	// Kinds has the counts of each kind of key.
	Kinds map[KeyKind]KindCount `json:"kinds"`
	// FirstSends has, for a run with an outage, the counts of the first sends, by the kind of key and the availability
	// zone of the node.
	FirstSends map[string]FirstSendCounts `json:"shares,omitempty"`
	// Violations are the broken guarantees. None are expected.
	Violations []string `json:"violations"`
	// Failed are the sends for which Send.Failed reports true.
	Failed []Send `json:"-"`
}

// KindCount counts the bookings with one kind of key.
type KindCount struct {
	Bookings int `json:"bookings"`
	// Ran counts the bookings for which Booking.Ran reports true.
	Ran int `json:"ran"`
	// FirstRan counts the bookings whose first send had the outcome that the booking ran.
	FirstRan int `json:"first_ran"`
	// FirstMedian and FirstP99 are the median and the 99th percentile of the latency of those first sends.
	FirstMedian time.Duration `json:"first_median"`
	FirstP99    time.Duration `json:"first_p99"`
}

// keyStarts counts the starts of the requests of one key, with the time of the first.
type keyStarts struct {
	count int
	first time.Time
}

// Check compares the outcomes that callers received with the ledgers.
func Check(bookings []Booking, runs []server.Run) Report {
	report := Report{
		Bookings: len(bookings),
		Outcomes: map[string]int{},
		Reasons:  map[string]int{},
		Kinds:    map[KeyKind]KindCount{},
	}
	starts := startsByKey(runs)
	for key, s := range starts {
		if s.count > 1 {
			report.addViolation("key %s ran %d times", key, s.count)
		}
	}
	for _, b := range bookings {
		report.count(b)
		report.check(b, starts)
	}
	report.addLatencies(bookings)
	return report
}

func startsByKey(runs []server.Run) map[string]keyStarts {
	starts := map[string]keyStarts{}
	for _, r := range runs {
		if r.Key == "" {
			continue // an idempotent request
		}
		s := starts[r.Key]
		if s.first.IsZero() || r.First.Before(s.first) {
			s.first = r.First
		}
		s.count += r.Started
		starts[r.Key] = s
	}
	return starts
}

func (r *Report) addViolation(format string, values ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, values...))
}

func (r *Report) count(b Booking) {
	kind := r.Kinds[b.Kind]
	kind.Bookings++
	if b.Ran() {
		kind.Ran++
	}
	if len(b.Sends) > 0 && b.Sends[0].Outcome == "ran" {
		kind.FirstRan++
	}
	r.Kinds[b.Kind] = kind
	for _, s := range b.Sends {
		r.Sends++
		r.Outcomes[s.Outcome]++
		r.Reasons[s.Reason]++
		if s.Failed() {
			r.Failed = append(r.Failed, s)
		}
	}
}

// addLatencies adds the latency of the first sends that ran.
func (r *Report) addLatencies(bookings []Booking) {
	latencies := map[KeyKind][]time.Duration{}
	for _, b := range bookings {
		if len(b.Sends) > 0 && b.Sends[0].Outcome == "ran" {
			latencies[b.Kind] = append(latencies[b.Kind], b.Sends[0].End.Sub(b.Sends[0].Begin))
		}
	}
	for kind, all := range latencies {
		slices.Sort(all)
		count := r.Kinds[kind]
		count.FirstMedian, count.FirstP99 = all[len(all)/2], all[len(all)*99/100]
		r.Kinds[kind] = count
	}
}

// check checks all responses of one booking.
func (r *Report) check(b Booking, starts map[string]keyStarts) {
	firstBody := ""
	for _, s := range b.Sends {
		if s.Key == "" {
			continue // an idempotent request, or a request that got no further than its entry node
		}
		recorded, found := starts[s.Key]
		switch s.Outcome {
		case "ran":
			if s.Status == http.StatusOK && !found {
				r.addViolation("booking %s: the caller was told that key %s ran, but no ledger has the key", b.ID, s.Key)
			}
			if firstBody != "" && s.Body != firstBody {
				r.addViolation("booking %s: the caller received two different responses: %q and %q", b.ID, firstBody, s.Body)
			}
			firstBody = s.Body
		case "not_run":
			if found && !isExplained(b, s, recorded.first) {
				r.addViolation("booking %s: the caller was told not_run (%s) for key %s, which ran %s after the send began",
					b.ID, s.Reason, s.Key, recorded.first.Sub(s.Begin))
			}
		}
	}
}

// isExplained reports whether a later send of the same key was in progress at startedAt. In that case the run belongs
// to the later send and does not contradict the not_run outcome of the earlier send.
func isExplained(b Booking, earlier Send, startedAt time.Time) bool {
	for _, s := range b.Sends {
		if s.Key == earlier.Key && s.Begin.After(earlier.Begin) && s.Begin.Before(startedAt) && s.End.After(startedAt) {
			return true
		}
	}
	return false
}
