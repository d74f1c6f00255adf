package node

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

const (
	// gateTick is the time between looks at the queue.
	gateTick = 10 * time.Millisecond
	// controlTimeout bounds one control message.
	controlTimeout = time.Second
	// drainSettle is how long a leaving node waits for others to learn of it.
	drainSettle = time.Second
	// drainTimeout bounds the wait for requests in flight.
	drainTimeout = 30 * time.Second
	// peerMaxIdle is how long an unused connection between nodes is trusted.
	peerMaxIdle = 30 * time.Second
	// peerDialTimeout bounds the making of a connection to another node.
	peerDialTimeout = 500 * time.Millisecond
	// firstLimit is the concurrency limit before the backend server has announced its slots.
	firstLimit = 8
	// highestLimit bounds the concurrency limit.
	highestLimit = 1000
)

var retryBudget = retry.BudgetConfig{PerSuccess: 0.1, Max: 20}

func gateConfig(s *settings.Settings) admission.GateConfig {
	return admission.GateConfig{
		Limit: admission.LimitConfig{
			Initial:        firstLimit,
			Min:            1,
			Max:            highestLimit,
			Tolerance:      2,
			Backoff:        0.8,
			Window:         100 * time.Millisecond,
			BaselineWindow: 10 * time.Second,
		},
		QueuePerSlot: 1,
		MaxWait:      s.Backend.MaxWait,
	}
}

func quarantineConfig(s *settings.Settings) quarantine.Config {
	config := quarantine.DefaultConfig
	config.Node = s.Node.Name
	return config
}

func poolConfig(s *settings.Settings) peer.PoolConfig {
	return peer.PoolConfig{
		MaxPerPeer:  s.Peer.MaxConnections,
		MaxIdle:     peerMaxIdle,
		DialTimeout: peerDialTimeout,
		LocalIP:     s.Peer.IP(),
	}
}

func platformConfig(s *settings.Settings) platform.Config {
	return platform.Config{URL: s.Platform.URL, Timeout: s.Platform.Timeout, LocalIP: s.Peer.IP()}
}
