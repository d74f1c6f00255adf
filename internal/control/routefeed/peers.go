package routefeed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

const (
	// askParts is the part of the bound, as a divisor, between two questions to other nodes.
	askParts = 4
	// graceParts is the part of the bound, as a divisor, for which a newer version that another node has may be on its way
	// from the store.
	graceParts = 8
	// ownZoneRatio is the ratio of the questions that stay within the availability zone.
	ownZoneRatio = 0.75
)

// InForce returns the version in force; 0 if there is none.
func (c *Controller) InForce() uint64 {
	return c.Stored().Version
}

// Stored returns the routes in force; the zero value if there are none.
func (c *Controller) Stored() peer.StoredRoutes {
	if stored := c.inForce.Load(); stored != nil {
		return *stored
	}
	return peer.StoredRoutes{}
}

// Heard records the version in force on the named node. A node that is no member is ignored.
func (c *Controller) Heard(node string, version uint64) {
	if version <= c.InForce() {
		return
	}
	if m, known := c.config.Board.Snapshot().Members.ByNode[node]; known {
		c.HeardAt(m.PeerAddress, version)
	}
}

// HeardAt records the version in force on the node at the address.
func (c *Controller) HeardAt(address string, version uint64) {
	if version <= c.InForce() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.newest.version {
		return
	}
	c.newest = heardVersion{version: version, address: address}
	select {
	case c.heard <- struct{}{}:
	default:
	}
}

// newestHeard returns the newest version that another node was heard to have.
func (c *Controller) newestHeard() heardVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// learnFromPeers asks a random node at intervals whether its routes are newer, and a node that was heard to have newer ones
// if they don't arrive from the store.
func (c *Controller) learnFromPeers(ctx context.Context, peers Peers) {
	ticker := time.NewTicker(c.config.Bound / askParts)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if m, ok := c.randomMember(); ok {
				c.ask(ctx, peers, c.useOptions(m))
			}
		case <-c.heard:
			pause.For(ctx, c.config.Bound/graceParts)
			c.catchUp(ctx, peers)
		}
	}
}

// catchUp asks the node that was heard to have the newest version, if that is not in force here.
func (c *Controller) catchUp(ctx context.Context, peers Peers) {
	newest := c.newestHeard()
	if newest.version <= c.InForce() || ctx.Err() != nil {
		return
	}
	c.config.Log.Emit(events.RoutesBehind, events.Fields{
		"version": c.InForce(), "newer": newest.version, "peer": newest.address, "confirmed_ms": c.ConfirmedMs(),
	})
	c.ask(ctx, peers, c.useOptions(c.memberAt(newest.address)))
	if newest.version > c.InForce() && time.Since(c.suspectedAt) >= c.config.Bound {
		c.suspectedAt = time.Now()
		c.follower.Suspect()
	}
}

// ask asks the node at the address for its routes and puts them into force if they are newer. The watch of the store should
// have returned them.
func (c *Controller) ask(ctx context.Context, peers Peers, u peer.UseOptions) {
	stored, err := peers.NewerRoutes(ctx, u, c.InForce())
	if err != nil {
		c.config.Log.Emit(events.RoutesUnanswered, events.Fields{"peer": u.Address, "error": err.Error()})
		return
	}
	if len(stored.Value) > 0 && c.apply(ctx, stored.Value, events.Fields{"learned_from": sourcePeer, "peer": u.Address}) {
		c.follower.Suspect()
	}
}

// useOptions returns how the member is asked. Messages to another availability zone are compressed.
func (c *Controller) useOptions(m membership.Member) peer.UseOptions {
	return peer.UseOptions{Address: m.PeerAddress, Compress: m.Zone != c.config.Board.Snapshot().Self.Zone}
}

// memberAt returns the member at the peer address, or one with only that if there is none.
func (c *Controller) memberAt(address string) membership.Member {
	for _, m := range c.config.Board.Snapshot().Members.ByNode {
		if m.PeerAddress == address {
			return m
		}
	}
	return membership.Member{PeerAddress: address}
}

// randomMember returns a random other member that doesn't leave, mostly of the own availability zone.
func (c *Controller) randomMember() (membership.Member, bool) {
	b := c.config.Board.Snapshot()
	var near, all []membership.Member
	for name, m := range b.Members.ByNode {
		if name == b.Self.Node || m.State == membership.Leaving {
			continue
		}
		all = append(all, m)
		if m.Zone == b.Self.Zone {
			near = append(near, m)
		}
	}
	if len(near) > 0 && rand.Float64() < ownZoneRatio {
		all = near
	}
	if len(all) == 0 {
		return membership.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}
