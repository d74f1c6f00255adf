package load

import (
	"cmp"
	"math"
	"slices"
	"syscall"
)

const (
	// connectionFileRatio is the fraction of the process's open-file limit that the callers' connections may use. The
	// other ends of connections that are in the same process, such as those of the backend servers, need the rest.
	connectionFileRatio = 0.4
	// minConnections is the smallest number of connections that neededConnections returns. It is also the limit of all
	// streams together if the open-file limit is unknown.
	minConnections = 64
	// timeoutsPerRequest is the longest time for which a request and its resends need a connection, as a multiple of
	// the stream's timeout. No resend begins after the first timeout, so that 2 is the maximum; the rest is a reserve.
	timeoutsPerRequest = 3
)

// maxConnections returns the connection limit of all streams together, based on the process's open-file limit.
func maxConnections() int {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return minConnections
	}
	return int(math.Min(connectionFileRatio*float64(files.Cur), math.MaxInt32))
}

// divideConnections divides the connections among the streams. Streams that need few get all that they need, so that a
// flood can't take the connections of the others: requests beyond a stream's limit are not sent at all.
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

// neededConnections returns the largest number of connections that the stream uses without a limit.
func (s Stream) neededConnections() int {
	return max(minConnections, int(min(timeoutsPerRequest*s.Rate*s.Timeout.Seconds(), math.MaxInt32)))
}

// NoConnection is the reason of a request that was not sent because its stream had no connection left.
const NoConnection = "no_connection"

// connectionLimiter limits the number of connections of one stream.
type connectionLimiter chan struct{}

// tryAcquire takes a connection if one is free and reports whether it did. It does not wait, because waiting would use
// up the request's timeout, and the request would be sent only to be canceled right away.
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
