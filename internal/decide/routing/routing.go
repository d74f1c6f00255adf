// Package routing chooses which instance of a service gets a request.
//
// A Set holds what one sender knows of the instances of one service. It takes two of them at random and sends to the
// one that is expected to answer sooner, judged by the requests ahead, the capacity, the latency and the errors that
// the sender saw. Instances of the sender's own availability zone go first; requests spill over to the others before
// the zone is full. New instances get their part of the work bit by bit. Where a service has many instances, the
// sender keeps to a subset, which differs from sender to sender.
//
// Latency counts by rank and kind, the requests ahead by rank: urgent requests pass the less urgent that wait, so what
// these take must not drive the urgent ones together on a few instances.
//
// # Usage
//
//	set := routing.NewSet(routing.DefaultConfig("node_1", "lisbon_1"))
//	set.Update(now, members)
//	instance, ok := set.Choose(now, random, routing.Request{Rank: 2})
//	instance.Begin(2)
//	instance.End(now, routing.Sample{Rank: 2, ...})
//
// The package does no I/O and reads no clock: the random source, the time and the observations are arguments. A Set
// and its instances are not safe for concurrent use.
package routing

import "time"

// Source gives random numbers.
type Source interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
	// Float64 returns a number from 0 up to, but not including, 1.
	Float64() float64
}

// Config sets a Set up.
type Config struct {
	// Node is the sender, which decides its subset.
	Node string
	// Zone is preferred.
	Zone string
	// SubsetSize bounds the instances that the sender uses.
	SubsetSize int
	// SubsetOtherZones is how many of these are kept for other availability zones, where there are so many.
	SubsetOtherZones int
	// SpillUtilization is the utilization of the own zone from which requests may go to the others too.
	SpillUtilization float64
	// CrossZoneFactor is how many times the expected time at another zone's instance is taken before it counts as less than
	// that at one of the own zone: bytes between zones cost more than bytes within.
	CrossZoneFactor float64
	// CrossZoneKilobyte is what each kilobyte of a request and its answer adds to the time at another zone's instance.
	CrossZoneKilobyte time.Duration
	// TargetFraction is the part of a request's target that the latency at an instance of the own zone may take, on average,
	// before others are worth a look.
	TargetFraction float64
	// CallCrossZoneFactor is the same for calls down a chain. A request that goes to another zone takes all of its calls there,
	// at the price of one.
	CallCrossZoneFactor float64
	// SlowStart is the time in which a new instance comes up to its whole part.
	SlowStart time.Duration
	// FailuresToEject in a row eject an instance for EjectionTime.
	FailuresToEject int
	EjectionTime    time.Duration
	// UnconfirmedEjectionTime is the time for which one failure ejects an unconfirmed instance.
	UnconfirmedEjectionTime time.Duration
	// SheddingTime is how long a shed request keeps others of its rank away.
	SheddingTime time.Duration
	// KindLimitedTime is how long an instance that refused a kind of request because calls wait further down is asked after others.
	KindLimitedTime time.Duration
	// LeavingTime is how long an instance that takes nothing is kept away from. It may not be able to say so to all.
	LeavingTime time.Duration
	// TimeConstant is the time constant with which latency and errors are forgotten.
	TimeConstant time.Duration
	// FailureCost is the latency that a certain failure counts as.
	FailureCost time.Duration
}

// DefaultConfig returns the values that hold where nothing else is set.
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

// Member is one instance as the membership knows it.
type Member struct {
	Node  string
	Zone  string
	Slots int
	// Unconfirmed makes one failure enough for an ejection of UnconfirmedEjection.
	Unconfirmed bool
}

// Request is what the choice depends on.
type Request struct {
	Rank int
	Kind string
	// IsCall says that the request is a call down a chain.
	IsCall bool
	// Target is the time within which an answer is worth most; 0 for none.
	Target time.Duration
	// Tried are nodes that already refused the request.
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
