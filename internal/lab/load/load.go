// Package load is an open-loop load generator: it sends requests at a given rate, whether or not earlier requests were
// answered, and records the outcome that each caller received.
//
// # Usage
//
//	results := load.Run(ctx, load.Config{Streams: streams, Targets: addresses, Duration: 10 * time.Second})
package load

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
)

// Stream is a series of requests of one kind at one rate.
type Stream struct {
	Name    string
	Service string
	Method  string
	Path    string
	Body    string
	Rank    int
	// Caller is the name that the caller gives in its requests; empty to be identified by its IP.
	Caller string
	// Rate is in requests per second.
	Rate  float64
	Start time.Duration
	// Stop is when the stream ends; 0 for the end of the run.
	Stop time.Duration
	// Resends is how often a caller resends a failed request.
	Resends int
	// HonorsRetryAfter makes the callers wait before they resend as long as the response says, and not resend if that is
	// after their timeout. Other callers resend at once.
	HonorsRetryAfter bool
	// Direct sends the requests directly to the backend servers at Targets, bypassing the nodes.
	Direct bool
	// Targets, if set, replace those of the Config.
	Targets []string
	// Added marks the load that a trigger adds to the ordinary stream of the same name.
	Added bool
	// Timeout is how long the caller waits for a response. It is also the deadline that the caller sends.
	Timeout time.Duration
}

// path returns the path of the requests' URL.
func (s Stream) path() string {
	if s.Direct {
		return s.Path
	}
	return "/call/" + s.Service + s.Path
}

// Config configures a run.
type Config struct {
	Streams []Stream
	// Targets are the caller addresses of nodes.
	Targets  []string
	Duration time.Duration
	Seed     uint64
	// Connections limits the requests in flight of all streams together; 0 for as many as the process can open
	// connections for.
	Connections int
}

// Result is the outcome of one request as seen by its caller.
type Result struct {
	Stream string `json:"stream"`
	// Added, Service and Path are copied from the stream.
	Added   bool   `json:"added,omitempty"`
	Service string `json:"service"`
	Path    string `json:"path"`
	Rank    int    `json:"rank"`
	ID      string `json:"id"`
	// Sent is the time from the start of the run to the first send, and Lateness that from when it was due to then.
	// Latency is the time from the first send to the end of the last.
	Sent     time.Duration `json:"sent"`
	Lateness time.Duration `json:"lateness"`
	Latency  time.Duration `json:"took"`
	Status   int           `json:"status"`
	Outcome  string        `json:"outcome"`
	Reason   string        `json:"reason"`
	// RetryAfter is the Retry-After header of the last response.
	RetryAfter string `json:"retry_after,omitempty"`
	Sends      int    `json:"sends"`
}

// OK reports whether the caller received a complete successful response.
func (r Result) OK() bool {
	return r.Status == http.StatusOK
}

// Run sends all streams and returns the results of all requests.
func Run(ctx context.Context, config Config) []Result {
	g := &generator{
		config: config,
		start:  time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerTarget}},
	}
	ctx, cancel := context.WithTimeout(ctx, config.Duration+completionTimeout)
	defer cancel()
	var group conc.WaitGroup
	shares := divideConnections(cmp.Or(config.Connections, maxConnections()), config.Streams)
	for i, s := range config.Streams {
		random := rand.New(rand.NewPCG(config.Seed, uint64(i)))
		limiter := make(connectionLimiter, shares[i])
		group.Go(func() { g.sendStream(ctx, s, limiter, random) })
	}
	group.Wait()
	return g.results
}

const (
	// idlePerTarget is the number of idle connections kept to each target.
	idlePerTarget = 256
	// completionTimeout is how long requests may take after the end of the streams.
	completionTimeout = 10 * time.Second
)

// generator sends the streams of one run and collects the results.
type generator struct {
	config Config
	start  time.Time
	client *http.Client

	mu      sync.Mutex
	results []Result
}

// sendStream sends the requests of a stream at random times, as a Poisson process of its rate.
func (g *generator) sendStream(ctx context.Context, s Stream, limiter connectionLimiter, random *rand.Rand) {
	stop := g.config.Duration
	if s.Stop > 0 {
		stop = min(stop, s.Stop)
	}
	targets := g.config.Targets
	if len(s.Targets) > 0 {
		targets = s.Targets
	}
	var group conc.WaitGroup
	defer group.Wait()
	next := s.Start
	for number := 0; next < stop; number++ {
		if !pause.Until(ctx, g.start.Add(next)) {
			return
		}
		target := targets[random.IntN(len(targets))]
		id := fmt.Sprintf("%s-%d-%d", s.Name, s.Start.Milliseconds(), number)
		due := next
		group.Go(func() { g.request(ctx, s, limiter, target, id, due) })
		next += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
	}
}

// request sends one request that is due at a time from the start of the run, and resends it if it fails.
func (g *generator) request(ctx context.Context, s Stream, limiter connectionLimiter, target, id string, due time.Duration) {
	result := Result{
		Stream:  s.Name,
		Added:   s.Added,
		Service: s.Service,
		Path:    s.Path,
		Rank:    s.Rank,
		ID:      id,
		Sent:    time.Since(g.start),
	}
	result.Lateness = result.Sent - due
	begin := time.Now()
	for result.Sends <= s.Resends && ctx.Err() == nil {
		result.Sends++
		g.sendOnce(ctx, s, limiter, target, &result)
		if result.OK() || time.Since(begin) > s.Timeout || !s.waitToResend(ctx, begin.Add(s.Timeout), result.RetryAfter) {
			break
		}
	}
	result.Latency = time.Since(begin)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, result)
}

// waitToResend waits as long as the Retry-After of a response says, if the stream's callers do. It reports false if that is
// after their timeout.
func (s Stream) waitToResend(ctx context.Context, timeout time.Time, retryAfter string) bool {
	if !s.HonorsRetryAfter || retryAfter == "" {
		return true
	}
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	at := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	return err == nil && at.Before(timeout) && pause.Until(ctx, at)
}

func (g *generator) sendOnce(ctx context.Context, s Stream, limiter connectionLimiter, target string, result *Result) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	result.Status, result.Outcome, result.Reason, result.RetryAfter = 0, "", "", ""
	if !limiter.tryAcquire() {
		result.Reason = NoConnection
		return
	}
	defer limiter.release()
	address := "http://" + target + s.path()
	request, err := http.NewRequestWithContext(ctx, s.Method, address, strings.NewReader(s.Body))
	if err != nil {
		return
	}
	request.Header.Set(server.RequestHeader, result.ID)
	request.Header.Set(caller.DeadlineHeader, fmt.Sprint(s.Timeout.Milliseconds()))
	if s.Caller != "" {
		request.Header.Set(caller.CallerHeader, s.Caller)
	}
	response, err := g.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return
	}
	result.Status = response.StatusCode
	result.Outcome = response.Header.Get(caller.OutcomeHeader)
	result.Reason = response.Header.Get(caller.ReasonHeader)
	result.RetryAfter = response.Header.Get("Retry-After")
}
