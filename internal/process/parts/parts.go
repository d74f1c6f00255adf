// Package parts holds what a node configured by documents (package node) and a node configured by routes (package
// routed) have in common: the configuration of their components, their listeners and server options, and the dump.
//
// # Usage
//
//	gate := backend.NewGate(parts.GateConfig(s))
//	pool := peer.NewPool(parts.PoolConfig(s))
package parts

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

const (
	// GatePollInterval is the interval between checks of the queue.
	GatePollInterval = 10 * time.Millisecond
	// LogLimitInterval is the minimum interval between two log lines of one event number, for events that callers and
	// other outside processes can cause.
	LogLimitInterval = time.Second
	// peerMaxIdle is the maximum idle time after which a connection between nodes is still reused.
	peerMaxIdle = 5 * time.Second
	// peerDialTimeout is the timeout for connecting to another node.
	peerDialTimeout = 500 * time.Millisecond
	// initialLimit is the in-flight limit of a backend server before anything is known about it.
	initialLimit = 8
	// urgentDelayFactor is the ratio between the maximum queueing delay of rank 0 and that of the least urgent rank.
	urgentDelayFactor = 3
	// maxLimit is the highest in-flight limit.
	maxLimit = 1000
)

// GateConfig returns the configuration of the gate that admits requests to the local backend server.
func GateConfig(s *settings.Settings) admission.GateConfig {
	return admission.GateConfig{
		Limit: admission.LimitConfig{
			Initial:             initialLimit,
			Min:                 1,
			Max:                 maxLimit,
			Tolerance:           2,
			LatencySlack:        5 * time.Millisecond,
			DecreaseFactor:      0.7,
			TrialDecreaseFactor: 0.8,
			GrowthRatio:         0.1,
			Window:              100 * time.Millisecond,
			MaxWindow:           time.Second,
			KindRetention:       time.Minute,
			TrialDelay:          5 * time.Second,
			MaxTrialDelay:       30 * time.Second,
		},
		QueuePerSlot:        4,
		MaxDelayLeastUrgent: s.Backend.MaxWait,
		MaxDelayMostUrgent:  urgentDelayFactor * s.Backend.MaxWait,
		ReserveInterval:     20 * time.Millisecond,
		MaxRetryAfter:       3 * time.Second,
	}
}

// QuarantineConfig returns the configuration of the quarantine for requests that crash backend servers.
func QuarantineConfig(s *settings.Settings) quarantine.Config {
	config := quarantine.DefaultConfig
	config.Node = s.Node.Name
	return config
}

// PoolConfig returns the configuration of the pool of connections to other nodes.
func PoolConfig(s *settings.Settings) peer.PoolConfig {
	return peer.PoolConfig{
		MaxPerPeer:  s.Peer.MaxConnections,
		MaxIdle:     peerMaxIdle,
		DialTimeout: peerDialTimeout,
		LocalIP:     s.Peer.IP(),
	}
}
