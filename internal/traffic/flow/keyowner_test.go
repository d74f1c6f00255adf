package flow

import (
	"context"
	"encoding/binary"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

var selfMember = membership.Member{}

var testBudget = retry.BudgetConfig{EarnRatio: 0.5, Max: 2}

var selfNode = outcome.Node{Name: "access_0", Incarnation: 7}

var (
	ranReply      = call.Reply{Outcome: call.Ran, Status: 200, Body: []byte("booked")}
	shedReply     = call.Refused(call.NotRun, call.ReasonOverload, time.Second)
	drainingReply = call.Refused(call.NotRun, call.ReasonDraining, 0)
	lostReply     = call.Refused(call.Unknown, call.ReasonBackendFailed, 0)
)

// scriptedRunner returns its replies in order, repeats the last one, and counts the runs.
type scriptedRunner struct {
	replies []call.Reply
	runs    int
}

func (r *scriptedRunner) Receive(context.Context, *call.Request) call.Reply {
	reply := r.replies[min(r.runs, len(r.replies)-1)]
	r.runs++
	return reply
}

func newTestKeyOwner(local, other *scriptedRunner) *KeyOwner {
	return NewKeyOwner(KeyOwnerConfig{
		Board:    board.NewLoop(board.Board{}),
		Self:     selfNode,
		Local:    local,
		Delegate: other.Receive,
		Budgets:  NewBudgets(testBudget),
		Load:     func() call.Load { return call.Load{} },
		Table:    outcome.TableConfig{Window: time.Minute, MaxAhead: time.Minute, MaxKeys: 100, MaxBytes: 1 << 20},
	})
}

// uuidOf returns a UUIDv7 of the time. The UUIDs that the library generates never go back in time, but the fake clock of
// synctest does.
func uuidOf(now time.Time) uuid.UUID {
	id := uuid.New()
	millis := binary.BigEndian.AppendUint64(nil, uint64(now.UnixMilli()))
	copy(id[:6], millis[2:])
	id[6] = id[6]&0x0f | 0x70
	return id
}

// booking returns a request with a key that this node owns. Its sending node received it at the given time.
func booking(receivedAt time.Time) *call.Request {
	return &call.Request{
		AttemptID:    uuid.NewString(),
		Service:      "access",
		Method:       "POST",
		Path:         "/bookings",
		Key:          outcome.Mint(selfNode, uuidOf(time.Now())),
		Deadline:     time.Now().Add(time.Minute),
		AttemptsLeft: 1,
		ReceivedAt:   receivedAt,
	}
}

func TestKeyOwnerDelegatesOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		local, other call.Reply
		attempts     int
		want         call.Outcome
		delegated    int
		used         int
	}{
		"ran locally":                         {local: ranReply, attempts: 1, want: call.Ran},
		"shed locally, ran elsewhere":         {local: shedReply, other: ranReply, attempts: 1, want: call.Ran, delegated: 1, used: 1},
		"shed locally and elsewhere":          {local: shedReply, other: shedReply, attempts: 1, want: call.NotRun, delegated: 1, used: 1},
		"no attempt left":                     {local: shedReply, other: ranReply, want: call.NotRun},
		"leaving node uses no attempt":        {local: drainingReply, other: ranReply, want: call.Ran, delegated: 1},
		"reply lost locally, not delegated":   {local: lostReply, other: ranReply, attempts: 1, want: call.Unknown},
		"reply lost elsewhere, not run again": {local: shedReply, other: lostReply, attempts: 1, want: call.Unknown, delegated: 1, used: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			local, other := &scriptedRunner{replies: []call.Reply{tc.local}}, &scriptedRunner{replies: []call.Reply{tc.other}}
			keyOwner := newTestKeyOwner(local, other)
			r := booking(time.Now())
			r.AttemptsLeft = tc.attempts
			reply := keyOwner.Receive(t.Context(), r)
			is.Equal(reply.Outcome, tc.want)
			is.Equal(reply.AttemptsUsed, tc.used)
			is.Equal(other.runs, tc.delegated)
			if tc.want != call.NotRun {
				is.Equal(keyOwner.Receive(t.Context(), r).Outcome, tc.want) // remembered
				is.Equal(local.runs, 1)
			}
		})
	}
}

