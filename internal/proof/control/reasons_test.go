package control_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/process/node"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const crashBody = "crash"

// TestDumpNamesReasons floods a small service and sends requests that crash it. The dump and its table must name the reason of
// each decision: sheds, refusals at the entry node, the in-flight limit and quarantine.
func TestDumpNamesReasons(t *testing.T) {
	is := is.New(t)
	deployment := fleet.Chain()
	deployment.Services = deployment.Services[1:]
	access := &deployment.Services[0]
	access.Instances, access.Slots = 2, 2
	access.Behaviour.ServiceTime = 50 * time.Millisecond
	access.Behaviour.CrashOn, access.Behaviour.RestartAfter = crashBody, 200*time.Millisecond
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: deployment})

	flood := load.Stream{Name: "archive", Service: service, Method: http.MethodGet, Path: "/archive/x", Rank: 7, Rate: 600, Timeout: time.Second}
	load.Run(t.Context(), load.Config{Streams: []load.Stream{flood}, Targets: f.Callers(), Duration: 2 * time.Second, Seed: 1})
	all := dumps(t, f)
	is.True(slices.ContainsFunc(all, func(d node.Dump) bool { return d.Gate.Sheds[7].ByReason[admission.ShedOverload] > 0 }))
	is.True(slices.ContainsFunc(all, func(d node.Dump) bool {
		return !d.Gate.Sheds[7].Last.At.IsZero() && d.Gate.Sheds[7].Last.Kind == "archive"
	}))
	is.True(slices.ContainsFunc(all, func(d node.Dump) bool { return hasLocalRefusal(d, "archive") }))
	for _, d := range all {
		is.True(admission.LimitReasons[d.Gate.Change.Reason] != "")
		is.Equal(d.Gate.Sheds[0].ByReason, nil) // no urgent request was sent
		is.True(strings.Contains(table(t, d), "\nLIMIT"))
	}
	is.True(slices.ContainsFunc(all, func(d node.Dump) bool { return strings.Contains(table(t, d), string(throttle.RefusedAboveRate)) }))
	is.True(slices.ContainsFunc(all, func(d node.Dump) bool { return strings.Contains(table(t, d), string(admission.ShedOverload)) }))

	harness.Eventually(t, healTimeout, func() bool {
		post(t, f.Nodes[0].Caller, "/call/access/bookings", crashBody)
		all = dumps(t, f)
		return slices.ContainsFunc(all, func(d node.Dump) bool {
			return hasCrash(d, quarantine.ObservedLocally) && hasCrash(d, quarantine.Reported)
		})
	})
	for _, text := range []string{string(quarantine.Quarantined), string(quarantine.ObservedLocally), string(quarantine.Reported)} {
		is.True(slices.ContainsFunc(all, func(d node.Dump) bool { return strings.Contains(table(t, d), text) }))
	}
}

func dumps(t *testing.T, f *fleet.Fleet) []node.Dump {
	var all []node.Dump
	for _, n := range f.Nodes {
		if d, ok := dump(t, n); ok {
			all = append(all, d)
		}
	}
	return all
}

// hasLocalRefusal reports whether the dump shows that the node, as entry node, refused requests of the kind because of their rate.
func hasLocalRefusal(d node.Dump, kind string) bool {
	for _, s := range d.Sender.Throttles {
		if s.Kind == kind && s.LastHere.Reason == throttle.RefusedAboveRate && !s.LastBelow.IsZero() {
			return true
		}
	}
	return false
}

func hasCrash(d node.Dump, source quarantine.Source) bool {
	for _, e := range d.Quarantine {
		for _, v := range e.Evidence {
			if e.Reason == quarantine.Quarantined && v.Source == source {
				return true
			}
		}
	}
	return false
}

func table(t *testing.T, d node.Dump) string {
	t.Helper()
	var text strings.Builder
	if err := d.WriteTable(&text, time.Now()); err != nil {
		t.Fatalf("table: %v", err)
	}
	return text.String()
}

func post(t *testing.T, address, path, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatalf("post: %v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}
