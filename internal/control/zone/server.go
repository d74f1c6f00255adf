package zone

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/zonepb"
)

// maxRecordBytes limits the total size of the values in one message, except that a single larger record is sent alone.
const maxRecordBytes = 1 << 20

// Server answers the control messages of other nodes.
type Server struct {
	zonepb.DRPCZoneUnimplementedServer

	controller *Controller
}

// NewServer returns a server for the controller's records.
func NewServer(c *Controller) *Server {
	return &Server{controller: c}
}

// Beat handles a heartbeat.
func (s *Server) Beat(ctx context.Context, m *zonepb.BeatRequest) (*zonepb.BeatReply, error) {
	c := s.controller
	reply := &zonepb.BeatReply{}
	c.config.Board.Do(ctx, func(b *board.Board) {
		now := time.Now()
		c.counts.HeartbeatsReceived++
		c.detector.RecordHeartbeat(m.GetNode(), now)
		c.merge(b, recordsFrom(m.GetChanged())...)
		if m.GetLeads() && m.GetZone() == b.Self.Zone {
			c.election.SuggestLeader(now, membership.Target{Node: m.GetNode(), Address: m.GetAddress()}, m.GetLeased())
		}
		c.answerLeader(reply, now)
		c.answerChanges(reply, m, b.Self.Zone)
	})
	return reply, ctx.Err()
}

func (c *Controller) answerLeader(reply *zonepb.BeatReply, now time.Time) {
	reply.Leads = c.role != membership.Following
	reply.Leased = c.role == membership.Leading
	followed, leads, leased := c.election.Followed(now)
	if leads && !reply.Leads {
		reply.Leader = followed.Node
		reply.LeaderAddress = followed.Address
		reply.Leased = leased
	}
}

// answerChanges adds the changes that the sender has not seen. A sender that does not know this log gets the records
// that are renewed continuously, and compares digests for the rest.
func (c *Controller) answerChanges(reply *zonepb.BeatReply, m *zonepb.BeatRequest, own string) {
	reply.Log = c.logID
	reply.Digest = c.records.Digest()
	reply.Next = c.records.LastChange()
	filter := renewalFilter(m, own)
	if m.GetLog() != c.logID {
		reply.Newer = recordMessages(c.records.RenewedRecords(filter))
		return
	}
	newer, next := c.records.Since(m.GetSeen(), maxRecordBytes, filter)
	reply.Newer = changeMessages(newer)
	reply.Next = next
	reply.More = next < c.records.LastChange()
}

// renewalFilter returns a filter for the renewals that the sender of the heartbeat gets: those of this node's zone, if
// the sender belongs to that zone or leads another zone.
func renewalFilter(m *zonepb.BeatRequest, own string) membership.ZoneFilter {
	concerned := m.GetZone() == own || m.GetLeads()
	return func(zone string) bool { return concerned && zone == own }
}

// Exchange merges the offered records and returns the wanted ones. If the request holds digests, it also returns this
// node's digests and its versions in the buckets that differ.
func (s *Server) Exchange(ctx context.Context, m *zonepb.ExchangeRequest) (*zonepb.ExchangeReply, error) {
	c := s.controller
	reply := &zonepb.ExchangeReply{}
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.merge(b, recordsFrom(m.GetOffered())...)
		if len(m.GetDigests()) > 0 {
			reply.Digests = c.records.Digests()
			reply.Have = versionMessages(c.records.Versions(m.GetDigests()))
		}
		reply.Newer = recordMessages(c.recordsThatFit(m.GetWanted()))
	})
	return reply, ctx.Err()
}

// recordsThatFit returns the records under the keys, up to the size limit of a message.
func (c *Controller) recordsThatFit(keys []string) []membership.Record {
	var records []membership.Record
	remaining := maxRecordBytes
	for _, key := range keys {
		r, ok := c.records.Get(key)
		if !ok {
			continue
		}
		remaining -= len(r.Value)
		if len(records) > 0 && remaining < 0 {
			break
		}
		records = append(records, r)
	}
	return records
}
