package load

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDivideConnections(t *testing.T) {
	small := Stream{Rate: 150, Timeout: time.Second}
	flood := Stream{Rate: 5000, Timeout: 2 * time.Second}
	tests := map[string]struct {
		connections int
		streams     []Stream
		want        []int
	}{
		"enough for all":                          {40000, []Stream{flood, small}, []int{30000, 450}},
		"a flood gets the remaining connections":  {8000, []Stream{small, flood, small}, []int{450, 7100, 450}},
		"too few connections are divided equally": {100, []Stream{small, flood}, []int{50, 50}},
		"at least one connection each":            {1, []Stream{small, flood}, []int{1, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(divideConnections(test.connections, test.streams), test.want)
		})
	}
}

// A flood that exceeds the capacity of the target must stay within its connection limit, and the requests beyond the
// limit must be reported as unsent.
func TestFloodStaysWithinItsConnectionLimit(t *testing.T) {
	is := is.New(t)
	const limit = 10
	var open, peak atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		now := open.Add(1)
		defer open.Add(-1)
		if now > peak.Load() {
			peak.Store(now)
		}
		time.Sleep(200 * time.Millisecond)
	}))
	defer target.Close()
	results := Run(t.Context(), Config{
		Streams:     []Stream{{Name: "flood", Service: "x", Path: "/", Rate: 200, Timeout: time.Minute}},
		Targets:     []string{strings.TrimPrefix(target.URL, "http://")},
		Duration:    500 * time.Millisecond,
		Connections: limit,
	})
	unsent := 0
	for _, r := range results {
		if r.Reason == NoConnection {
			unsent++
		}
	}
	is.Equal(peak.Load(), int32(limit))
	is.True(unsent > 0)
	is.True(len(results)-unsent >= limit)
}