// Delegated requests with a key from their caller are charged to the retry budget of the service like retries. Returning
// a remembered reply is not charged.
func TestDelegationChargesRetryBudget(t *testing.T) {
	is := is.New(t)
	local, other := &scriptedRunner{replies: []call.Reply{shedReply}}, &scriptedRunner{replies: []call.Reply{ranReply, shedReply}}
	keyOwner := newTestKeyOwner(local, other)
	first := booking(time.Now())
	is.Equal(keyOwner.Receive(t.Context(), first).Outcome, call.Ran) // takes one of two tokens and earns half a token
	is.Equal(keyOwner.Receive(t.Context(), booking(time.Now())).Outcome, call.NotRun)
	for range 10 {
		is.Equal(keyOwner.Receive(t.Context(), booking(time.Now())).Outcome, call.NotRun)
	}
	is.Equal(other.runs, 2)
	is.Equal(keyOwner.Receive(t.Context(), first).Outcome, call.Ran) // remembered
	local.replies = append(slices.Repeat([]call.Reply{shedReply}, local.runs), ranReply)
	is.Equal(keyOwner.Receive(t.Context(), booking(time.Now())).Outcome, call.Ran) // brings the budget to one token
	local.replies = []call.Reply{shedReply}
	is.Equal(keyOwner.Receive(t.Context(), booking(time.Now())).Outcome, call.NotRun)
	is.Equal(other.runs, 3)
}

// A copy that entered before the caller got the outcome not_run must not run. A resend that entered later runs.
func TestLateCopyAfterNotRun(t *testing.T) {
	synctest.Test(t, testLateCopy)
}

func testLateCopy(t *testing.T) {
	is := is.New(t)
	local := &scriptedRunner{replies: []call.Reply{shedReply, ranReply}}
	keyOwner := newTestKeyOwner(local, &scriptedRunner{replies: []call.Reply{shedReply}})
	x := &exchange{local: keyOwner}
	first := booking(time.Now())
	first.AttemptsLeft = 0
	late := *first
	is.Equal(keyOwner.Receive(t.Context(), first).Outcome, call.NotRun)
	reply, err := x.callKeyed(t.Context(), selfMember, &late)
	is.NoErr(err)
	is.Equal(reply.Outcome, call.NotRun)
	is.Equal(local.runs, 1)
	time.Sleep(time.Millisecond)
	resend := *first
	resend.ReceivedAt = time.Now()
	reply, err = x.callKeyed(t.Context(), selfMember, &resend)
	is.NoErr(err)
	is.Equal(reply.Outcome, call.Ran)
}

// The first copy ran and its reply was lost. If the resend is shed, at the key owner or at the entry node, its caller
// must not get the outcome not_run.
func TestResendAfterLostReplyIsNotToldNotRun(t *testing.T) {
	is := is.New(t)
	local := &scriptedRunner{replies: []call.Reply{ranReply, shedReply}}
	keyOwner := newTestKeyOwner(local, &scriptedRunner{replies: []call.Reply{shedReply}})
	r := booking(time.Now())
	is.Equal(keyOwner.Receive(t.Context(), r).Outcome, call.Ran)
	resent := keyOwner.Receive(t.Context(), r)
	is.Equal(resent.Outcome, call.Ran)
	is.Equal(string(resent.Body), "booked")

	e := newEntryThrottles(throttle.DefaultConfig)
	refusal, admitted := call.Reply{}, true
	for range 1000 {
		if refusal, admitted = e.admit(time.Now(), r); !admitted {
			break
		}
		e.observe(time.Now(), r, &shedReply)
	}
	is.True(!admitted)
	is.Equal(refusal.Outcome, call.NotAdmitted)
}

// boardWithEarlierOwner returns a board on which another node owned all keys before this one. The epoch of this node
// lasts for epochLength.
func boardWithEarlierOwner(epochLength time.Duration) board.Board {
	earlier := outcome.Node{Name: "access_1", Incarnation: 3}
	now := time.Now().UnixMilli()
	until := now + epochLength.Milliseconds()
	return board.Board{
		Members: board.Members{ByNode: map[string]membership.Member{earlier.Name: {Node: earlier.Name, Incarnation: earlier.Incarnation}}},
		KeyOwners: board.KeyOwners{Shards: map[string]outcome.Shard{"lisbon": {Epochs: []outcome.Epoch{
			{Start: now - 1000, Until: now, Members: []outcome.Member{{Node: earlier}}},
			{Start: now, Until: until, Members: []outcome.Member{{Node: selfNode}}},
		}}}},
	}
}

// A key owner whose epoch ends while it queries an earlier owner must not run the request: the next owner may no longer
// query this node.
func TestEpochEndsDuringQueryOfEarlierOwner(t *testing.T) {
	for name, tc := range map[string]struct {
		responseTime time.Duration
		want         call.Outcome
		runs         int
	}{
		"response within the epoch": {responseTime: time.Second, want: call.Ran, runs: 1},
		"response after the epoch":  {responseTime: 5 * time.Second, want: call.NotAdmitted},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				local := &scriptedRunner{replies: []call.Reply{ranReply}}
				keyOwner := newTestKeyOwner(local, local)
				keyOwner.config.Board = board.NewLoop(boardWithEarlierOwner(4 * time.Second))
				keyOwner.config.Zones = []string{"lisbon"}
				keyOwner.config.ResolveAt = func(context.Context, string, peer.ResolveQuery) (peer.Resolution, error) {
					time.Sleep(tc.responseTime)
					return peer.Resolution{Known: true, State: outcome.Moved}, nil
				}
				r := booking(time.Now())
				r.Key = "booking-17"
				is.Equal(keyOwner.Receive(t.Context(), r).Outcome, tc.want)
				is.Equal(local.runs, tc.runs)
			})
		})
	}
}

