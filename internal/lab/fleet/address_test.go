package fleet

import (
	"context"
	"net"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// An outgoing connection from a node's IP must not take the port of a node that has not started yet.
func TestNodePortsAreNotUsedByOutgoingConnections(t *testing.T) {
	is := is.New(t)
	const ip, lowestOutgoing = "127.251.251.1", 32768
	first, err := freeAddresses(ip, 5)
	is.NoErr(err)
	taken, err := net.Listen("tcp", first[0])
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	second, err := freeAddresses(ip, 5)
	is.NoErr(err)
	is.True(second[0] != first[0])
	for _, address := range append(first, second...) {
		_, port, err := net.SplitHostPort(address)
		is.NoErr(err)
		number, err := strconv.Atoi(port)
		is.NoErr(err)
		is.True(number < lowestOutgoing)
	}
}

// Guards against ports that look free but are in use when other tests start processes at the same time: a process that
// is being started briefly holds copies of all sockets.
func TestPortsAreFreeWhileProcessesStart(t *testing.T) {
	is := is.New(t)
	const ip = "127.251.251.2"
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	for range 4 {
		group.Go(func() {
			for ctx.Err() == nil {
				_ = exec.Command("true").Run()
			}
		})
	}
	for range 100 {
		addresses, err := freeAddresses(ip, 5)
		is.NoErr(err)
		l, err := net.Listen("tcp", addresses[4])
		is.NoErr(err)
		is.NoErr(l.Close())
		pause.For(ctx, processStartTime)
	}
}

// processStartTime is long enough for processes that were being started when the test closed its listener to begin
// their program and release their copies of the socket.
const processStartTime = 10 * time.Millisecond
