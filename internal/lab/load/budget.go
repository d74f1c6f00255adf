package load

import (
	"cmp"
	"math"
	"slices"
	"syscall"
)

const (
	// connectionFileRatio is the part of the files that the process may open which goes to callers' connections. The other ends
	// of the fleet that stand in the same process need the rest.
	connectionFileRatio = 0.4
	// minConnections is what each stream may have at least.
	minConnections = 64
	// timeoutsPerRequest is for how many times its patience each request of a stream may be on its way with its resends, and some room.
	timeoutsPerRequest = 3
)

// maxConnections returns how many connections all streams together may have by what the process may open.
func maxConnections() int {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return minConnections
	}
	return int(math.Min(connectionFileRatio*float64(files.Cur), math.MaxInt32))
}

// divideConnections shares the connections out between the streams. Those that need few get all that they need, so that a flood
// can't take the connections of the others: what it sends beyond its own is not sent at all.
func divideConnections(connections int, streams []Stream) []int {
	order := make([]int, len(streams))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(streams[a].neededConnections(), streams[b].neededConnections()) })
	shares := make([]int, len(streams))
	for served, i := range order {
		equal := connections / (len(order) - served)
		shares[i] = max(min(streams[i].neededConnections(), equal), 1)
		connections -= shares[i]
	}
	return shares
}

// neededConnections is how many connections the stream has at most while nothing bounds it.
func (s Stream) neededConnections() int {
	return max(minConnections, int(min(timeoutsPerRequest*s.Rate*s.Timeout.Seconds(), math.MaxInt32)))
}

// NoConnection is the reason of a request for which its caller had no connection left.
const NoConnection = "no_connection"

// connectionLimiter are those that one stream may have.
type connectionLimiter chan struct{}

// tryAcquire takes a connection, and reports false where there is none. Waiting would use up the caller's patience, and so
// send requests that their caller gives up right away.
func (c connectionLimiter) tryAcquire() bool {
	select {
	case c <- struct{}{}:
		return true
	default:
		return false
	}
}

func (c connectionLimiter) release() {
	<-c
}
