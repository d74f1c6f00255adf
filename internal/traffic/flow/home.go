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

// HomeConfig sets a Home up.
type HomeConfig struct {
	Board *board.Loop
	// Self is this process.
	Self outcome.Node
	// Zones are all availability zones; the same list everywhere.
	Zones []string
	// Local runs requests on the local backend server.
	Local Runner
	// Delegate passes a request on to another instance of its service.
	Delegate func(ctx context.Context, r *call.Request) call.Reply
	// Ask asks another node on a new connection.
	Ask func(ctx context.Context, address string, q peer.Question) (peer.Resolution, error)
	// Budgets are charged for requests that are passed on.
	Budgets *Budgets
	Load    func() call.Load
	Table   outcome.TableConfig
}

// Home runs the requests whose keys this node decides about, each at most once, and remembers what became of them.
// Idempotent requests pass through it.
type Home struct {
	config HomeConfig
	group  conc.WaitGroup
	open   *openAttempts

	mu sync.Mutex
	// keys are those that this node decides about; delegated are the attempts that other homes sent here.
	keys      *outcome.Table[call.Reply]
	delegated *outcome.Table[call.Reply]
	runs      map[string]*run
	handovers *handovers
	leaving   bool
}

// run is a request that is being run for one or more copies.
type run struct {
	done  chan struct{}
	reply call.Reply
}

// NewHome returns a home without keys.
func NewHome(config HomeConfig) *Home {
	return &Home{
		config:    config,
		open:      newOpenAttempts(),
		keys:      outcome.NewTable[call.Reply](config.Table),
		delegated: outcome.NewTable[call.Reply](config.Table),
		runs:      map[string]*run{},
		handovers: newHandovers(),
	}
}

const (
	// homeRetry is when to come back where a home can't take a key now.
	homeRetry = 250 * time.Millisecond
	// forgetEvery is the time between looks for keys to forget.
	forgetEvery = time.Second
	// replyBytes is what a remembered reply costs besides its body.
	replyBytes = 512
)

// Run forgets old keys until the context ends.
func (h *Home) Run(ctx context.Context) {
	for pause.For(ctx, forgetEvery) {
		h.forget(time.Now())
	}
}

func (h *Home) forget(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keys.Expire(now)
	h.delegated.Expire(now)
	h.handovers.forgetHomes(now)
}

// Size returns the memory that the keys use.
func (h *Home) Size() outcome.Size {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keys.Size()
}

// Receive runs the request, or answers with what became of an earlier copy.
func (h *Home) Receive(ctx context.Context, r *call.Request) call.Reply {
	if r.Idempotent {
		h.open.begin(r.AttemptID)
		defer h.open.end(r.AttemptID)
		return h.config.Local.Receive(ctx, r)
	}
	reply := h.receive(ctx, r)
	reply.Load = h.config.Load()
	return reply
}

func (h *Home) receive(ctx context.Context, r *call.Request) call.Reply {
	key, err := outcome.ParseKey(r.Key)
	if err != nil {
		return call.Refused(call.NotAdmitted, call.ReasonBadKey, 0)
	}
	if r.TargetIncarnation != 0 && r.TargetIncarnation != h.config.Self.Incarnation {
		return call.Refused(call.NotAdmitted, call.ReasonHomeUnknown, homeRetry)
	}
	if r.Delegated {
		return h.take(ctx, r, h.delegated, ask(r, key, r.AttemptID), h.config.Local.Receive)
	}
	if reply, ok := h.claim(ctx, r, key); !ok {
		return reply
	}
	return h.take(ctx, r, h.keys, ask(r, key, keyID(r.Service, r.Key)), h.execute)
}

// claim reports whether this node may run the key now, or returns the reply to the request. Asking earlier homes takes
// time, in which the node's epoch may end; for a key without a time, a later home would no longer ask this one.
func (h *Home) claim(ctx context.Context, r *call.Request, key outcome.Key) (call.Reply, bool) {
	earlier, ok := h.decides(r.Service, key)
	if ok && len(earlier) > 0 {
		if reply, moved := h.moveHere(ctx, r, earlier); !moved {
			return reply, false
		}
		_, ok = h.decides(r.Service, key)
	}
	return call.Refused(call.NotAdmitted, call.ReasonHomeUnknown, homeRetry), ok
}

