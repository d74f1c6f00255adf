// Package members updates the board's list of members from the platform's store, and this node's own entry in the
// store from the board. The entry is bound to a lease, so that the store deletes it after the node has failed.
//
// # Usage
//
//	c := members.NewController(members.Config{Board: loop, Store: s, Log: log})
//	c.Run(ctx)
//
// An entry is a membership.Member as JSON. Its key is "members/" followed by the node's name.
package members

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/roster"
)

// Prefix is the prefix of the keys of all entries.
const Prefix = "members/"

const (
	// watchTimeout is how long one watch request waits for a change.
	watchTimeout = 30 * time.Second
	// watchCheckInterval is the least time between two checks beside a watch, and memberCheckInterval the least time for each
	// member, because each check lists all of them.
	watchCheckInterval  = leaseDuration
	memberCheckInterval = 50 * time.Millisecond
	// refreshInterval is the time between checks for unconfirmed members whose retention has ended.
	refreshInterval = time.Second
)

// Config configures a Controller.
type Config struct {
	Board *board.Loop
	Store store.Store
	Log   *events.Limiter
	// BackendLeft is called with a start of the local backend server (see board.Backend.StartID) that has left according to
	// the store, though this process has not learned it. With nil, nothing is called.
	BackendLeft func(ctx context.Context, start string)
}

// Controller reads the list of members from the store and maintains this node's entry in it.
type Controller struct {
	config Config
	roster *roster.Roster
	// rosterEra is the era of the store that the roster's revisions belong to; 0 before the first list.
	rosterEra uint64
	entry     ownEntry
	// missing is the latest position of the own entry's deletion, or of a write of it; nil if none was observed. It is after
	// that of this node's own last write if the entry is gone or was overwritten.
	missing atomic.Pointer[position]
}

// NewController returns a controller with an empty list of members.
func NewController(config Config) *Controller {
	return &Controller{config: config, roster: roster.New(roster.DefaultConfig)}
}

// Run reads members and maintains the own entry until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { c.maintainEntry(ctx) })
	c.follow(ctx)
}

// rosterUpdate is a snapshot of all entries or a list of changes, as received by the follower.
type rosterUpdate struct {
	isSnapshot bool
	position   position
	entries    []roster.Entry
	changes    []roster.Change
}

// follow updates the board's members from the store. Only its goroutine uses the roster.
func (c *Controller) follow(ctx context.Context) {
	updates := make(chan rosterUpdate)
	send := func(ctx context.Context, update rosterUpdate) {
		select {
		case updates <- update:
		case <-ctx.Done():
		}
	}
	follower := store.NewFollower(store.FollowerConfig{
		Store:        c.config.Store,
		Prefix:       Prefix,
		WatchTimeout: watchTimeout,
		CheckInterval: func() time.Duration {
			return max(watchCheckInterval, time.Duration(c.knownMembers())*memberCheckInterval)
		},
		OnSilent: func() {
			c.config.Log.Emit(time.Now(), events.WatchSilent, events.Fields{"watch": Prefix})
		},
		CoalesceDelay: func() time.Duration { return roster.CoalesceDelay(c.knownMembers()) },
		Plan:          roster.NewReadPlan(roster.DefaultReadPlan),
		Known:         c.knownMembers,
		OnList: func(ctx context.Context, s store.Snapshot) {
			send(ctx, rosterUpdate{isSnapshot: true, position: position{s.Era, s.Revision}, entries: c.parseEntries(s.Items)})
		},
		OnChange: func(ctx context.Context, update store.Changes) {
			send(ctx, rosterUpdate{position: position{update.Era, update.Revision}, changes: c.parseChanges(update.Events)})
		},
		OnLost:      func(err error) { c.setPlatformReachable(ctx, false, err) },
		OnRecovered: func() { c.setPlatformReachable(ctx, true, nil) },
	})
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { follower.Run(ctx) })
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case update := <-updates:
			c.applyUpdate(update)
		}
		c.publish(ctx)
	}
}

// knownMembers returns the number of members on the board.
func (c *Controller) knownMembers() int {
	return len(c.config.Board.Snapshot().Members.ByNode)
}

