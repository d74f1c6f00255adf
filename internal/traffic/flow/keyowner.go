package flow

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// KeyOwnerConfig configures a KeyOwner.
type KeyOwnerConfig struct {
	Board *board.Loop
	// Self is the name and incarnation of this node.
	Self outcome.Node
	// Zones lists all availability zones. It must be the same on all nodes.
	Zones []string
	// Local runs requests on the local backend server.
	Local Runner
	// Delegate sends a request to another instance of its service.
	Delegate func(ctx context.Context, r *call.Request) call.Reply
	// ResolveAt sends a query to another node on a new connection.
	ResolveAt func(ctx context.Context, address string, q peer.ResolveQuery) (peer.Resolution, error)
	// Budgets holds the retry budgets that delegated requests are charged to.
	Budgets *Budgets
	// Load returns the load of the local backend server.
	Load func() call.Load
	// Table configures the tables of keys.
	Table outcome.TableConfig
}

// KeyOwner runs the non-idempotent requests whose keys this node owns, each at most once, and remembers their outcomes.
// Idempotent requests pass through it.
type KeyOwner struct {
	config KeyOwnerConfig
	group  conc.WaitGroup
	open   *openAttempts

	mu sync.Mutex
	// keys holds the keys that this node owns. delegated holds the attempts that other key owners delegated to this node.
	keys       *outcome.Table[call.Reply]
	delegated  *outcome.Table[call.Reply]
	executions map[string]*keyedExecution
	handovers  *handovers
	leaving    bool
}

// keyedExecution is a running request that one or more copies wait for.
type keyedExecution struct {
	done  chan struct{}
	reply call.Reply
}

// NewKeyOwner returns a KeyOwner without keys.
func NewKeyOwner(config KeyOwnerConfig) *KeyOwner {
	return &KeyOwner{
		config:     config,
		open:       newOpenAttempts(),
		keys:       outcome.NewTable[call.Reply](config.Table),
		delegated:  outcome.NewTable[call.Reply](config.Table),
		executions: map[string]*keyedExecution{},
		handovers:  newHandovers(),
	}
}

const (
	// ownerRetryAfter is the Retry-After time of temporary refusals that are due to the key or to a lost reply.
	ownerRetryAfter = 250 * time.Millisecond
	// expiryInterval is the interval between removals of expired keys.
	expiryInterval = time.Second
	// replyOverheadBytes is the estimated memory of a remembered reply without its body.
	replyOverheadBytes = 512
)

// Run removes expired keys until the context ends.
func (o *KeyOwner) Run(ctx context.Context) {
	for pause.For(ctx, expiryInterval) {
		o.expire(time.Now())
	}
}

func (o *KeyOwner) expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keys.Expire(now)
	o.delegated.Expire(now)
	o.handovers.expireFormerOwners(now)
}

// Size returns the number of keys and the memory that they use.
func (o *KeyOwner) Size() outcome.Size {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keys.Size()
}

// Receive runs the request, or returns the outcome of an earlier copy.
func (o *KeyOwner) Receive(ctx context.Context, r *call.Request) call.Reply {
	if r.Idempotent {
		o.open.begin(r.AttemptID)
		defer o.open.end(r.AttemptID)
		return o.config.Local.Receive(ctx, r)
	}
	reply := o.receive(ctx, r)
	reply.Load = o.config.Load()
	return reply
}

func (o *KeyOwner) receive(ctx context.Context, r *call.Request) call.Reply {
	key, err := outcome.ParseKey(r.Key)
	if err != nil {
		return call.Refused(call.NotAdmitted, call.ReasonBadKey, 0)
	}
	if r.TargetIncarnation != 0 && r.TargetIncarnation != o.config.Self.Incarnation {
		return call.Refused(call.NotAdmitted, call.ReasonOwnerUnknown, ownerRetryAfter)
	}
	if r.Delegated {
		return o.handleCopy(ctx, r, o.delegated, copyDetails(r, key, r.AttemptID), o.config.Local.Receive)
	}
	if reply, ok := o.claimKey(ctx, r, key); !ok {
		return reply
	}
	return o.handleCopy(ctx, r, o.keys, copyDetails(r, key, keyID(r.Service, r.Key)), o.execute)
}

// claimKey reports whether this node may run the request with the key now. If not, it returns the reply to the request.
// Querying earlier owners takes time, and the epoch of this node may end meanwhile. For a key without a time, the epoch
// is therefore checked again afterwards: the next owner no longer queries this node, so the request could run
// twice.
func (o *KeyOwner) claimKey(ctx context.Context, r *call.Request, key outcome.Key) (call.Reply, bool) {
	earlier, ok := o.ownsKey(r.Service, key)
	if ok && len(earlier) > 0 {
		if reply, moved := o.moveKeysHere(ctx, r, earlier); !moved {
			return reply, false
		}
		_, ok = o.ownsKey(r.Service, key)
	}
	return call.Refused(call.NotAdmitted, call.ReasonOwnerUnknown, ownerRetryAfter), ok
}

