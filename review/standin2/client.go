package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// requestNumber numbers the requests.
var requestNumber atomic.Uint64

// request is one client attempt.
type request struct {
	method, host, path, body string
	// budget is the client's time budget. The client leaves after leave if that is not 0.
	budget, leave time.Duration
	// isLast is whether the client says that it sends no further request on the connection.
	isLast bool

	id       string
	sent     time.Time
	ended    time.Time
	status   int
	left     bool
	answer   string
	signed   bool
	complete bool
}

// do sends the request to the machine on a new connection, which is closed afterwards.
func (d *deployment) do(ctx context.Context, m *machine, r *request) {
	if r.id == "" {
		r.id = fmt.Sprintf("r%06d", requestNumber.Add(1))
	}
	r.sent = time.Now()
	defer func() {
		r.ended = time.Now()
		switch {
		case r.left:
			d.record.printf("client left %s", r.id)
		case !r.complete:
			d.record.printf("client got no whole answer to %s", r.id)
		default:
			d.record.printf("client got %d for %s, signed %v", r.status, r.id, r.signed)
		}
	}()
	d.record.printf("client sends %s %s %s%s to %s", r.id, r.method, r.host, r.path, m.name)
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	end := r.sent.Add(r.budget)
	if r.leave > 0 {
		end = r.sent.Add(r.leave)
	}
	_ = conn.SetDeadline(end)
	length := ""
	if r.method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if r.isLast {
		length += "Connection: close\r\n"
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s", r.method, r.path, r.host, idHeader, r.id,
		deadlineHeader, r.budget.Milliseconds(), length, r.body)
	if _, err := io.Copy(conn, strings.NewReader(text)); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.left = isTimeout(err)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.left = isTimeout(err)
		return
	}
	r.status, r.answer, r.complete, r.signed = response.StatusCode, string(body), true, response.Header.Get(signatureHeader) != ""
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}
