// Package parts holds how the parts of a node are set up that every kind of node has.
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
	// GatePollInterval is the time between looks at the queue.
	GatePollInterval = 10 * time.Millisecond
	// LogLimitInterval is the time between two events of one number that strangers can cause.
	LogLimitInterval = time.Second
	// peerMaxIdle is how long an unused connection between nodes is trusted.
	peerMaxIdle = 5 * time.Second
	// peerDialTimeout bounds the making of a connection to another node.
	peerDialTimeout = 500 * time.Millisecond
	// initialLimit is the concurrency limit of a backend server of which nothing is known yet.
	initialLimit = 8
	// urgentDelayFactor is how many times longer rank 0 may wait for a slot than the least urgent rank.
	urgentDelayFactor = 3
	// maxLimit bounds the concurrency limit.
	maxLimit = 1000
)

// GateConfig returns how a node admits requests to its backend server.
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

// QuarantineConfig returns how a node treats requests that crash backend servers.
func QuarantineConfig(s *settings.Settings) quarantine.Config {
	config := quarantine.DefaultConfig
	config.Node = s.Node.Name
	return config
}

// PoolConfig returns how a node keeps connections to others.
func PoolConfig(s *settings.Settings) peer.PoolConfig {
	return peer.PoolConfig{
		MaxPerPeer:  s.Peer.MaxConnections,
		MaxIdle:     peerMaxIdle,
		DialTimeout: peerDialTimeout,
		LocalIP:     s.Peer.IP(),
	}
}