// A leaving key owner may get no useful response about an earlier owner, because its successor may already have the keys.
// It refuses as draining, so that the caller's node sends the request to the successor.
func TestLeavingOwnerRefusesMovedKey(t *testing.T) {
	for name, tc := range map[string]struct {
		leaving bool
		want    call.Reason
	}{
		"leaving":               {leaving: true, want: call.ReasonDraining},
		"earlier owner is gone": {want: call.ReasonOwnerUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			keyOwner := newTestKeyOwner(&scriptedRunner{}, &scriptedRunner{})
			keyOwner.config.Board = board.NewLoop(boardWithEarlierOwner(time.Minute))
			keyOwner.config.Zones = []string{"lisbon"}
			keyOwner.config.ResolveAt = func(context.Context, string, peer.ResolveQuery) (peer.Resolution, error) {
				if tc.leaving {
					keyOwner.beginLeaving()
				}
				return peer.Resolution{}, nil
			}
			r := booking(time.Now())
			r.Key = "booking-17"
			reply := keyOwner.Receive(t.Context(), r)
			is.Equal(reply.Outcome, call.NotAdmitted)
			is.Equal(reply.Reason, tc.want)
		})
	}
}

// Keys can be handed over several times while records of nodes that have left remain on the board.
func TestHandoverRecipientIsLastInChain(t *testing.T) {
	is := is.New(t)
	owner := outcome.Node{Name: "access_1", Incarnation: 3}
	members := map[string]membership.Member{}
	chain := []outcome.Node{owner, {Name: "access_2", Incarnation: 4}, {Name: "access_3", Incarnation: 5}, {Name: "access_1", Incarnation: 6}}
	names := ""
	for i, n := range chain {
		members[n.Name] = membership.Member{Node: n.Name, Incarnation: n.Incarnation, AnswersFor: names}
		names = ownerName(chain[i]) + " " + names
	}
	for range 100 { // the iteration order of the map differs
		m, ok := handoverRecipient(&board.Board{Members: board.Members{ByNode: members}}, owner)
		is.True(ok)
		is.Equal(m.Incarnation, uint64(6))
	}
}

// A key that was used with another request at its earlier owner is refused, whether that request has run or not.
func TestMovedKeyReusedForAnotherRequest(t *testing.T) {
	r := booking(time.Now())
	r.Key = "booking-17"
	same := contentHash(r)
	for name, tc := range map[string]struct {
		resolution peer.Resolution
		want       call.Outcome
		reason     call.Reason
	}{
		"same request, done":           {resolution: peer.Resolution{State: outcome.Done, Reply: ranReply, Fingerprint: same}, want: call.Ran},
		"same request, moved":          {resolution: peer.Resolution{State: outcome.Moved, Fingerprint: same}, want: call.Ran},
		"unknown to the earlier owner": {resolution: peer.Resolution{State: outcome.Moved}, want: call.Ran},
		"another request, done":        {resolution: peer.Resolution{State: outcome.Done, Reply: ranReply, Fingerprint: same + 1}, want: call.NotAdmitted, reason: call.ReasonKeyReused},
		"another request, moved":       {resolution: peer.Resolution{State: outcome.Moved, Fingerprint: same + 1}, want: call.NotAdmitted, reason: call.ReasonKeyReused},
		"another request, running":     {resolution: peer.Resolution{State: outcome.Running, Fingerprint: same + 1}, want: call.NotAdmitted, reason: call.ReasonKeyReused},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			keyOwner := newTestKeyOwner(&scriptedRunner{replies: []call.Reply{ranReply}}, &scriptedRunner{})
			keyOwner.config.Board = board.NewLoop(boardWithEarlierOwner(time.Minute))
			keyOwner.config.Zones = []string{"lisbon"}
			keyOwner.config.ResolveAt = func(context.Context, string, peer.ResolveQuery) (peer.Resolution, error) {
				tc.resolution.Known = true
				return tc.resolution, nil
			}
			reply := keyOwner.Receive(t.Context(), r)
			is.Equal(reply.Outcome, tc.want)
			is.Equal(reply.Reason, tc.reason)
		})
	}
}
