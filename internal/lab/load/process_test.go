package load

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tables that show the load generator instead of the system: requests that are sent late or not at all.
func TestPunctuality(t *testing.T) {
	onTime := Result{Sent: 1500 * time.Millisecond, Lateness: time.Millisecond}
	late := Result{Sent: 1500 * time.Millisecond, Lateness: MaxLateness}
	unsent := Result{Reason: NoConnection}
	for name, test := range map[string]struct {
		count      map[Result]int
		sufficient bool
		rate       int
	}{
		"all on time":     {map[Result]int{onTime: 200}, true, 200},
		"few late":        {map[Result]int{onTime: 198, late: 1, unsent: 1}, true, 198},
		"many late":       {map[Result]int{onTime: 190, late: 10}, false, 190},
		"many never sent": {map[Result]int{onTime: 190, unsent: 10}, false, 190},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var results []Result
			for r, n := range test.count {
				for range n {
					results = append(results, r)
				}
			}
			p := MeasurePunctuality(results)
			is.Equal(p.IsSufficient(), test.sufficient)
			is.Equal(p.OnTimeRate, test.rate)
		})
	}
}

// A caller that honors Retry-After waits before it resends, and doesn't resend after its timeout.
func TestCallersHonorRetryAfter(t *testing.T) {
	for name, test := range map[string]struct {
		retryAfter string
		honors     bool
		sends      int
		atLeast    time.Duration
	}{
		"waits":                 {"0.2", true, 2, 200 * time.Millisecond},
		"not after its timeout": {"60", true, 1, 0},
		"resends at once":       {"60", false, 2, 0},
		"no Retry-After":        {"", true, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int32
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if requests.Add(1) == 1 {
					if test.retryAfter != "" {
						w.Header().Set("Retry-After", test.retryAfter)
					}
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			defer target.Close()
			config := Config{
				Streams: []Stream{{
					Name: "one", Service: "x", Path: "/", Rate: 1000, Stop: time.Nanosecond,
					Timeout: 30 * time.Second, Resends: 1, HonorsRetryAfter: test.honors,
				}},
				Targets:  []string{strings.TrimPrefix(target.URL, "http://")},
				Duration: time.Second,
			}
			input, err := json.Marshal(config)
			is.NoErr(err)
			var output bytes.Buffer
			is.NoErr(ServeProcess(t.Context(), bytes.NewReader(input), &output))
			var results []Result
			is.NoErr(json.Unmarshal(output.Bytes(), &results))
			is.Equal(len(results), 1)
			is.Equal(results[0].Sends, test.sends)
			is.Equal(results[0].OK(), test.sends == 2)
			is.True(results[0].Latency >= test.atLeast)
		})
	}
}
