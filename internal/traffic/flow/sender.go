// Package flow takes requests through a node: the Sender chooses an instance for a request and tries again within
// bounds; the Receiver admits a request and runs it on the local backend server.
//
// # Usage
//
//	receiver := flow.NewReceiver(flow.ReceiverConfig{...})
//	sender := flow.NewSender(flow.SenderConfig{...})
//	reply := sender.Send(ctx, request)
package flow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// SenderConfig sets a Sender up.
type SenderConfig struct {
	Board    *board.Loop
	Peers    *peer.Client
	Receiver Runner
	Budget   retry.BudgetConfig
	Ejection EjectionConfig
}

// Sender sends requests to instances.
type Sender struct {
	config SenderConfig
	views  *views

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// NewSender returns a sender.
func NewSender(config SenderConfig) *Sender {
	return &Sender{config: config, views: newViews(config.Ejection), budgets: map[string]*retry.Budget{}}
}

// Send sends the request to an instance of its service, again where that is allowed, and returns the last reply.
func (s *Sender) Send(ctx context.Context, r *call.Request) call.Reply {
	var tried []string
	used := 0
	for {
		target, ok := s.choose(r, tried)
		if !ok {
			reply := call.Refused(call.NotRun, call.ReasonNoInstance, noInstanceRetry)
			reply.AttemptsUsed = used
			return reply
		}
		tried = append(tried, target.Node)
		reply := s.attempt(ctx, target, r, r.AttemptsLeft-used)
		used += reply.AttemptsUsed
		if reply.Outcome == call.Ran || s.decide(r, reply, used, len(tried)) == retry.GiveUp {
			reply.AttemptsUsed = used
			return reply
		}
		used++
	}
}

// noInstanceRetry is when to come back where no instance is known.
const noInstanceRetry = 500 * time.Millisecond

func (s *Sender) choose(r *call.Request, tried []string) (membership.Member, bool) {
	b := s.config.Board.Snapshot()
	members := b.Members.ByService[r.Service]
	chosen, ok := routing.Choose(globalRandom{}, s.views.candidates(members, r.Root.Rank, time.Now()), routing.Policy{
		Zone:  b.Self.Zone,
		Tried: tried,
	})
	if !ok {
		return membership.Member{}, false
	}
	return b.Members.ByNode[chosen.Node], true
}

func (s *Sender) attempt(ctx context.Context, target membership.Member, r *call.Request, attemptsLeft int) call.Reply {
	attempt := *r
	attempt.AttemptID = uuid.NewString()
	attempt.AttemptsLeft = max(attemptsLeft, 0)
	if r.KeyMinted {
		mint(&attempt, target)
		r.Key = attempt.Key
		return s.decided(ctx, target, &attempt)
	}
	start := time.Now()
	s.views.begin(target.Node)
	reply := s.transmit(ctx, target, &attempt)
	s.views.end(target.Node, start, time.Now(), r.Root.Rank, reply)
	return reply
}

func (s *Sender) transmit(ctx context.Context, target membership.Member, attempt *call.Request) call.Reply {
	if target.Node == s.config.Board.Snapshot().Self.Node {
		return s.config.Receiver.Receive(ctx, attempt)
	}
	reply, err := s.config.Peers.Call(ctx, target.PeerAddress, attempt)
	if err != nil {
		return failedReply(err, attempt)
	}
	return reply
}

// failedReply tells what a failed exchange leaves open. All attempts lent to it count as used.
func failedReply(err error, attempt *call.Request) call.Reply {
	var failure *peer.Error
	if !errors.As(err, &failure) {
		return call.Refused(call.Unknown, call.ReasonPeerUnreachable, 0)
	}
	outcome := call.Unknown
	used := attempt.AttemptsLeft
	if !failure.Sent {
		outcome = call.NotRun
		used = 0
	}
	reply := call.Refused(outcome, failure.Reason, 0)
	reply.AttemptsUsed = used
	return reply
}

func (s *Sender) decide(r *call.Request, reply call.Reply, used, tried int) retry.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget := s.budget(r.Service)
	return retry.Decide(retry.Attempt{
		Idempotent:   r.Idempotent,
		Started:      reply.Outcome == call.Unknown,
		Final:        reply.Final,
		AttemptsLeft: r.AttemptsLeft - used,
		TimeLeft:     time.Until(r.Deadline),
		Candidates:   len(s.config.Board.Snapshot().Members.ByService[r.Service]) - tried,
	}, budget)
}

func (s *Sender) budget(service string) *retry.Budget {
	b, ok := s.budgets[service]
	if !ok {
		b = retry.NewBudget(s.config.Budget)
		s.budgets[service] = b
	}
	return b
}

// globalRandom is the program's own random source.
type globalRandom struct{}

// IntN returns a number from 0 to n-1.
func (globalRandom) IntN(n int) int {
	return rand.IntN(n)
}
