package peer

import (
	"net"
	"sync"
	"sync/atomic"
)

const (
	// smallReplyBytes is the size up to which any number of replies is received at once, in bytes.
	smallReplyBytes = 64 << 10
	// maxLargeReplies is how many larger replies are received at once, on all connections together.
	maxLargeReplies = 16
)

// largeReplies limits how many large replies are received at once, so that little memory is needed whatever other nodes send.
type largeReplies struct {
	permits chan struct{}
}

func newLargeReplies() *largeReplies {
	return &largeReplies{permits: make(chan struct{}, maxLargeReplies)}
}

// replyLimiter is a connection to another node on which large replies wait for a permit. While a reply waits, nothing is read,
// so that the other node stops sending.
type replyLimiter struct {
	net.Conn
	replies *largeReplies

	// received is the number of bytes since the last write, and hasPermit whether the reply has a permit.
	received  atomic.Int64
	hasPermit atomic.Bool
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
}

func newReplyLimiter(conn net.Conn, replies *largeReplies) *replyLimiter {
	return &replyLimiter{Conn: conn, replies: replies, closed: make(chan struct{})}
}

// Read reads from the connection. It waits until the reply, if it is large, has a permit.
func (l *replyLimiter) Read(p []byte) (int, error) {
	if l.received.Load() >= smallReplyBytes && !l.hasPermit.Load() && !l.waitForPermit() {
		return 0, net.ErrClosed
	}
	n, err := l.Conn.Read(p)
	l.received.Add(int64(n))
	return n, err
}

// waitForPermit waits for a permit. It reports false if the connection is closed.
func (l *replyLimiter) waitForPermit() bool {
	select {
	case l.replies.permits <- struct{}{}:
		l.hasPermit.Store(true)
	case <-l.closed:
		return false
	}
	select {
	case <-l.closed:
		l.releasePermit()
		return false
	default:
		return true
	}
}

func (l *replyLimiter) releasePermit() {
	if l.hasPermit.CompareAndSwap(true, false) {
		<-l.replies.permits
	}
}

// Write writes to the connection. A node writes when an RPC begins or has ended, so the reply before has been received.
func (l *replyLimiter) Write(p []byte) (int, error) {
	l.received.Store(0)
	l.releasePermit()
	return l.Conn.Write(p)
}

// Close closes the connection.
func (l *replyLimiter) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	l.releasePermit()
	return l.Conn.Close()
}
