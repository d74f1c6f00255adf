package flow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// silences are the nodes that left a request without an answer. A request that is sent to such a node may have run for
// all that its caller will learn, so the node is asked something harmless first.
type silences struct {
	peers *peer.Client

	mu sync.Mutex
	// asked is when each of them was asked last, by address.
	asked map[string]time.Time
}

func newSilences(peers *peer.Client) *silences {
	return &silences{peers: peers, asked: map[string]time.Time{}}
}

const (
	// askSilentEvery is the time between questions to a silent node; requests meanwhile are refused without one.
	askSilentEvery = 500 * time.Millisecond
	// silentTimeout bounds the wait for its answer.
	silentTimeout = 250 * time.Millisecond
)

// note takes in how an exchange with the node at the address ended.
func (s *silences) note(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		delete(s.asked, address)
	case isSilence(err):
		s.asked[address] = time.Time{}
	}
}

// isSilence tells a node that doesn't answer from one whose process has ended, whose keys another may have taken over.
func isSilence(err error) bool {
	var failure *peer.Error
	return errors.As(err, &failure) && failure.Sent && failure.Reason == call.ReasonPeerSilent
}

// answers reports whether the node at the address is worth a request.
func (s *silences) answers(ctx context.Context, address string) bool {
	silent, ask := s.look(address, time.Now())
	if !ask {
		return !silent
	}
	_, err := s.peers.Resolve(ctx, address, peer.Question{AttemptID: newAttemptID()}, silentTimeout)
	if isSilence(err) {
		return false
	}
	s.note(address, nil)
	return true
}

// look reports whether the node is silent as far as known, and whether it is to be asked now.
func (s *silences) look(address string, now time.Time) (silent, ask bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked, silent := s.asked[address]
	if !silent || now.Sub(asked) < askSilentEvery {
		return silent, false
	}
	s.asked[address] = now
	return true, true
}
