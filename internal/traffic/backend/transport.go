package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// keptFor is how long an unused connection is kept where the backend server says nothing else.
	keptFor = 4 * time.Second
	// keptMargin is how much sooner than the backend server a connection is closed.
	keptMargin = 500 * time.Millisecond
	// longBody is the size in bytes from which on a request is written while its answer is awaited: the backend server may
	// answer before it has read all.
	longBody = 16 << 10
)

// transport keeps connections to the local backend server. It does less than the library's: a request is written and its answer read by
// the goroutine that waits for it, never sent twice, and an answer that belongs to an earlier request is told apart.
type transport struct {
	dialer dialer

	mu      sync.Mutex
	address string
	// idle are the connections that nobody uses, the one used last at the end.
	idle []*keptConn
}

// take returns a connection to the address that one request has to itself.
func (t *transport) take(ctx context.Context, address string) (*keptConn, error) {
	for {
		kept := t.pop(address)
		if kept == nil {
			break
		}
		if kept.isFit(time.Now()) {
			return kept, nil
		}
		_ = kept.Close()
	}
	conn, err := t.dialer.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newKeptConn(conn), nil
}

// pop takes out the idle connection that was used last, or returns nil. Those to another address are of a former backend server.
func (t *transport) pop(address string) *keptConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address != address {
		t.closeIdle(len(t.idle))
		t.address = address
	}
	last := len(t.idle) - 1
	if last < 0 {
		return nil
	}
	kept := t.idle[last]
	t.idle = t.idle[:last]
	return kept
}

// put keeps a connection for the next request.
func (t *transport) put(address string, kept *keptConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address != address {
		_ = kept.Close()
		return
	}
	now := time.Now()
	old := 0
	for old < len(t.idle) && !now.Before(t.idle[old].until) {
		old++
	}
	t.closeIdle(old)
	t.idle = append(t.idle, kept)
}

// closeIdle closes so many of the connections, those that were idle longest first.
func (t *transport) closeIdle(count int) {
	for _, kept := range t.idle[:count] {
		_ = kept.Close()
	}
	t.idle = slices.Delete(t.idle, 0, count)
}

// setMost bounds the connections, and closes those that are idle.
func (t *transport) setMost(connections int) {
	t.dialer.setMost(connections)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeIdle(len(t.idle))
}

// keptConn is a connection to the backend server that may serve several requests, one after the other.
type keptConn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	// used says that it has served a request, so that a late answer to that may come.
	used bool
	// keep is how long it may be idle, by the last answer, and until when it is now.
	keep  time.Duration
	until time.Time
	// written is closed when the present request is written, whole is then true unless that failed.
	written chan struct{}
	whole   bool
}

func newKeptConn(conn net.Conn) *keptConn {
	kept := &keptConn{Conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}
	if s, ok := conn.(syscall.Conn); ok {
		kept.raw, _ = s.SyscallConn() // without it, the connection is taken for sound
	}
	return kept
}

// isFit reports whether another request may be sent: the backend server has neither closed the connection nor sent anything meanwhile.
func (k *keptConn) isFit(now time.Time) bool {
	if !now.Before(k.until) {
		return false
	}
	if k.raw == nil {
		return true
	}
	quiet := false
	err := k.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// send writes the request, and returns before that where it is long.
func (k *keptConn) send(t *transport, request *http.Request) error {
	k.written, k.whole = make(chan struct{}), false
	if request.ContentLength < longBody {
		defer close(k.written)
		return k.write(request)
	}
	t.dialer.group.Go(func() {
		defer close(k.written)
		_ = k.write(request) // that it failed shows in the answer, or in its absence
	})
	return nil
}

func (k *keptConn) write(request *http.Request) error {
	err := request.Write(k.writer)
	if err == nil {
		err = k.writer.Flush()
	}
	k.whole = err == nil
	return err
}

// receive reads the head of the next answer that is final.
func (k *keptConn) receive(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(k.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			k.keep = keepTime(response.Header.Get("Keep-Alive"))
			return response, nil
		}
	}
}

// mayServe reports whether the connection may serve another request after the answer, which was read whole, and notes for how long.
func (k *keptConn) mayServe(now time.Time, response *http.Response) bool {
	select {
	case <-k.written:
	default:
		return false // the backend server answered before it had read all
	}
	k.used = true
	k.until = now.Add(k.keep)
	return k.whole && !response.Close && k.reader.Buffered() == 0
}

// keepTime returns how long a connection may be kept, by the header in which the backend server tells how long it keeps it.
func keepTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(text)
		if found && err == nil {
			return min(max(time.Duration(seconds)*time.Second-keptMargin, 0), keptFor)
		}
	}
	return keptFor
}
