package peer

import (
	"fmt"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

var outcomeMessages = map[call.Outcome]peerpb.Outcome{
	call.Unknown:     peerpb.Outcome_OUTCOME_UNKNOWN,
	call.Ran:         peerpb.Outcome_OUTCOME_RAN,
	call.NotRun:      peerpb.Outcome_OUTCOME_NOT_RUN,
	call.NotAdmitted: peerpb.Outcome_OUTCOME_NOT_ADMITTED,
}

var outcomes = map[peerpb.Outcome]call.Outcome{
	peerpb.Outcome_OUTCOME_UNKNOWN:      call.Unknown,
	peerpb.Outcome_OUTCOME_RAN:          call.Ran,
	peerpb.Outcome_OUTCOME_NOT_RUN:      call.NotRun,
	peerpb.Outcome_OUTCOME_NOT_ADMITTED: call.NotAdmitted,
}

// requestMessage returns the message of a request that the node sends while the version of the routes is in force there.
func requestMessage(r *call.Request, node string, routesVersion uint64, now time.Time) *peerpb.CallRequest {
	return &peerpb.CallRequest{
		AttemptId:           r.AttemptID,
		RootId:              r.Root.ID,
		RootStartUnixMicros: r.Root.Start.UnixMicro(),
		Service:             r.Service,
		Kind:                r.Kind,
		Method:              r.Method,
		Path:                r.Path,
		Headers:             encodeHeaders(r.Header),
		Body:                r.Body,
		Key:                 r.Key,
		KeyMinted:           r.KeyMinted,
		Idempotent:          r.Idempotent,
		Rank:                int32(r.Root.Rank),
		Depth:               int32(r.Depth),
		AttemptsLeft:        int32(r.AttemptsLeft),
		TimeLeftMicros:      r.Deadline.Sub(now).Microseconds(),
		Caller:              r.Root.Caller,
		SourceNode:          node,
		Delegated:           r.Delegated,
		Crashes:             int32(r.Crashes),
		Confirm:             r.ChallengeToken,
		AgeMicros:           now.Sub(r.ReceivedAt).Microseconds(),
		Resent:              r.Resent,
		TargetIncarnation:   r.TargetIncarnation,
		Spilled:             r.Spilled,
		RoutesVersion:       routesVersion,
		ReplyGraceMicros:    r.ReplyGrace.Microseconds(),
	}
}

// parseRequest validates a message from another node and returns its request.
func parseRequest(m *peerpb.CallRequest, now time.Time) (*call.Request, error) {
	if m.GetAttemptId() == "" || m.GetService() == "" || m.GetKind() == "" || m.GetMethod() == "" {
		return nil, fmt.Errorf("attempt, service, kind or method is missing")
	}
	if m.GetRank() < 0 || m.GetRank() >= admission.Ranks {
		return nil, fmt.Errorf("rank %d is out of range", m.GetRank())
	}
	if m.GetAttemptsLeft() < 0 || m.GetDepth() < 0 || m.GetCrashes() < 0 || m.GetReplyGraceMicros() < 0 {
		return nil, fmt.Errorf("attempts, depth, crashes or reply grace is negative")
	}
	header, err := parseHeaders(m.GetHeaders())
	if err != nil {
		return nil, err
	}
	return &call.Request{
		AttemptID: m.GetAttemptId(),
		Root: call.Root{
			ID:     m.GetRootId(),
			Start:  time.UnixMicro(m.GetRootStartUnixMicros()),
			Rank:   int(m.GetRank()),
			Caller: m.GetCaller(),
		},
		Depth:          int(m.GetDepth()),
		Service:        m.GetService(),
		Kind:           m.GetKind(),
		Method:         m.GetMethod(),
		Path:           m.GetPath(),
		Header:         header,
		Body:           m.GetBody(),
		Idempotent:     m.GetIdempotent(),
		Key:            m.GetKey(),
		KeyMinted:      m.GetKeyMinted(),
		Deadline:       now.Add(time.Duration(m.GetTimeLeftMicros()) * time.Microsecond),
		ReplyGrace:     time.Duration(m.GetReplyGraceMicros()) * time.Microsecond,
		AttemptsLeft:   int(m.GetAttemptsLeft()),
		SourceNode:     m.GetSourceNode(),
		Delegated:      m.GetDelegated(),
		Crashes:        int(m.GetCrashes()),
		ReceivedAt:     now.Add(-time.Duration(m.GetAgeMicros()) * time.Microsecond),
		ChallengeToken: m.GetConfirm(),
		Resent:         m.GetResent(),

		TargetIncarnation: m.GetTargetIncarnation(),
		Spilled:           m.GetSpilled(),
	}, nil
}

func replyMessage(attemptID string, r call.Reply) *peerpb.CallReply {
	return &peerpb.CallReply{
		AttemptId:        attemptID,
		Outcome:          outcomeMessages[r.Outcome],
		Reason:           string(r.Reason),
		RetryAfterMicros: r.RetryAfter.Microseconds(),
		Status:           int32(r.Status),
		Headers:          encodeHeaders(r.Header),
		Body:             r.Body,
		AttemptsUsed:     int32(r.AttemptsUsed),
		Final:            r.Final,
		Deeper:           string(r.DownstreamFailure),
		Load: &peerpb.Load{
			InFlight:     int32(r.Load.InFlight),
			Queued:       int32(r.Load.Queued),
			Limit:        int32(r.Load.Limit),
			SheddingRank: int32(r.Load.SheddingRank),
		},
		Confirm:      r.ChallengeToken,
		WaitedMicros: r.QueueingDelay.Microseconds(),
		FarBytes:     r.CrossZoneBytes,
		LeavingStart: r.LeavingStart,
	}
}

// parseReply returns the reply in a message from another node.
func parseReply(m *peerpb.CallReply) (call.Reply, error) {
	header, err := parseHeaders(m.GetHeaders())
	if err != nil {
		return call.Reply{}, err
	}
	reply := call.Reply{
		Outcome:           outcomes[m.GetOutcome()],
		Reason:            call.Reason(m.GetReason()),
		RetryAfter:        time.Duration(m.GetRetryAfterMicros()) * time.Microsecond,
		Status:            int(m.GetStatus()),
		Header:            header,
		Body:              m.GetBody(),
		AttemptsUsed:      int(m.GetAttemptsUsed()),
		Final:             m.GetFinal(),
		DownstreamFailure: call.Reason(m.GetDeeper()),
		Load: call.Load{
			InFlight:     int(m.GetLoad().GetInFlight()),
			Queued:       int(m.GetLoad().GetQueued()),
			Limit:        int(m.GetLoad().GetLimit()),
			SheddingRank: int(m.GetLoad().GetSheddingRank()),
		},
		ChallengeToken: m.GetConfirm(),
		QueueingDelay:  time.Duration(m.GetWaitedMicros()) * time.Microsecond,

		CrossZoneBytes: max(m.GetFarBytes(), 0),
		LeavingStart:   m.GetLeavingStart(),
	}
	return reply, reply.Check()
}
