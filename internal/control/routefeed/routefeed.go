// Package routefeed keeps the board's routes up to date from the platform's store. It tells other nodes the version in
// force, and learns of newer versions from them.
//
// # Usage
//
//	c := routefeed.NewController(routefeed.Config{Board: loop, Store: s, Key: key, Decode: decode, Bound: bound, Log: log})
//	client := peer.NewClient(peer.ClientConfig{Pool: pool, Node: name, Versions: c})
//	c.Run(ctx)
package routefeed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

const (
	// watchTimeout is how long one watch of the routes waits for a change.
	watchTimeout = 30 * time.Second
	// checkParts is the part of the bound, as a divisor, that a change may stay unseen because a watch is silent.
	checkParts = 2
	// checksPerSecond limits the checks beside watches that all nodes together make.
	checksPerSecond = 50
	// graceParts is the part of the bound, as a divisor, for which a newer version that another node has may be on its way
	// from the store.
	graceParts = 8
)

// Config configures a Controller. All fields are required.
type Config struct {
	Board *board.Loop
	Store store.Store
	// Key is the key of the routes in the store. Decode decodes and validates its value.
	Key    string
	Decode func(value []byte) (*routes.Table, error)
	// Bound is the time after a change in the store by which the change must be in force.
	Bound time.Duration
	Log   *events.Log
}

// Controller updates the board's routes. It never replaces them by an older version.
type Controller struct {
	config Config
	// inForce is the version in force; 0 if there is none.
	inForce atomic.Uint64
	// confirmedAt is when the store responded last with the routes, or that they haven't changed, in Unix nanoseconds; 0 if
	// never.
	confirmedAt atomic.Int64

	mu sync.Mutex
	// newest is the newest version that another node was heard to have.
	newest heardVersion
	// heard receives a value when newest changes.
	heard chan struct{}
}

// heardVersion is a version of the routes that another node has.
type heardVersion struct {
	version uint64
	// address is the peer address of that node.
	address string
}

// NewController returns a controller without routes.
func NewController(config Config) *Controller {
	return &Controller{config: config, heard: make(chan struct{}, 1)}
}

// Run follows the routes until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { c.watchPeers(ctx) })
	c.follow(ctx)
}

// follow updates the routes from the store.
func (c *Controller) follow(ctx context.Context) {
	store.NewFollower(store.FollowerConfig{
		Store:         c.config.Store,
		Prefix:        c.config.Key,
		WatchTimeout:  watchTimeout,
		CheckInterval: c.checkInterval,
		OnList:        func(ctx context.Context, s store.Snapshot) { c.applyAll(ctx, s, sourceList) },
		OnStale:       func(ctx context.Context, s store.Snapshot) { c.applyAll(ctx, s, sourceStaleList) },
		OnSilent: func() {
			c.config.Log.Emit(events.WatchSilent, events.Fields{"watch": c.config.Key, "confirmed_ms": c.ConfirmedMs()})
		},
		OnChange: func(ctx context.Context, changes store.Changes) {
			for _, e := range changes.Events {
				if !e.Deleted {
					c.apply(ctx, e.Item, sourceWatch)
				}
			}
		},
		OnRead: func() { c.confirmedAt.Store(time.Now().UnixNano()) },
		OnLost: func(err error) {
			c.config.Log.Emit(events.PlatformLost, events.Fields{"watch": c.config.Key, "error": err.Error()})
		},
		OnRecovered: func() { c.config.Log.Emit(events.PlatformBack, events.Fields{"watch": c.config.Key}) },
	}).Run(ctx)
}

// source is where a version of the routes was learned from.
type source string

const (
	sourceList      source = "list"
	sourceStaleList source = "stale_list"
	sourceWatch     source = "watch"
)

// checkInterval returns the time between two checks beside a watch. Each node makes fewer of them in a large fleet, where
// one that learns of a newer version tells it to the others.
func (c *Controller) checkInterval() time.Duration {
	members := time.Duration(len(c.config.Board.Snapshot().Members.ByNode))
	return max(c.config.Bound/checkParts, members*time.Second/checksPerSecond)
}

// applyAll puts the routes of a list into force. A list that is some seconds old is as good as any, because only a newer
// version replaces the one in force.
func (c *Controller) applyAll(ctx context.Context, s store.Snapshot, from source) {
	for _, item := range s.Items {
		c.apply(ctx, item, from)
	}
}

// apply puts the routes of the item into force. Routes with faults are logged and ignored, and routes that are not
// newer than those in force are ignored.
func (c *Controller) apply(ctx context.Context, item store.Item, from source) {
	if item.Key != c.config.Key {
		return
	}
	table, err := c.config.Decode(item.Value)
	if err != nil {
		c.config.Log.Emit(events.RoutesRefused, events.Fields{"revision": item.Revision, "learned_from": from, "error": err.Error()})
		return
	}
	if current := c.config.Board.Snapshot().Routes; current != nil && current.Version >= table.Version {
		return
	}
	c.config.Board.Do(ctx, func(b *board.Board) { b.Routes = table })
	c.inForce.Store(table.Version)
	c.config.Log.Emit(events.RoutesInForce, events.Fields{
		"version": table.Version, "revision": item.Revision, "routes": len(table.Configuration.Routes), "learned_from": from,
	})
}

// InForce returns the version in force; 0 if there is none.
func (c *Controller) InForce() uint64 {
	return c.inForce.Load()
}

// Heard records the version in force on the named node. A node that is no member is ignored.
func (c *Controller) Heard(node string, version uint64) {
	if version <= c.inForce.Load() {
		return
	}
	if m, known := c.config.Board.Snapshot().Members.ByNode[node]; known {
		c.HeardAt(m.PeerAddress, version)
	}
}

// HeardAt records the version in force on the node at the address.
func (c *Controller) HeardAt(address string, version uint64) {
	if version <= c.inForce.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.newest.version {
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

// watchPeers logs that this node is behind if a newer version of another node doesn't arrive from the store.
func (c *Controller) watchPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.heard:
		}
		pause.For(ctx, c.config.Bound/graceParts)
		if newest := c.newestHeard(); newest.version > c.inForce.Load() {
			c.logBehind(newest)
		}
	}
}

func (c *Controller) logBehind(newest heardVersion) {
	c.config.Log.Emit(events.RoutesBehind, events.Fields{
		"version": c.inForce.Load(), "newer": newest.version, "peer": newest.address, "confirmed_ms": c.ConfirmedMs(),
	})
}

// ConfirmedMs returns how long ago the store responded last with the routes, or that they haven't changed, in milliseconds.
// It is -1 if the store never did.
func (c *Controller) ConfirmedMs() int64 {
	at := c.confirmedAt.Load()
	if at == 0 {
		return -1
	}
	return time.Since(time.Unix(0, at)).Milliseconds()
}

// NewestHeard returns the newest version that is known to exist.
func (c *Controller) NewestHeard() uint64 {
	return max(c.newestHeard().version, c.inForce.Load())
}
