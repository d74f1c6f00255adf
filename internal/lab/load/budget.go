package load

import (
	"cmp"
	"math"
	"slices"
	"syscall"
)

const (
	// fileShare is the part of the files that the process may open which goes to callers' connections. The other ends
	// of the fleet that stand in the same process need the rest.
	fileShare = 0.4
	// fewestConnections is what each stream may have at least.
	fewestConnections = 64
	// waits is for how many times its patience each request of a stream may be on its way with its resends, and some room.
	waits = 3
)

// mostConnections returns how many connections all streams together may have by what the process may open.
func mostConnections() int {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return fewestConnections
	}
	return int(math.Min(fileShare*float64(files.Cur), math.MaxInt32))
}

// divide shares the connections out between the streams. Those that need few get all that they need, so that a flood
// can't take the connections of the others: what it sends beyond its own is not sent at all.
func divide(connections int, streams []Stream) []int {
	order := make([]int, len(streams))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(streams[a].needs(), streams[b].needs()) })
	shares := make([]int, len(streams))
	for done, i := range order {
		equal := connections / (len(order) - done)
		shares[i] = max(min(streams[i].needs(), equal), 1)
		connections -= shares[i]
	}
	return shares
}

// needs is how many connections the stream has at most while nothing bounds it.
func (s Stream) needs() int {
	return max(fewestConnections, int(min(waits*s.Rate*s.Timeout.Seconds(), math.MaxInt32)))
}

// NoConnection is the reason of a request for which its caller had no connection left.
const NoConnection = "no_connection"

// connections are those that one stream may have.
type connections chan struct{}

// take takes a connection, and reports false where there is none. Waiting would use up the caller's patience, and so
// send requests that their caller gives up right away.
func (c connections) take() bool {
	select {
	case c <- struct{}{}:
		return true
	default:
		return false
	}
}

func (c connections) free() {
	<-c
}
