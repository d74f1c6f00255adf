package node

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/control/homes"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

const (
	// gateTick is the time between looks at the queue.
	gateTick = 10 * time.Millisecond
	// controlTimeout bounds one control message.
	controlTimeout = time.Second
	// beatTimeout bounds one heartbeat.
	beatTimeout = 500 * time.Millisecond
	// limitedEvery is the time between two events of one number that strangers can cause.
	limitedEvery = time.Second
	// drainSettle is how long a leaving node waits for others to learn of it. New work that comes later is refused.
	drainSettle = 1500 * time.Millisecond
	// handoverSettle is how long a node stays after its handover, while others learn who answers for its keys. Until then
	// it tells them that the keys have moved; once it has gone they would take the keys for lost.
	handoverSettle = 1500 * time.Millisecond
	// drainTimeout bounds the wait for requests in flight, which all end by their deadlines.
	drainTimeout = document.MaxDeadline + 10*time.Second
	// peerMaxIdle is how long an unused connection between nodes is trusted.
	peerMaxIdle = 30 * time.Second
	// peerDialTimeout bounds the making of a connection to another node.
	peerDialTimeout = 500 * time.Millisecond
	// firstLimit is the concurrency limit of a backend server of which nothing is known yet.
	firstLimit = 8
	// urgentWaits is how many times longer rank 0 may wait for a slot than the least urgent rank.
	urgentWaits = 3
	// highestLimit bounds the concurrency limit.
	highestLimit = 1000
)

// keyAhead is how far the time of a key may lie in the future.
const keyAhead = 30 * time.Second

func keyTable(s *settings.Settings) outcome.TableConfig {
	return outcome.TableConfig{
		Window:   s.Keys.Window,
		Ahead:    keyAhead,
		MaxKeys:  s.Keys.MaxKeys,
		MaxBytes: s.Keys.MaxBytes,
	}
}

// homesTiming gives the shards the window of the keys.
func homesTiming(s *settings.Settings) homes.Timing {
	timing := homes.DefaultTiming
	timing.Window = s.Keys.Window
	return timing
}

var retryBudget = retry.BudgetConfig{PerSuccess: 0.1, Max: 20}

func gateConfig(s *settings.Settings) admission.GateConfig {
	return admission.GateConfig{
		Limit: admission.LimitConfig{
			Initial:        firstLimit,
			Min:            1,
			Max:            highestLimit,
			Tolerance:      2,
			LatencySlack:   5 * time.Millisecond,
			Backoff:        0.7,
			TrialBackoff:   0.8,
			Growth:         0.1,
			Window:         100 * time.Millisecond,
			MaxWindow:      time.Second,
			KindMemory:     time.Minute,
			RetrialTime:    5 * time.Second,
			MaxRetrialTime: 30 * time.Second,
		},
		QueuePerSlot:  4,
		MaxWait:       s.Backend.MaxWait,
		UrgentWait:    urgentWaits * s.Backend.MaxWait,
		ReserveWait:   20 * time.Millisecond,
		MaxRetryAfter: 3 * time.Second,
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
