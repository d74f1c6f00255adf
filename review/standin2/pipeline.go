package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

func init() { cases["pipeline"] = playPipeline }

const (
	// pipelined is the number of lookups that a client sends before the first answer, and pipeliningClients that of clients.
	pipelined         = 3
	pipeliningClients = 12
	// answerBytes is the size of an answer. A client reads readBytes of it in readPause.
	answerBytes = 400 << 10
	readBytes   = 32 << 10
	readPause   = 10 * time.Millisecond
	// sendPause is the time between two lookups in a pipeline.
	sendPause = 20 * time.Millisecond
)

// playPipeline stops and starts a node while clients send lookups in a pipeline and read the answers slowly.
func playPipeline(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	var upstreams []*upstream
	for _, service := range []string{"archive", "archive", "crews"} {
		m, err := d.addMachine(service)
		if err != nil {
			return false, err
		}
		u, err := m.newUpstream(36, func(*http.Request) (time.Duration, bool) { return 100 * time.Millisecond, false })
		if err != nil {
			return false, err
		}
		u.padding = strings.Repeat("x", answerBytes)
		upstreams = append(upstreams, u)
	}
	err := d.configure([]route{{
		Name: "browse", Host: "browse.example", Prefix: "/browse/", Kind: "safe", Timeout: "3000ms", Target: "1500ms", Priority: 1,
		Service: "archive", MaxAttempts: 2,
	}}, "archive", "crews")
	if err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	sleep(ctx, 2*contact)
	entry := d.machines[2]
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	cut := &lostRequests{}
	var clients conc.WaitGroup
	for range pipeliningClients {
		clients.Go(func() {
			for load.Err() == nil {
				entry.browse(load, cut)
				sleep(load, 200*time.Millisecond)
			}
		})
	}
	sleep(ctx, contact+time.Second)
	if trouble {
		if err := entry.terminate(); err != nil {
			return false, err
		}
	}
	sleep(ctx, 2*contact)
	stopLoad()
	clients.Wait()
	ran := map[string]bool{}
	for _, u := range upstreams {
		for _, a := range u.list() {
			ran[a.id] = true
		}
	}
	broken := 0
	for _, id := range cut.ids {
		if ran[id] {
			broken++
		}
	}
	d.record.printf("requests that reached an upstream and whose connection ended without a whole answer: %d", broken)
	return broken > 0, nil
}

// browse sends lookups in a pipeline on one connection until the connection or the context ends.
func (m *machine) browse(ctx context.Context, cut *lostRequests) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", m.outbound)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(slowReader{conn})
	for ctx.Err() == nil {
		ids, err := m.sendPipelined(conn)
		if err != nil {
			return
		}
		for _, id := range ids {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				m.d.record.printf("client got no answer to %s: %v", id, err)
				cut.add(id)
				return
			}
			length, err := io.Copy(io.Discard, response.Body)
			if err != nil {
				m.d.record.printf("client got %d bytes of %d of the answer to %s: %v", length, response.ContentLength, id, err)
				cut.add(id)
				return
			}
			m.d.record.printf("client got %d and %d bytes for %s", response.StatusCode, length, id)
			if response.Close {
				return
			}
		}
	}
}

// sendPipelined sends lookups one after the other, without waiting for their answers, and returns their ids.
func (m *machine) sendPipelined(conn net.Conn) ([]string, error) {
	var ids []string
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	for range pipelined {
		id := fmt.Sprintf("r%06d", requestNumber.Add(1))
		ids = append(ids, id)
		m.d.record.printf("client sends %s to %s", id, m.name)
		text := fmt.Sprintf("GET /browse/records HTTP/1.1\r\nHost: browse.example\r\n%s: %s\r\n%s: 6000\r\n\r\n", idHeader, id, deadlineHeader)
		if _, err := io.WriteString(conn, text); err != nil {
			return nil, err
		}
		time.Sleep(sendPause)
	}
	return ids, nil
}

// slowReader reads at most readBytes in readPause.
type slowReader struct {
	io.Reader
}

// Read reads after a pause.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return r.Reader.Read(p[:min(len(p), readBytes)])
}

// lostRequests holds the ids of requests that ended without a whole answer.
type lostRequests struct {
	mu  sync.Mutex
	ids []string
}

func (l *lostRequests) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, id)
}
