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

// pipe is a listener with one connection.
type pipe struct {
	net.Listener
	conns chan net.Conn
	once  sync.Once
}

func (p *pipe) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipe) Close() error {
	p.once.Do(func() { close(p.conns) })
	return nil
}

// A request that came in at a leaving node and runs elsewhere is not cut while the node drains, nor is one that comes
// on a connection that is still open.
func TestShutdownWaitsWhileTheNodeDrains(t *testing.T) {
	const drains = 30 * time.Second
	for name, tc := range map[string]struct {
		sent     time.Duration
		takes    time.Duration
		answered bool
	}{
		"ends while the node drains":   {takes: drains, answered: true},
		"is being answered at the end": {takes: drains + shutdownTimeout/2, answered: true},
		"comes while the node drains":  {sent: drains / 2, takes: time.Second, answered: true},
		"goes on long after the end":   {takes: drains + 2*shutdownTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				status := statusAfterShutdown(t, tc.sent, tc.takes, drains)
				is.Equal(status == http.StatusOK, tc.answered)
			})
		})
	}
}

// statusAfterShutdown returns the status of a request on a connection that was open when the server began to shut down,
// after a second.
func statusAfterShutdown(t *testing.T, sent, takes, drains time.Duration) int {
	ours, theirs := net.Pipe()
	l := &pipe{conns: make(chan net.Conn, 1)}
	l.conns <- theirs
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { pause.For(r.Context(), takes) })}
	working, stop := context.WithTimeout(t.Context(), drains)
	defer stop()
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = server.Serve(l) })
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://node/", http.NoBody)
	is.New(t).NoErr(err)
	group.Go(func() {
		time.Sleep(time.Second)
		shutdown(working, server, l)
	})
	time.Sleep(sent)
	is.New(t).NoErr(request.Write(ours))
	response, err := http.ReadResponse(bufio.NewReader(ours), request)
	if err != nil {
		return 0
	}
	return response.StatusCode
}