// ownsKey reports whether this node may run the request with the key. It may if it is the owner according to the key or
// the agreed epochs, or if that owner has handed its keys over to this node. The key must first be moved here from the
// nodes returned.
func (o *KeyOwner) ownsKey(service string, key outcome.Key) ([]outcome.Node, bool) {
	owner, earlier, ok := ownerOf(o.config.Board.Snapshot(), o.config.Zones, service, key, o.config.Table.Window)
	if !ok {
		return nil, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.answersFor(owner) {
		return nil, false
	}
	return slices.DeleteFunc(earlier, o.answersFor), true
}

func (o *KeyOwner) answersFor(owner outcome.Node) bool {
	return owner == o.config.Self || o.handovers.answersFor(owner)
}

// ownerOf returns the owner of a key. For a key without a time, it also returns the earlier owners.
func ownerOf(b *board.Board, zones []string, service string, key outcome.Key, window time.Duration) (outcome.Node, []outcome.Node, bool) {
	if !key.Owner.IsZero() {
		return key.Owner, nil, true
	}
	shard := b.KeyOwners.Shards[outcome.ShardOf(zones, key.Text)]
	if key.Timed {
		owner, ok := shard.Owner(service, key.Text, key.UnixMillis)
		return owner, nil, ok
	}
	now := time.Now()
	return shard.CurrentOwner(service, key.Text, now.UnixMilli(), now.Add(-window).UnixMilli())
}

func keyID(service, key string) string {
	return service + " " + key
}

func copyDetails(r *call.Request, key outcome.Key, id string) outcome.RequestCopy {
	return outcome.RequestCopy{
		ID:          id,
		UnixMillis:  key.UnixMillis,
		Timed:       key.Timed,
		Fingerprint: contentHash(r),
		Confirm:     r.ChallengeToken,
		Age:         time.Since(r.ReceivedAt),
		Token:       uuid.NewString(),
		OnlyCopy:    r.KeyMinted && !r.Resent,
	}
}

// contentHash returns a nonzero hash of the request, which shows whether another request came with the same key.
func contentHash(r *call.Request) uint64 {
	return max(hashRequest(r, r.Service, r.Method, r.Path), 1)
}

type executeFunc func(ctx context.Context, r *call.Request) call.Reply

// handleCopy runs one copy of a request, waits for the copy that is running, or answers without running it.
func (o *KeyOwner) handleCopy(ctx context.Context, r *call.Request, table *outcome.Table[call.Reply], details outcome.RequestCopy, execute executeFunc) call.Reply {
	verdict, execution := o.beginCopy(ctx, r, table, details, execute)
	switch verdict.Action {
	case outcome.Run, outcome.Attach:
		return awaitExecution(ctx, execution)
	case outcome.Answer:
		return verdict.Reply
	case outcome.Challenge:
		return challengeReply(r, verdict.Token)
	default:
		return refusalReplies[verdict.Action]
	}
}

// refusalReplies holds the replies to copies that were neither run nor answered.
var refusalReplies = map[outcome.Action]call.Reply{
	outcome.RefuseNotRun: call.Refused(call.NotRun, call.ReasonOverload, ownerRetryAfter),
	outcome.RefuseReused: call.Refused(call.NotAdmitted, call.ReasonKeyReused, 0),
	outcome.RefuseTime:   call.Refused(call.NotAdmitted, call.ReasonKeyTime, 0),
	outcome.RefuseFull:   call.Refused(call.NotAdmitted, call.ReasonMemoryFull, time.Second),
	outcome.RefuseClosed: call.Refused(call.NotAdmitted, call.ReasonDraining, ownerRetryAfter),
}

// challengeReply returns a reply that asks the sender to repeat the request with the token if its caller still waits. A
// delegated attempt that was fenced has ended, so it is refused.
func challengeReply(r *call.Request, token string) call.Reply {
	if r.Delegated {
		return refusalReplies[outcome.RefuseNotRun]
	}
	reply := call.Refused(call.NotAdmitted, call.ReasonOverload, ownerRetryAfter)
	reply.ChallengeToken = token
	return reply
}

func (o *KeyOwner) beginCopy(ctx context.Context, r *call.Request, table *outcome.Table[call.Reply], details outcome.RequestCopy, execute executeFunc) (outcome.Verdict[call.Reply], *keyedExecution) {
	o.mu.Lock()
	defer o.mu.Unlock()
	verdict := table.Begin(time.Now(), details)
	if verdict.Action == outcome.Run {
		o.startExecution(ctx, r, table, details, execute)
	}
	return verdict, o.executions[details.ID]
}

// startExecution runs the request independently of the connection on which it arrived, so that a later copy can get the
// reply.
func (o *KeyOwner) startExecution(ctx context.Context, r *call.Request, table *outcome.Table[call.Reply], details outcome.RequestCopy, execute executeFunc) {
	execution := &keyedExecution{done: make(chan struct{})}
	o.executions[details.ID] = execution
	o.group.Go(func() {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
		defer cancel()
		reply := execute(ctx, r)
		o.recordOutcome(table, details.ID, reply)
		execution.reply = reply
		close(execution.done)
	})
}

func (o *KeyOwner) recordOutcome(table *outcome.Table[call.Reply], id string, reply call.Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.executions, id)
	state := outcome.Done
	if reply.Outcome == call.NotRun {
		state = outcome.NotRun
	}
	remembered := reply
	remembered.AttemptsUsed = 0
	table.Settle(time.Now(), id, state, remembered, len(reply.Body)+replyOverheadBytes)
}

