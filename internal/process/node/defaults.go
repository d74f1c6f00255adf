package node

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/control/keyowners"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

const (
	// controlTimeout is the timeout of one control message.
	controlTimeout = time.Second
	// heartbeatTimeout is the timeout of one heartbeat.
	heartbeatTimeout = 500 * time.Millisecond
	// drainPropagationDelay is how long a draining node waits for its peers to learn that it leaves, before it hands
	// its keys over. New requests that peers send later are refused.
	drainPropagationDelay = 1500 * time.Millisecond
	// handoverPropagationDelay is how long a node keeps running after its handover, while its peers learn which node
	// answers for its keys. During that time it replies that the keys have moved. If it stopped earlier, the peers
	// would treat the keys as lost.
	handoverPropagationDelay = 1500 * time.Millisecond
	// drainTimeout limits the whole drain. Every request in flight ends by its deadline.
	drainTimeout = document.MaxDeadline + 10*time.Second
)

// maxKeyTimeAhead is the largest accepted difference between the time in a key and the current time, for keys whose
// time lies in the future.
const maxKeyTimeAhead = 30 * time.Second

func keyTableConfig(s *settings.Settings) outcome.TableConfig {
	return outcome.TableConfig{
		Window:   s.Keys.Window,
		MaxAhead: maxKeyTimeAhead,
		MaxKeys:  s.Keys.MaxKeys,
		MaxBytes: s.Keys.MaxBytes,
	}
}

// ownerTiming returns the timing of the key owner controller. Its window is that of the keys, so that epochs are kept
// as long as keys are remembered.
func ownerTiming(s *settings.Settings) keyowners.Timing {
	timing := keyowners.DefaultTiming
	timing.Window = s.Keys.Window
	return timing
}

// retryBudget is the retry budget of one node for one service.
var retryBudget = retry.BudgetConfig{EarnRatio: 0.1, Max: 20}

func platformConfig(s *settings.Settings) platform.Config {
	return platform.Config{URL: s.Platform.URL, Timeout: s.Platform.Timeout, LocalIP: s.Peer.IP()}
}
