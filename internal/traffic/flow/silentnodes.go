package flow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// silentNodes tracks the nodes that did not answer a request. A request sent to such a node may run although its caller
// gets no reply. Before the next request, the node is therefore sent a probe: a query without side effects.
type silentNodes struct {
	peers *peer.Client

	mu sync.Mutex
	// lastProbe holds the time of the last probe of each silent node, by address.
	lastProbe map[string]time.Time
}

func newSilentNodes(peers *peer.Client) *silentNodes {
	return &silentNodes{peers: peers, lastProbe: map[string]time.Time{}}
}

const (
	// silentProbeInterval is the minimum interval between probes of a silent node. In between, requests to it are refused
	// without a probe.
	silentProbeInterval = 500 * time.Millisecond
	// silentProbeTimeout is the timeout of one probe.
	silentProbeTimeout = 250 * time.Millisecond
)

// observe updates the state of the node at the address with the result of an exchange.
func (s *silentNodes) observe(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		delete(s.lastProbe, address)
	case isSilence(err):
		s.lastProbe[address] = time.Time{}
	}
}

// isSilence reports whether a node did not answer although its process may still run. A broken connection does not count,
// because the process may have ended and another node may have taken over its keys.
func isSilence(err error) bool {
	var failure *peer.Error
	return errors.As(err, &failure) && failure.Sent && failure.Reason == call.ReasonPeerSilent
}

// isResponsive reports whether requests may be sent to the node at the address. It probes a silent node if a probe is
// due.
func (s *silentNodes) isResponsive(ctx context.Context, address string) bool {
	silent, probe := s.check(address, time.Now())
	if !probe {
		return !silent
	}
	_, err := s.peers.Resolve(ctx, address, peer.ResolveQuery{AttemptID: newAttemptID()}, silentProbeTimeout)
	if isSilence(err) {
		return false
	}
	s.observe(address, nil)
	return true
}

// check reports whether the node is regarded as silent, and whether it is due for a probe.
func (s *silentNodes) check(address string, now time.Time) (silent, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastProbe, silent := s.lastProbe[address]
	if !silent || now.Sub(lastProbe) < silentProbeInterval {
		return silent, false
	}
	s.lastProbe[address] = now
	return true, true
}