func awaitExecution(ctx context.Context, execution *keyedExecution) call.Reply {
	select {
	case <-execution.done:
		return execution.reply
	case <-ctx.Done():
		return call.Refused(call.Unknown, call.ReasonDeadline, 0)
	}
}

// execute runs the request on the local backend server. If the request did not run there, it may be delegated once.
func (o *KeyOwner) execute(ctx context.Context, r *call.Request) call.Reply {
	reply := o.config.Local.Receive(ctx, r)
	if reply.Outcome == call.NotAdmitted {
		reply.Outcome = call.NotRun
	}
	if o.mayDelegate(r, reply) {
		reply = o.delegate(ctx, r, reply)
	}
	if !r.KeyMinted && reply.Failure() == call.ReasonNone {
		o.config.Budgets.earn(r.Service)
	}
	return reply
}

// delegate sends a request that was refused here to another instance.
func (o *KeyOwner) delegate(ctx context.Context, r *call.Request, refused call.Reply) call.Reply {
	delegated := *r
	if !acceptsNoWork(&refused) {
		delegated.AttemptsLeft--
	}
	reply := o.config.Delegate(ctx, &delegated)
	reply.AttemptsUsed += r.AttemptsLeft - delegated.AttemptsLeft
	return reply
}

// mayDelegate reports whether another instance may run a request that did not run here. If that uses an attempt, it is
// charged to the retry budget of the service. For a key that the entry node minted, the entry node tries another owner
// itself.
func (o *KeyOwner) mayDelegate(r *call.Request, reply call.Reply) bool {
	if reply.Outcome != call.NotRun || reply.Final || r.KeyMinted {
		return false
	}
	if acceptsNoWork(&reply) {
		return true
	}
	verdict := o.config.Budgets.decide(r.Service, retry.Attempt{
		FailedDownstream: reply.DownstreamFailure != call.ReasonNone,
		AttemptsLeft:     r.AttemptsLeft,
		TimeLeft:         time.Until(r.Deadline),
		Candidates:       1, // the sender chooses the instance
	})
	return verdict == retry.Retry
}

// Resolve returns the state of an attempt or a key, or moves a key to another owner. Queries for an earlier incarnation
// of this node get an empty resolution, and so does a query to move a key to a node whose keys this node has taken over.
func (o *KeyOwner) Resolve(q peer.ResolveQuery) peer.Resolution {
	if q.Key == "" && q.Incarnation == o.config.Self.Incarnation {
		return o.resolveIdempotent(q)
	}
	key, err := outcome.ParseKey(q.Key)
	if err != nil || (q.Incarnation != 0 && q.Incarnation != o.config.Self.Incarnation) {
		return peer.Resolution{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	id := keyID(q.Service, q.Key)
	resolution := peer.Resolution{Known: true}
	switch {
	case q.Delegated:
		resolution.State, resolution.Reply = o.delegated.Resolve(now, q.AttemptID)
	case q.Move && o.answersFor(q.MoveTo):
		return peer.Resolution{}
	case q.Move:
		details := outcome.RequestCopy{ID: id, UnixMillis: key.UnixMillis, Timed: key.Timed}
		moved := o.keys.Move(now, details, q.MoveTo)
		resolution.State, resolution.Reply, resolution.Fingerprint = moved.State, moved.Reply, moved.Fingerprint
	default:
		resolution.State, resolution.Reply = o.keys.Resolve(now, id)
	}
	return resolution
}

// resolveIdempotent reports whether an attempt of an idempotent request, which has no key, is running here.
func (o *KeyOwner) resolveIdempotent(q peer.ResolveQuery) peer.Resolution {
	if o.open.has(q.AttemptID) {
		return peer.Resolution{Known: true, State: outcome.Running}
	}
	return peer.Resolution{Known: true, State: outcome.Absent}
}
