package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// segmentSize and receiveBuffer give a connection the windows of a link between machines in place of those of the
	// loopback device, whose buffers hold megabytes.
	segmentSize   = 1400
	receiveBuffer = 4 << 10
)

// call is one request of a client, and what became of it.
type call struct {
	id, method, path, body string
	budget                 time.Duration
	// withClose says that the client sends Connection: close.
	withClose bool

	sent, ended time.Time
	// status is 0 if no byte of an answer's header was complete.
	status   int
	length   int
	complete bool
	err      error
}

var lastID atomic.Uint64

func newCall(method, path string, budget time.Duration) *call {
	return &call{id: fmt.Sprintf("%016x", lastID.Add(1)), method: method, path: path, budget: budget}
}

func (c *call) String() string {
	switch {
	case c.complete:
		return fmt.Sprintf("%s %s: %d, whole, %d bytes, %.3f s after it was sent", c.id, c.path, c.status, c.length, c.ended.Sub(c.sent).Seconds())
	case c.status != 0:
		return fmt.Sprintf("%s %s: %d, broken off after %d bytes, %.3f s after it was sent: %v", c.id, c.path, c.status, c.length, c.ended.Sub(c.sent).Seconds(), c.err)
	}
	return fmt.Sprintf("%s %s: no answer, the connection ended %.3f s after it was sent: %v", c.id, c.path, c.ended.Sub(c.sent).Seconds(), c.err)
}

// text returns the request as it is sent.
func (c *call) text(host string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.method, c.path, host, idHeader, c.id, deadlineHeader, c.budget.Milliseconds())
	if c.withClose {
		b.WriteString("Connection: close\r\n")
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	return b.String()
}

// dialClient connects to the outbound address of the machine.
func dialClient(m *machine) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize),
			)
		})
		return errors.Join(err, failure)
	}}
	return dialer.Dial("tcp", m.address(outboundPort))
}

// steadyReader reads a connection at a steady rate; 0 means as fast as it can.
type steadyReader struct {
	conn      io.Reader
	perSecond int
	began     time.Time
	taken     int
}

// Read waits until the next bytes are due.
func (s *steadyReader) Read(p []byte) (int, error) {
	const chunk = 4 << 10
	if s.perSecond == 0 {
		return s.conn.Read(p)
	}
	if s.began.IsZero() {
		s.began = time.Now()
	}
	time.Sleep(time.Until(s.began.Add(time.Duration(s.taken) * time.Second / time.Duration(s.perSecond))))
	n, err := s.conn.Read(p[:min(len(p), chunk)])
	s.taken += n
	return n, err
}

// exchange sends the calls behind each other on one connection and reads the answers in their order, at the rate.
func exchange(m *machine, host string, perSecond int, calls ...*call) {
	conn, err := dialClient(m)
	if err != nil {
		endAll(err, calls)
		return
	}
	defer func() { _ = conn.Close() }()
	exchangeOn(conn, host, perSecond, calls...)
}

// endAll records that none of the calls could be sent.
func endAll(err error, calls []*call) {
	for _, c := range calls {
		c.sent, c.ended, c.err = time.Now(), time.Now(), err
	}
}

// exchangeOn is like exchange, on a connection that is open. Nobody else may have read from it in part.
func exchangeOn(conn net.Conn, host string, perSecond int, calls ...*call) {
	var text strings.Builder
	for _, c := range calls {
		c.sent = time.Now()
		text.WriteString(c.text(host))
	}
	if _, err := io.WriteString(conn, text.String()); err != nil {
		endAll(err, calls)
		return
	}
	var err error
	reader := bufio.NewReader(&steadyReader{conn: conn, perSecond: perSecond})
	for _, c := range calls {
		if err == nil {
			_ = conn.SetReadDeadline(c.sent.Add(c.budget))
			err = c.readAnswer(reader)
		}
		c.ended, c.err = time.Now(), err
	}
}

func (c *call) readAnswer(reader *bufio.Reader) error {
	request, err := http.NewRequest(c.method, "http://"+"localhost"+c.path, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return err
	}
	c.status = response.StatusCode
	length, err := io.Copy(io.Discard, response.Body)
	c.length = int(length)
	if err != nil {
		return err
	}
	if got := response.Header.Get(idHeader); c.status == http.StatusOK && got != c.id {
		return fmt.Errorf("the answer belongs to %q", got)
	}
	c.complete = true
	return nil
}
