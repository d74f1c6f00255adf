package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The headers of the platform's protocol.
const (
	idHeader        = "X-Comfreyhoist-Request-Id"
	deadlineHeader  = "X-Comfreyhoist-Deadline-Ms"
	expectedHeader  = "X-Comfreyhoist-Expected-Instance"
	callerHeader    = "X-Comfreyhoist-Caller-Service"
	signatureHeader = "X-Comfreyhoist-Server-Signature"
	notRunHeader    = "X-Comfreyhoist-Not-Executed"
	instanceHeader  = "X-Comfreyhoist-Instance-Id"
)

const (
	// heartbeat is the time between two pings, as in the settings of the sites.
	heartbeat = 1500 * time.Millisecond
	// pingTimeout is how long a ping waits for its acknowledgement.
	pingTimeout = time.Second
	// upstreamSlots is the number of slots where a case sets none.
	upstreamSlots = 36
	maxConns      = 928
)

// run is a request at an upstream.
type run struct {
	id, method, path string
	began            time.Time
	// ended is zero if the upstream ended first.
	ended time.Time
}

// upstream is an application server beside a node.
type upstream struct {
	record  *record
	machine *machine
	service string
	id      string
	slots   int
	// work returns how long a request takes, without its calls.
	work func() time.Duration
	// calls makes the calls of a request, which end at the deadline. Nil means that there are none. An upstream with calls goes on
	// with a request whose connection was closed.
	calls func(deadline time.Time)
	// poison is the path that crashes the upstream; empty if none does.
	poison string

	mu       sync.Mutex
	born     int64
	sequence uint64
	state    string
	runs     []*run
	server   *http.Server
	address  string
	pinging  atomic.Bool
}

// start begins to serve, on the address of an earlier start if there was one. born is the start as the clock of the machine
// shows it.
func (u *upstream) start(born time.Time) error {
	address := u.address
	if address == "" {
		address = net.JoinHostPort(u.machine.ip, "0")
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.address, u.born, u.sequence, u.state = l.Addr().String(), born.UnixMilli(), 0, "ready"
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	server := u.server
	u.mu.Unlock()
	u.machine.group.Go(func() { _ = server.Serve(l) })
	u.pinging.Store(true)
	u.record.line("upstream %s of %s starts at %s, born %d", u.id, u.service, u.address, u.born)
	return nil
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(instanceHeader, u.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get(idHeader)
	w.Header().Set(idHeader, id)
	if expected := r.Header.Get(expectedHeader); expected != "" && expected != u.id {
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	began := &run{id: id, method: r.Method, path: r.URL.RequestURI(), began: time.Now()}
	u.mu.Lock()
	running := 0
	for _, x := range u.runs {
		if x.ended.IsZero() {
			running++
		}
	}
	u.runs = append(u.runs, began)
	u.mu.Unlock()
	u.record.line("upstream %s runs %s %s %s, %d others running", u.id, id, r.Method, began.path, running)
	if u.poison != "" && r.URL.Path == u.poison {
		u.crash()
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	work, left := u.work(), time.Minute
	if number, err := strconv.Atoi(r.Header.Get(deadlineHeader)); err == nil {
		left = time.Duration(number) * time.Millisecond
	}
	dropped := r.Context().Done()
	if u.calls != nil {
		u.calls(began.began.Add(left))
		left -= time.Since(began.began)
		dropped = nil
	}
	select {
	case <-time.After(min(work, left)):
	case <-dropped:
		u.record.line("upstream %s drops %s: its connection was closed", u.id, id)
		u.endRun(began)
		return
	}
	u.endRun(began)
	text := answerOf(u.id, id, r.Method, began.path, body)
	if left < work {
		w.Header().Set(signatureHeader, sign(text))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set(signatureHeader, sign(text))
	_, _ = io.WriteString(w, text)
	u.record.line("upstream %s answers %s", u.id, id)
}

func (u *upstream) endRun(r *run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.ended = time.Now()
}

// downTime is how long an upstream is down after a crash.
const downTime = 2500 * time.Millisecond

// crash ends the upstream with all that it runs. It is back after downTime, under its ID.
func (u *upstream) crash() {
	u.pinging.Store(false)
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	u.record.line("upstream %s crashes", u.id)
	u.machine.group.Go(func() {
		_ = server.Close()
		time.Sleep(downTime)
		if err := u.start(time.Now()); err != nil {
			u.record.line("upstream %s doesn't start again: %v", u.id, err)
		}
	})
}

// runsAfter returns the runs that began after the time.
func (u *upstream) runsAfter(t time.Time) []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var later []run
	for _, r := range u.runs {
		if r.began.After(t) {
			later = append(later, *r)
		}
	}
	return later
}

func answerOf(instance, id, method, path string, body []byte) string {
	return fmt.Sprintf("%s of %s for %s by %s, %d bytes", method, path, id, instance, len(body))
}

func sign(text string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text)
	return strconv.FormatUint(h.Sum64(), 16)
}

// pingLoop pings the node on the machine every heartbeat while the upstream runs and wants to, until the context ends.
func (u *upstream) pingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if u.pinging.Load() {
			u.ping()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// ping sends the next ping and reports whether it was acknowledged.
func (u *upstream) ping() bool {
	u.mu.Lock()
	u.sequence++
	body := u.pingBody()
	u.mu.Unlock()
	return u.send(http.MethodPut, body)
}

// pingBody returns the body of a ping. The caller holds the lock.
func (u *upstream) pingBody() map[string]any {
	return map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.machine.zone, "slots": u.slots},
		"status": map[string]any{"state": u.state, "sequence": u.sequence, "cold-remaining": "0ms"},
	}
}

// send sends a call to the node on the machine and reports whether it was acknowledged.
func (u *upstream) send(method string, body map[string]any) bool {
	text := []byte{}
	if body != nil {
		text, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+u.machine.control+"/instances/"+u.id, bytes.NewReader(text))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		u.record.line("%s /instances/%s %s to %s: %v", method, u.id, text, u.machine.name, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	u.record.line("%s /instances/%s %s to %s: %d", method, u.id, text, u.machine.name, response.StatusCode)
	return response.StatusCode/100 == 2
}
