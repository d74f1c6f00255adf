// Package routing chooses the instance of a service that gets a request.
//
// A Set holds the state that one sender keeps about the instances of one service. It picks two of them at random and
// chooses the one with the lower expected time until the reply, estimated from the requests ahead, the capacity, the
// latency and the error rate that the sender observed. Instances in the sender's availability zone are preferred;
// requests spill over to other zones before the sender's zone is full. New instances get their share of the requests
// gradually. If a service has many instances, each sender uses a subset, which differs between senders.
//
// Latency is tracked by rank and kind, and the requests ahead are counted by rank. Urgent requests overtake less
// urgent ones in the queue; if the latency of the less urgent ones counted for all, urgent requests would gather on a
// few instances.
//
// # Usage
//
//	set := routing.NewSet(routing.DefaultConfig("node_1", "lisbon_1"))
//	set.Update(now, members)
//	instance, ok := set.Choose(now, random, routing.Request{Rank: 2, Kind: kind})
//	if !ok {
//		return errNoInstance
//	}
//	instance.Begin(2)
//	// Send the request to instance.Member.Node.
//	instance.End(now, routing.Sample{Result: routing.Good, Latency: latency, Rank: 2, Kind: kind})
//
// The package does no I/O and reads no clock: the random source, the time and the observations are arguments. A Set
// and its instances are not safe for concurrent use.
package routing

import "time"

// Source is a source of random numbers.
type Source interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Config configures a Set.
type Config struct {
	// Node is the name of the sender. It determines the sender's subset.
	Node string
	// Zone is the sender's availability zone, whose instances are preferred.
	Zone string
	// SubsetSize limits the number of instances that the sender uses.
	SubsetSize int
	// SubsetOtherZones is the minimum number of instances of the subset in other availability zones, if there are
	// that many.
	SubsetOtherZones int
	// SpillUtilization is the utilization of the sender's zone above which requests may also go to other zones.
	SpillUtilization float64
	// CrossZoneFactor multiplies the expected time at an instance of another zone before it is compared with that of
	// an instance in the sender's zone, because bytes between zones cost more than bytes within one.
	CrossZoneFactor float64
	// CrossZoneKilobyte is added to the expected time at an instance of another zone for each kilobyte of the request
	// and its reply.
	CrossZoneKilobyte time.Duration
	// TargetFraction is the fraction of a request's target latency that the average latency of an instance in the
	// sender's zone may reach before other zones are considered.
	TargetFraction float64
	// CallCrossZoneFactor replaces CrossZoneFactor for calls within a call chain. It is higher because each call of a
	// request would cross between zones, whereas a root request that moves to another zone takes all of its calls
	// there and crosses once.
	CallCrossZoneFactor float64
	// SlowStart is the time over which a new instance ramps up to its full capacity.
	SlowStart time.Duration
	// FailuresToEject is the number of consecutive failures after which an instance is ejected for EjectionTime.
	FailuresToEject int
	EjectionTime    time.Duration
	// UnconfirmedEjectionTime is how long one failure ejects an unconfirmed instance.
	UnconfirmedEjectionTime time.Duration
	// SheddingTime is how long an instance that shed a request is avoided for its rank and less urgent ranks.
	SheddingTime time.Duration
	// KindLimitedTime is how long an instance counts as limited for a kind after it refused a request because the
	// kind had reached its in-flight limit. During this time other instances of the sender's zone are asked first.
	KindLimitedTime time.Duration
	// LeavingTime is how long an instance that refuses all ranks is avoided. An instance that leaves may not be able to
	// announce that to every sender.
	LeavingTime time.Duration
	// TimeConstant is the time constant of the decay of latency and error rate.
	TimeConstant time.Duration
	// FailureCost is the latency that is added for an error rate of 1; it is added in proportion for lower rates.
	FailureCost time.Duration
}

// DefaultConfig returns the default configuration for a sender in the given availability zone.
func DefaultConfig(node, zone string) Config {
	return Config{
		Node:             node,
		Zone:             zone,
		SubsetSize:       16,
		SubsetOtherZones: 4,
		SpillUtilization: 0.7,
		CrossZoneFactor:  1.3,

		CrossZoneKilobyte: 50 * time.Millisecond,

		TargetFraction:      0.5,
		CallCrossZoneFactor: 4,

		SlowStart:       5 * time.Second,
		FailuresToEject: 3,
		EjectionTime:    2 * time.Second,

		UnconfirmedEjectionTime: 10 * time.Second,

		SheddingTime:    100 * time.Millisecond,
		KindLimitedTime: 200 * time.Millisecond,
		LeavingTime:     time.Second,
		TimeConstant:    2 * time.Second,
		FailureCost:     time.Second,
	}
}

// Member is an instance as reported by the membership.
type Member struct {
	Node  string
	Zone  string
	Slots int
	// Unconfirmed makes a single failure eject the instance, for UnconfirmedEjectionTime.
	Unconfirmed bool
}

// Request holds the properties of a request that the choice of the instance depends on.
type Request struct {
	Rank int
	Kind string
	// IsCall reports whether the request is a call within a call chain, not a root request.
	IsCall bool
	// Target is the latency within which the reply has its full value; 0 means none.
	Target time.Duration
	// Tried lists the nodes that already refused the request.
	Tried []string
}

func (r Request) hasTried(node string) bool {
	for _, n := range r.Tried {
		if n == node {
			return true
		}
	}
	return false
}
