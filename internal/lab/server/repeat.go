package server

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
)

// RepeatingListener simulates a faulty backend server that writes an earlier response once more, on the same connection,
// when the next request arrives. The copy may lack the header that identifies its request.
type RepeatingListener struct {
	net.Listener
	// IDHeader is the name of the header that half of the copies lack.
	IDHeader string
	// PerMille is how many of a thousand requests are preceded by a copy.
	PerMille atomic.Int64
}

// Accept waits for the next connection.
func (l *RepeatingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: conn, listener: l}, nil
}

// repeatingConn is a connection on which responses are repeated.
type repeatingConn struct {
	net.Conn
	listener *RepeatingListener

	mu sync.Mutex
	// refusal is the last response with an error status that was written at once; nil if there was none.
	refusal []byte
}

// minRequestSize is smaller than any request, and larger than what the HTTP server reads to detect that a connection was
// closed.
const minRequestSize = 16

// Read reads from the connection and repeats a response if a request has arrived.
func (c *repeatingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n >= minRequestSize && rand.Int64N(1000) < c.listener.PerMille.Load() {
		c.repeat()
	}
	return n, err
}

// repeat writes the last refusal once more.
func (c *repeatingConn) repeat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal == nil {
		return
	}
	response := c.refusal
	if rand.IntN(2) == 0 {
		response = withoutHeader(response, c.listener.IDHeader)
	}
	_, _ = c.Conn.Write(response)
}

// Write writes to the connection and remembers a refusal.
func (c *repeatingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.HasPrefix(p, []byte("HTTP/1.1 503 ")) {
		c.refusal = bytes.Clone(p)
	}
	return c.Conn.Write(p)
}

// withoutHeader returns the response without the lines of the header.
func withoutHeader(response []byte, name string) []byte {
	var kept []byte
	for line := range bytes.SplitAfterSeq(response, []byte("\n")) {
		if !bytes.HasPrefix(bytes.ToLower(line), append(bytes.ToLower([]byte(name)), ':')) {
			kept = append(kept, line...)
		}
	}
	return kept
}
