package zone

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/zonepb"
)

// Server answers the control messages of other nodes.
type Server struct {
	zonepb.DRPCZoneUnimplementedServer

	controller *Controller
}

// NewServer returns a server on the controller's records.
func NewServer(c *Controller) *Server {
	return &Server{controller: c}
}

// Beat takes a heartbeat.
func (s *Server) Beat(ctx context.Context, m *zonepb.BeatRequest) (*zonepb.BeatReply, error) {
	c := s.controller
	reply := &zonepb.BeatReply{}
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.detector.Heard(m.GetNode(), time.Now())
		if m.GetSelf().GetKey() != "" {
			c.merge(b, recordFrom(m.GetSelf()))
		}
		reply.Leader = b.Leader.Node
		reply.LeaderAddress = b.Leader.PeerAddress
		reply.Digest = c.records.Digest()
	})
	return reply, ctx.Err()
}

// Exchange compares versions and takes in what is offered.
func (s *Server) Exchange(ctx context.Context, m *zonepb.ExchangeRequest) (*zonepb.ExchangeReply, error) {
	c := s.controller
	reply := &zonepb.ExchangeReply{}
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.merge(b, recordsFrom(m.GetOffered())...)
		if len(m.GetHave()) == 0 {
			return
		}
		versions := versionsFrom(m.GetHave())
		reply.Newer = recordMessages(c.records.Newer(versions))
		reply.Wanted = c.records.Wanted(versions)
	})
	return reply, ctx.Err()
}
