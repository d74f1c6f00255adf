package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// singleConnListener accepts the connections in conns until it is closed. The test puts one connection into conns.
type singleConnListener struct {
	net.Listener
	conns chan net.Conn
	once  sync.Once
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *singleConnListener) Close() error {
	l.once.Do(func() { close(l.conns) })
	return nil
}

// Guards against shutdown closing the connection of a request while the node drains: a request that entered before the
// drain and runs on another node, or one that arrives on a connection that is still open.
func TestShutdownWaitsWhileTheNodeDrains(t *testing.T) {
	const drainTime = 30 * time.Second
	for name, tc := range map[string]struct {
		sendDelay time.Duration
		duration  time.Duration
		answered  bool
	}{
		"ends while the node drains":            {duration: drainTime, answered: true},
		"is being answered when the drain ends": {duration: drainTime + shutdownTimeout/2, answered: true},
		"arrives while the node drains":         {sendDelay: drainTime / 2, duration: time.Second, answered: true},
		"exceeds the shutdown timeout":          {duration: drainTime + 2*shutdownTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				status := statusAfterShutdown(t, tc.sendDelay, tc.duration, drainTime)
				is.Equal(status == http.StatusOK, tc.answered)
			})
		})
	}
}

// statusAfterShutdown returns the status of a request on an open connection of a server that begins to shut down after
// one second and drains until drainTime. The request is sent after sendDelay and runs for the given duration. The
// status is 0 if the connection ends without a response.
func statusAfterShutdown(t *testing.T, sendDelay, duration, drainTime time.Duration) int {
	clientConn, serverConn := net.Pipe()
	l := &singleConnListener{conns: make(chan net.Conn, 1)}
	l.conns <- serverConn
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { pause.For(r.Context(), duration) })}
	serving, stop := context.WithTimeout(t.Context(), drainTime)
	defer stop()
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = server.Serve(l) })
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://node/", http.NoBody)
	is.New(t).NoErr(err)
	group.Go(func() {
		time.Sleep(time.Second)
		shutdown(serving, server, l)
	})
	time.Sleep(sendDelay)
	is.New(t).NoErr(request.Write(clientConn))
	response, err := http.ReadResponse(bufio.NewReader(clientConn), request)
	if err != nil {
		return 0
	}
	return response.StatusCode
}
