package flow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// silentNodes are the nodes that left a request without an answer. A request that is sent to such a node may have run for
// all that its caller will learn, so the node is asked something harmless first.
type silentNodes struct {
	peers *peer.Client

	mu sync.Mutex
	// lastProbe is when each of them was asked last, by address.
	lastProbe map[string]time.Time
}

func newSilentNodes(peers *peer.Client) *silentNodes {
	return &silentNodes{peers: peers, lastProbe: map[string]time.Time{}}
}

const (
	// silentProbeInterval is the time between questions to a silent node; requests meanwhile are refused without one.
	silentProbeInterval = 500 * time.Millisecond
	// silentProbeTimeout bounds the wait for its answer.
	silentProbeTimeout = 250 * time.Millisecond
)

// observe takes in how an exchange with the node at the address ended.
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

// isSilence tells a node that doesn't answer from one whose process has ended, whose keys another may have taken over.
func isSilence(err error) bool {
	var failure *peer.Error
	return errors.As(err, &failure) && failure.Sent && failure.Reason == call.ReasonPeerSilent
}

// isResponsive reports whether the node at the address is worth a request.
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

// check reports whether the node is silent as far as known, and whether it is to be asked now.
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
