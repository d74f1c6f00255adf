package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// result is how one request of a client ended.
type result struct {
	id, method, path string
	via              *machine
	budget           time.Duration
	sent, ended      time.Time
	// status is 0 if the connection ended without a whole answer.
	status int
	signed bool
	by     string
	err    error
}

// clients sends requests through the nodes of machines, on kept connections.
type clients struct {
	record *record
	prefix string
	budget time.Duration
	http   *http.Client

	number  atomic.Uint64
	mu      sync.Mutex
	results []*result
	group   sync.WaitGroup
}

func newClients(r *record, prefix string, budget time.Duration) *clients {
	return &clients{record: r, prefix: prefix, budget: budget, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
	}}
}

// send sends one request and records its result. A path that ends with a slash gets the ID of the request behind it.
func (c *clients) send(m *machine, method, path string) *result {
	return c.sendWithin(m, method, path, c.budget)
}

// sendWithin is like send, with a time budget.
func (c *clients) sendWithin(m *machine, method, path string, budget time.Duration) *result {
	id := fmt.Sprintf("%s%06d", c.prefix, c.number.Add(1))
	if strings.HasSuffix(path, "/") {
		path += id
	}
	x := &result{id: id, method: method, path: path, via: m, budget: budget, sent: time.Now()}
	c.mu.Lock()
	c.results = append(c.results, x)
	c.mu.Unlock()
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("order "+id+" ", 20)
	}
	c.record.line("client sends %s %s %s to %s", id, method, x.path, m.name)
	x.status, x.signed, x.by, x.err = c.exchange(m, x, body)
	x.ended = time.Now()
	c.record.line("client gets %d for %s, signed %v: %s %v", x.status, id, x.signed, x.by, x.err)
	return x
}

func (c *clients) exchange(m *machine, x *result, body string) (int, bool, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), x.budget+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, x.method, "http://"+m.outbound+x.path, strings.NewReader(body))
	if err != nil {
		return 0, false, "", err
	}
	r.Host = host
	r.Header.Set(idHeader, x.id)
	r.Header.Set(deadlineHeader, strconv.FormatInt(x.budget.Milliseconds(), 10))
	response, err := c.http.Do(r)
	if err != nil {
		return 0, false, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false, "", err
	}
	return response.StatusCode, response.Header.Get(signatureHeader) != "", strings.TrimSpace(string(text)), nil
}

// load sends a request every interval until the context ends, through the machines in turn.
func (c *clients) load(ctx context.Context, interval time.Duration, method, path string, machines ...*machine) {
	for n := 0; ctx.Err() == nil; n++ {
		m := machines[n%len(machines)]
		c.group.Go(func() { c.send(m, method, path) })
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// statuses counts the results by method and status.
func (c *clients) statuses() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, x := range c.results {
		counts[x.method+" "+strconv.Itoa(x.status)]++
	}
	return counts
}
