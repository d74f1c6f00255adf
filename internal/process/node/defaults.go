package node

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/control/homes"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

const (
	// controlTimeout bounds one control message.
	controlTimeout = time.Second
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = 500 * time.Millisecond
	// drainPropagationDelay is how long a leaving node waits for others to learn of it. New work that comes later is refused.
	drainPropagationDelay = 1500 * time.Millisecond
	// handoverPropagationDelay is how long a node stays after its handover, while others learn who answers for its keys. Until then
	// it tells them that the keys have moved; once it has gone they would take the keys for lost.
	handoverPropagationDelay = 1500 * time.Millisecond
	// drainTimeout bounds the wait for requests in flight, which all end by their deadlines.
	drainTimeout = document.MaxDeadline + 10*time.Second
)

// maxKeyTimeAhead is how far the time of a key may lie in the future.
const maxKeyTimeAhead = 30 * time.Second

func keyTableConfig(s *settings.Settings) outcome.TableConfig {
	return outcome.TableConfig{
		Window:   s.Keys.Window,
		MaxAhead: maxKeyTimeAhead,
		MaxKeys:  s.Keys.MaxKeys,
		MaxBytes: s.Keys.MaxBytes,
	}
}

// ownerTiming gives the shards the window of the keys.
func ownerTiming(s *settings.Settings) homes.Timing {
	timing := homes.DefaultTiming
	timing.Window = s.Keys.Window
	return timing
}

var retryBudget = retry.BudgetConfig{EarnRatio: 0.1, Max: 20}

func platformConfig(s *settings.Settings) platform.Config {
	return platform.Config{URL: s.Platform.URL, Timeout: s.Platform.Timeout, LocalIP: s.Peer.IP()}
}