// decides reports whether this node may run the key: it is the home that the key or the agreed epochs name, or that
// home has handed its keys over to this node. The other nodes returned must have moved the key before.
func (h *Home) decides(service string, key outcome.Key) ([]outcome.Node, bool) {
	home, earlier, ok := homeOf(h.config.Board.Snapshot(), h.config.Zones, service, key, h.config.Table.Window)
	if !ok {
		return nil, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.answersFor(home) {
		return nil, false
	}
	return slices.DeleteFunc(earlier, h.answersFor), true
}

func (h *Home) answersFor(home outcome.Node) bool {
	return home == h.config.Self || h.handovers.answersFor(home)
}

// homeOf returns the home of a key. For a key without a time, the nodes that were its home before come with it.
func homeOf(b *board.Board, zones []string, service string, key outcome.Key, window time.Duration) (outcome.Node, []outcome.Node, bool) {
	if !key.Home.IsZero() {
		return key.Home, nil, true
	}
	shard := b.Homes.Shards[outcome.ShardOf(zones, key.Text)]
	if key.Timed {
		home, ok := shard.Home(service, key.Text, key.UnixMillis)
		return home, nil, ok
	}
	now := time.Now()
	return shard.Current(service, key.Text, now.UnixMilli(), now.Add(-window).UnixMilli())
}

func keyID(service, key string) string {
	return service + " " + key
}

func ask(r *call.Request, key outcome.Key, id string) outcome.Ask {
	return outcome.Ask{
		ID:          id,
		UnixMillis:  key.UnixMillis,
		Timed:       key.Timed,
		Fingerprint: contentSum(r),
		Confirm:     r.Confirm,
		Age:         time.Since(r.Entered),
		Token:       uuid.NewString(),
		Single:      r.KeyMinted && !r.Resent,
	}
}

// contentSum tells requests apart that come under one key.
func contentSum(r *call.Request) uint64 {
	return max(hashOf(r, r.Service, r.Method, r.Path), 1)
}

type execution func(ctx context.Context, r *call.Request) call.Reply

// take decides about one copy of a request and returns its answer.
func (h *Home) take(ctx context.Context, r *call.Request, table *outcome.Table[call.Reply], a outcome.Ask, f execution) call.Reply {
	verdict, running := h.begin(ctx, r, table, a, f)
	switch verdict.Action {
	case outcome.Run, outcome.Attach:
		return await(ctx, running)
	case outcome.Answer:
		return verdict.Reply
	case outcome.Challenge:
		return challenge(r, verdict.Token)
	default:
		return refusals[verdict.Action]
	}
}

// refusals are the replies to copies that were neither run nor answered.
var refusals = map[outcome.Action]call.Reply{
	outcome.RefuseNotRun: call.Refused(call.NotRun, call.ReasonOverload, homeRetry),
	outcome.RefuseReused: call.Refused(call.NotAdmitted, call.ReasonKeyReused, 0),
	outcome.RefuseTime:   call.Refused(call.NotAdmitted, call.ReasonKeyTime, 0),
	outcome.RefuseFull:   call.Refused(call.NotAdmitted, call.ReasonMemoryFull, time.Second),
	outcome.RefuseClosed: call.Refused(call.NotAdmitted, call.ReasonDraining, homeRetry),
}

// challenge asks the source to send the request again if its caller still waits. An attempt that a home delegated
// and fenced is over.
func challenge(r *call.Request, token string) call.Reply {
	if r.Delegated {
		return refusals[outcome.RefuseNotRun]
	}
	reply := call.Refused(call.NotAdmitted, call.ReasonOverload, homeRetry)
	reply.Confirm = token
	return reply
}

func (h *Home) begin(ctx context.Context, r *call.Request, table *outcome.Table[call.Reply], a outcome.Ask, f execution) (outcome.Verdict[call.Reply], *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	verdict := table.Begin(time.Now(), a)
	if verdict.Action == outcome.Run {
		h.start(ctx, r, table, a, f)
	}
	return verdict, h.runs[a.ID]
}

// start runs the request apart from the connection that brought it, so that a later copy finds the answer.
func (h *Home) start(ctx context.Context, r *call.Request, table *outcome.Table[call.Reply], a outcome.Ask, f execution) {
	running := &run{done: make(chan struct{})}
	h.runs[a.ID] = running
	h.group.Go(func() {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
		defer cancel()
		reply := f(ctx, r)
		h.settle(table, a.ID, reply)
		running.reply = reply
		close(running.done)
	})
}

func (h *Home) settle(table *outcome.Table[call.Reply], id string, reply call.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.runs, id)
	state := outcome.Done
	if reply.Outcome == call.NotRun {
		state = outcome.NotRun
	}
	remembered := reply
	remembered.AttemptsUsed = 0
	table.Settle(time.Now(), id, state, remembered, len(reply.Body)+replyBytes)
}