func (c *Controller) applyUpdate(update rosterUpdate) {
	now := time.Now()
	own := Prefix + c.config.Board.Snapshot().Self.Node
	if update.isSnapshot {
		c.enterEra(update.position.era)
		c.roster.Replace(now, update.entries)
		c.observeOwn(update.position, update.entries)
	}
	for _, change := range update.changes {
		c.roster.Apply(now, change)
		if change.Key == own && !c.isLaterStart(change.Entry) {
			c.observeMissing(position{update.position.era, change.Revision})
		}
	}
}

// enterEra prepares the roster for entries of the era. The first list of the process begins an era, too.
func (c *Controller) enterEra(era uint64) {
	if era == c.rosterEra {
		return
	}
	if c.rosterEra != 0 {
		c.config.Log.Emit(time.Now(), events.StoreRestored, events.Fields{"watch": Prefix, "era": era, "previous": c.rosterEra})
	}
	c.rosterEra = era
	c.roster.ForgetRevisions()
}

// parseEntries parses items and skips those that are invalid, as if they were deleted.
func (c *Controller) parseEntries(items []store.Item) []roster.Entry {
	var entries []roster.Entry
	for _, item := range items {
		if e, ok := c.parseEntry(item); ok {
			entries = append(entries, e)
		}
	}
	return entries
}

func (c *Controller) parseEntry(item store.Item) (roster.Entry, bool) {
	e, err := decodeEntry(item)
	if err != nil {
		c.config.Log.Emit(time.Now(), events.EntryUnread, events.Fields{"key": item.Key, "revision": item.Revision, "error": err.Error()})
		return roster.Entry{}, false
	}
	return e, true
}

// parseChanges parses events. An invalid entry counts as deleted, like in a list: its node, if it lives, becomes unconfirmed
// and writes it again.
func (c *Controller) parseChanges(changed []store.Event) []roster.Change {
	var changes []roster.Change
	for _, event := range changed {
		change := roster.Change{Entry: roster.Entry{Key: event.Key, Revision: event.Revision}, Deleted: true}
		if !event.Deleted {
			if e, ok := c.parseEntry(event.Item); ok {
				change = roster.Change{Entry: e}
			}
		}
		changes = append(changes, change)
	}
	return changes
}

// publish writes the members to the board if they have changed.
func (c *Controller) publish(ctx context.Context) {
	next := groupMembers(c.roster.Members(time.Now()))
	before := c.config.Board.Snapshot().Members
	if equalMembers(before, next) {
		return
	}
	c.logChanges(before, next)
	c.config.Board.Do(ctx, func(b *board.Board) { b.Members = next })
}

func (c *Controller) logChanges(before, next board.Members) {
	for name, m := range next.ByNode {
		if before.ByNode[name] != m {
			c.config.Log.Emit(time.Now(), events.MemberUp, events.Fields{
				"member": name, "service": m.Service, "state": string(m.State), "unconfirmed": m.Unconfirmed, "incarnation": m.Incarnation,
			})
		}
	}
	for name := range before.ByNode {
		if _, stays := next.ByNode[name]; !stays {
			c.config.Log.Emit(time.Now(), events.MemberDown, events.Fields{"member": name})
		}
	}
}

func groupMembers(list []membership.Member) board.Members {
	members := board.Members{ByNode: map[string]membership.Member{}, ByService: map[string][]membership.Member{}}
	for _, m := range list {
		members.ByNode[m.Node] = m
		if m.AcceptsRequests() {
			members.ByService[m.Service] = append(members.ByService[m.Service], m)
		}
	}
	return members
}

func equalMembers(a, b board.Members) bool {
	if len(a.ByNode) != len(b.ByNode) {
		return false
	}
	for name, m := range a.ByNode {
		if b.ByNode[name] != m {
			return false
		}
	}
	return true
}

func (c *Controller) setPlatformReachable(ctx context.Context, reachable bool, err error) {
	c.config.Board.Do(ctx, func(b *board.Board) { b.Platform = board.Platform{Reachable: reachable, Since: time.Now()} })
	if reachable {
		c.config.Log.Emit(time.Now(), events.PlatformBack, nil)
		return
	}
	c.config.Log.Emit(time.Now(), events.PlatformLost, events.Fields{"error": err.Error()})
}
