package peer

import (
	"context"
	"fmt"
	"time"

	"storj.io/drpc"

	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// StoredRoutes is a version of the routes as the platform's store holds it.
type StoredRoutes struct {
	Version uint64
	// Value is the value in the store. It is empty if the version is not newer than that of the asking node.
	Value []byte
}

// newerRoutesTimeout limits one question for newer routes.
const newerRoutesTimeout = 500 * time.Millisecond

// NewerRoutes asks the node at the address for its routes, if they are newer than the version. The value must be checked
// like one from the store.
func (c *Client) NewerRoutes(ctx context.Context, u UseOptions, version uint64) (StoredRoutes, error) {
	ctx, cancel := context.WithTimeout(ctx, newerRoutesTimeout)
	defer cancel()
	request := &peerpb.NewerRequest{SourceNode: c.node, Version: version}
	var reply *peerpb.NewerReply
	err := c.pool.UseFor(ctx, u, func(conn drpc.Conn) (err error) {
		reply, err = peerpb.NewDRPCRoutesClient(conn).Newer(ctx, request)
		if err == nil && len(reply.GetValue()) > 0 && reply.GetVersion() <= version {
			return fmt.Errorf("%w: version %d is not newer than %d", errMalformedReply, reply.GetVersion(), version)
		}
		return err
	})
	if err != nil {
		return StoredRoutes{}, noReplyError(ctx, u.Address, err)
	}
	return StoredRoutes{Version: reply.GetVersion(), Value: reply.GetValue()}, nil
}

// RoutesSource returns the routes in force.
type RoutesSource interface {
	Versions
	// Stored returns the routes in force; the zero value if there are none.
	Stored() StoredRoutes
}

// RoutesServer serves the routes in force to other nodes.
type RoutesServer struct {
	peerpb.DRPCRoutesUnimplementedServer

	source RoutesSource
}

// NewRoutesServer returns a server of the routes of the source.
func NewRoutesServer(source RoutesSource) *RoutesServer {
	return &RoutesServer{source: source}
}

// Newer returns the routes in force if they are newer than those of the asking node.
func (s *RoutesServer) Newer(_ context.Context, m *peerpb.NewerRequest) (*peerpb.NewerReply, error) {
	s.source.Heard(m.GetSourceNode(), m.GetVersion())
	stored := s.source.Stored()
	reply := &peerpb.NewerReply{Version: stored.Version}
	if stored.Version > m.GetVersion() {
		reply.Value = stored.Value
	}
	return reply, nil
}