func await(ctx context.Context, running *run) call.Reply {
	select {
	case <-running.done:
		return running.reply
	case <-ctx.Done():
		return call.Refused(call.Unknown, call.ReasonDeadline, 0)
	}
}

// execute runs the request on the local backend server, or passes it on once where that did not run it.
func (h *Home) execute(ctx context.Context, r *call.Request) call.Reply {
	reply := h.config.Local.Receive(ctx, r)
	if reply.Outcome == call.NotAdmitted {
		reply.Outcome = call.NotRun
	}
	if h.mayDelegate(r, reply) {
		reply = h.delegate(ctx, r, reply)
	}
	if !r.KeyMinted && reply.Failure() == call.ReasonNone {
		h.config.Budgets.earn(r.Service)
	}
	return reply
}

// delegate passes on what was refused here.
func (h *Home) delegate(ctx context.Context, r *call.Request, refused call.Reply) call.Reply {
	passed := *r
	if !takesNothing(&refused) {
		passed.AttemptsLeft--
	}
	reply := h.config.Delegate(ctx, &passed)
	reply.AttemptsUsed += r.AttemptsLeft - passed.AttemptsLeft
	return reply
}

// mayDelegate reports whether another instance may run what this one did not, and charges the service's budget where
// that is a further attempt. For a key that the entry node minted, the entry node itself tries another home.
func (h *Home) mayDelegate(r *call.Request, reply call.Reply) bool {
	if reply.Outcome != call.NotRun || reply.Final || r.KeyMinted {
		return false
	}
	if takesNothing(&reply) {
		return true
	}
	verdict := h.config.Budgets.decide(r.Service, retry.Attempt{
		Deeper:       reply.Deeper != call.ReasonNone,
		AttemptsLeft: r.AttemptsLeft,
		TimeLeft:     time.Until(r.Deadline),
		Candidates:   1, // whichever the sender chooses
	})
	return verdict == retry.TryAgain
}

// Resolve tells what became of an attempt that was sent to this process.
func (h *Home) Resolve(q peer.Question) peer.Resolution {
	if q.Key == "" && q.Incarnation == h.config.Self.Incarnation {
		return h.resolveIdempotent(q)
	}
	key, err := outcome.ParseKey(q.Key)
	if err != nil || (q.Incarnation != 0 && q.Incarnation != h.config.Self.Incarnation) {
		return peer.Resolution{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	id := keyID(q.Service, q.Key)
	resolution := peer.Resolution{Known: true}
	switch {
	case q.Delegated:
		resolution.State, resolution.Reply = h.delegated.Resolve(now, q.AttemptID)
	case q.Move && h.answersFor(q.MoveTo):
		return peer.Resolution{}
	case q.Move:
		a := outcome.Ask{ID: id, UnixMillis: key.UnixMillis, Timed: key.Timed}
		moving := h.keys.Move(now, a, q.MoveTo)
		resolution.State, resolution.Reply, resolution.Fingerprint = moving.State, moving.Reply, moving.Fingerprint
	default:
		resolution.State, resolution.Reply = h.keys.Resolve(now, id)
	}
	return resolution
}

// resolveIdempotent tells whether an attempt of an idempotent request, which has no key, is still being worked on.
func (h *Home) resolveIdempotent(q peer.Question) peer.Resolution {
	if h.open.has(q.AttemptID) {
		return peer.Resolution{Known: true, State: outcome.Running}
	}
	return peer.Resolution{Known: true, State: outcome.Absent}
}
