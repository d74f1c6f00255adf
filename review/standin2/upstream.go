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
	"time"
)

// The headers of the protocol.
const (
	idHeader        = "X-Comfreyhoist-Request-Id"
	deadlineHeader  = "X-Comfreyhoist-Deadline-Ms"
	instanceHeader  = "X-Comfreyhoist-Expected-Instance"
	ownIDHeader     = "X-Comfreyhoist-Instance-Id"
	signatureHeader = "X-Comfreyhoist-Server-Signature"
	notRunHeader    = "X-Comfreyhoist-Not-Executed"
	loadHeader      = "X-Comfreyhoist-Server-Load"
)

// arrival is a request that reached an upstream.
type arrival struct {
	upstream *upstream
	instance string
	id, path string
	at       time.Time
	// ended is when the upstream stopped work on the request; zero while it works. dropped is whether it did so because the
	// connection was closed.
	ended   time.Time
	dropped bool
}

// upstream is a backend server. It runs up to slots requests at once, queues a few more and rejects the rest.
type upstream struct {
	m     *machine
	slots int
	// work returns how long a request takes, and whether it crashes the upstream.
	work func(r *http.Request) (time.Duration, bool)
	// padding follows the text of each answer.
	padding string

	mu       sync.Mutex
	id       string
	born     time.Time
	sequence uint64
	state    string
	silent   bool
	// clockOffset is how far the machine's time of day is ahead of the true time.
	clockOffset time.Duration
	server      *http.Server
	permits     chan struct{}
	present     int
	arrivals    []*arrival
}

// newUpstream starts the backend server beside the machine's node.
func (m *machine) newUpstream(slots int, work func(r *http.Request) (time.Duration, bool)) (*upstream, error) {
	u := &upstream{m: m, slots: slots, work: work}
	if err := u.start(); err != nil {
		return nil, err
	}
	m.d.group.Go(func() {
		for m.d.ctx.Err() == nil {
			u.ping()
			sleep(m.d.ctx, heartbeat)
		}
	})
	return u, nil
}

// start begins a new boot of the upstream under a new id.
func (u *upstream) start() error {
	return u.startAs(fmt.Sprintf("i-%s-%x", u.m.name, time.Now().UnixMilli()))
}

// startAs begins a new boot of the upstream under the id.
func (u *upstream) startAs(id string) error {
	l, err := net.Listen("tcp", u.m.appServer)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.id, u.born, u.sequence, u.state, u.silent = id, time.Now().Add(u.clockOffset), 0, "ready", false
	u.permits, u.present = make(chan struct{}, u.slots), 0
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.serve(w, r, id) })
	u.server = server
	u.m.d.record.printf("upstream %s of %s started, born %d", u.id, u.m.service, u.born.UnixMilli())
	context.AfterFunc(u.m.d.ctx, func() { _ = server.Close() })
	u.m.d.group.Go(func() { _ = server.Serve(l) })
	return nil
}

// end ends the upstream at once, with all its connections.
func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = true
	u.m.d.record.printf("upstream %s ended", u.id)
	_ = u.server.Close()
}

// ping sends a heartbeat and returns whether it was acknowledged.
func (u *upstream) ping() bool {
	u.mu.Lock()
	if u.silent {
		u.mu.Unlock()
		return false
	}
	u.sequence++
	id, state := u.id, u.state
	body, _ := json.Marshal(map[string]any{ // strings and numbers always encode
		"address": u.m.appServer, "born": u.born.UnixMilli(),
		"info":   map[string]any{"service": u.m.service, "version": "v1", "zone": u.m.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "sequence": u.sequence, "cold-remaining": "0ms"},
	})
	u.mu.Unlock()
	return u.m.tell(http.MethodPut, id, body)
}

// tell sends a call about the upstream to the node beside it and returns whether it was acknowledged.
func (m *machine) tell(method, id string, body []byte) bool {
	r, err := http.NewRequest(method, "http://"+m.control+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// serve handles a request as the protocol says.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request, id string) {
	now := time.Now()
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	w.Header().Set(ownIDHeader, id)
	if r.URL.Path == "/healthz" {
		return
	}
	if expected := r.Header.Get(instanceHeader); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	isFull := u.present >= 3*u.slots
	if !isFull {
		u.present++
	}
	present, permits := u.present, u.permits
	a := &arrival{upstream: u, instance: id, id: r.Header.Get(idHeader), path: r.URL.Path, at: now}
	u.arrivals = append(u.arrivals, a)
	u.mu.Unlock()
	w.Header().Set(loadHeader, fmt.Sprintf("%d,%d,%d", min(present, u.slots), max(present-u.slots, 0), u.slots))
	if isFull {
		u.m.d.record.printf("upstream %s rejects %s", id, a.id)
		u.finish(a, false)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		u.mu.Lock()
		u.present--
		u.mu.Unlock()
	}()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case permits <- struct{}{}:
		defer func() { <-permits }()
	case <-r.Context().Done():
		u.finish(a, true)
		return
	}
	u.m.d.record.printf("upstream %s runs %s %s %s, %s ms left", id, a.id, r.Method, a.path, r.Header.Get(deadlineHeader))
	length, crashes := u.work(r)
	if crashes {
		u.m.d.record.printf("upstream %s crashes while it runs %s", id, a.id)
		u.end()
		return
	}
	status := http.StatusOK
	if left, err := strconv.Atoi(r.Header.Get(deadlineHeader)); err == nil && time.Duration(left)*time.Millisecond < length {
		length, status = time.Duration(left)*time.Millisecond, http.StatusGatewayTimeout
	}
	isDropped := !sleep(r.Context(), length)
	u.finish(a, isDropped)
	if isDropped {
		u.m.d.record.printf("upstream %s drops %s, its connection is closed", id, a.id)
		return
	}
	text := fmt.Sprintf("%s %s %s by %s, %d bytes", r.Method, r.URL.RequestURI(), a.id, id, len(body))
	h := fnv.New64a()
	_, _ = io.WriteString(h, text)
	w.Header().Set(signatureHeader, strconv.FormatUint(h.Sum64(), 16))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+u.padding) // an error means that the node has closed the connection
	u.m.d.record.printf("upstream %s ends %s with %d", id, a.id, status)
}

func (u *upstream) finish(a *arrival, dropped bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a.ended, a.dropped = time.Now(), dropped
}

// list returns copies of the arrivals.
func (u *upstream) list() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []arrival
	for _, a := range u.arrivals {
		list = append(list, *a)
	}
	return list
}

// sleep waits and reports whether the context lasted.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
