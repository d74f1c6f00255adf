// Package keyowners maintains the assignment of idempotency keys to the nodes that remember them, the key owners. The
// leader of each availability zone maintains one record at the platform, the zone's shard, which is a sequence of
// epochs. The leader regularly moves the end of the last epoch forward, and appends an epoch when the members of the
// zone change. Every write is a compare-and-swap on the record last read, so concurrent or late writers cannot make the
// epochs diverge.
//
// The end is moved by a promise of the shard's two keepers, the writer and a node of another zone, without a call to the
// platform. The record is written when anything else changes, when a keeper gives no promise, and at intervals to move
// the limit of the promises.
//
// If the end of a shard has passed for some time and its zone has no leader at the platform, the leader of another
// zone maintains the shard until the zone has a leader again.
//
// # Usage
//
//	c := keyowners.NewController(keyowners.Config{...})
//	zoneConfig.Sections = map[string]zone.Section{keyowners.Prefix: c.Section()}
//	c.Run(ctx, offerer)
package keyowners

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// Prefix is the prefix of the keys of the shards' records at the platform.
const Prefix = "homes/"

// Offerer distributes records that were created on this node to the other nodes.
type Offerer interface {
	Offer(ctx context.Context, records ...membership.Record)
}

// Config configures a Controller.
type Config struct {
	Board    *board.Loop
	Platform *platform.Client
	Log      *events.Log
	// Self is the name and incarnation of this node.
	Self  outcome.Node
	Peers *peer.Client
	// Zones lists all availability zones. The list must be the same on all nodes.
	Zones  []string
	Timing Timing
}

// Timing holds the intervals and delays for maintaining shards.
type Timing struct {
	// RenewInterval is the time between two renewals of a shard.
	RenewInterval time.Duration
	// MaxWriteInterval is the longest time between two writes of a record to the platform.
	MaxWriteInterval time.Duration
	// Horizon is the time from a renewal to the end that it gives the last epoch.
	Horizon time.Duration
	// Window is the time for which callers may send a key again.
	Window time.Duration
	// ElectionAllowance is added to Horizon while the leader stops, for the time in which the zone has no leader.
	ElectionAllowance time.Duration
	// Reserve is how far the end may be moved by promises of the keepers, without a write to the platform. If a shard
	// loses both keepers at the same time, it can't be renewed for up to that time.
	Reserve time.Duration
	// InitialShardDelay is the time from the start of a leader's process until it may begin another zone's shard that
	// has no epoch yet.
	InitialShardDelay time.Duration
	// TakeoverDelay is the time from the end of a shard until the leader of another zone may take it over.
	TakeoverDelay time.Duration
}

// DefaultTiming holds the default intervals and delays.
var DefaultTiming = Timing{
	RenewInterval:     time.Second,
	MaxWriteInterval:  2 * time.Minute,
	Horizon:           4 * time.Second,
	Window:            2 * time.Minute,
	ElectionAllowance: 6 * time.Second,
	Reserve:           10 * time.Minute,

	InitialShardDelay: 10 * time.Second,
	TakeoverDelay:     3 * time.Second,
}

// Controller maintains shards while its node leads its availability zone, and answers as a keeper of shards.
type Controller struct {
	config  Config
	started time.Time
	// leaderSince is the time at which this node became the leader of its zone; zero while it does not lead. Used only by
	// the goroutine of Run.
	leaderSince time.Time
	// entries holds the records last read or written, by shard. Used only by the goroutine of Run.
	entries map[string]platform.Entry
	// unacknowledged holds the shards whose last write to the platform, of more than a new end, got no response. Their
	// ends are not moved by promises, because the record at the platform may name other keepers.
	unacknowledged map[string]bool

	mu       sync.Mutex
	promises *outcome.Promises
	// watchedRevisions holds the revision that the watch on the platform reported last, by shard.
	watchedRevisions map[string]uint64
}

// NewController returns a controller.
func NewController(config Config) *Controller {
	return &Controller{
		config:           config,
		started:          time.Now(),
		entries:          map[string]platform.Entry{},
		unacknowledged:   map[string]bool{},
		promises:         outcome.NewPromises(),
		watchedRevisions: map[string]uint64{},
	}
}

// Section returns the functions that decode shards from the platform and publish them on the board.
func (c *Controller) Section() zone.Section {
	return zone.Section{Decode: c.decode, Publish: publishShards, Structure: shardStructure}
}

// Run renews shards at each interval until the context ends.
func (c *Controller) Run(ctx context.Context, offerer Offerer) {
	ticker := time.NewTicker(c.config.Timing.RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx, offerer)
		}
	}
}

func (c *Controller) tick(ctx context.Context, offerer Offerer) {
	b := c.config.Board.Snapshot()
	if b.Leader.IsSelf {
		if c.leaderSince.IsZero() {
			c.leaderSince = time.Now()
		}
		for _, shard := range c.config.Zones {
			if c.maintainsShard(time.Now(), b, shard) && !c.maintainShard(ctx, offerer, b, shard) {
				break // the platform does not respond; trying the other shards too would delay the promises below
			}
		}
	} else {
		c.leaderSince = time.Time{}
		clear(c.entries)
	}
	for shard := range b.KeyOwners.Shards {
		c.extendByPromise(ctx, offerer, shard, c.config.Timing.Horizon/2)
	}
}

// maintainsShard reports whether the leader of this zone maintains the shard. It maintains the zone's own shard
// always, a shard that it has taken over already, and the shard of another zone from TakeoverDelay after its end.
func (c *Controller) maintainsShard(now time.Time, b *board.Board, shard string) bool {
	if shard == b.Self.Zone {
		return true
	}
	last := b.KeyOwners.Shards[shard].Last()
	if last.Until == 0 {
		return now.Sub(c.started) > c.config.Timing.InitialShardDelay
	}
	overdue := now.Sub(time.UnixMilli(last.Until)) > c.config.Timing.TakeoverDelay
	// While it followed, this node did not receive the new ends of other zones' shards.
	overdue = overdue && now.Sub(c.leaderSince) > c.config.Timing.TakeoverDelay
	return overdue || last.Zone == b.Self.Zone
}

// maintainShard moves the end of the shard, by the keepers' promise or by a write to the platform. It reports false if
// the platform was needed and did not respond.
func (c *Controller) maintainShard(ctx context.Context, offerer Offerer, b *board.Board, shard string) bool {
	entry, ok := c.cachedEntry(ctx, shard)
	if !ok {
		return false
	}
	if !c.needsWrite(time.Now(), b, shard, entry) && c.extendByPromise(ctx, offerer, shard, c.config.Timing.Horizon) {
		return true
	}
	hasLeader, err := c.isLedByOtherZone(ctx, b, shard)
	if err != nil {
		return false
	}
	return hasLeader || c.writeShard(ctx, offerer, shard, entry)
}

// needsWrite reports whether the record must be written to the platform: it differs by more than the end from what this
// leader would write, the watch reported another revision, or the limit for promises is too near.
func (c *Controller) needsWrite(now time.Time, b *board.Board, shard string, entry platform.Entry) bool {
	known := b.KeyOwners.Shards[shard]
	written := parseShard(entry.Value)
	reserve := c.reserve(b)
	if known.Term != written.Term || !known.IsFirstKeeper(c.config.Self) || c.unacknowledged[shard] || !c.isCurrent(shard, entry) {
		return true
	}
	if reserve < c.config.Timing.Reserve || time.UnixMilli(written.Limit).Sub(now) < reserve-c.config.Timing.MaxWriteInterval {
		return true
	}
	next, changed := known.Renew(c.renewal(b, written))
	return !changed || next.Term != written.Term
}

// isLedByOtherZone reports whether another zone maintains the shard, still has eligible key owners, and has a leader at
// the platform. In that case the end only looks expired to this node, because the two zones can't reach each other.
func (c *Controller) isLedByOtherZone(ctx context.Context, b *board.Board, shard string) (bool, error) {
	renewer := b.KeyOwners.Shards[shard].Last().Zone
	if shard == b.Self.Zone || renewer == b.Self.Zone || len(eligibleOwners(b, renewer)) == 0 {
		return false, nil
	}
	_, err := c.config.Platform.Get(ctx, zone.LeaderPrefix+renewer)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// writeShard writes the shard to the platform. It reports false if the platform did not respond.
func (c *Controller) writeShard(ctx context.Context, offerer Offerer, shard string, entry platform.Entry) bool {
	b := c.config.Board.Snapshot()
	written := parseShard(entry.Value)
	base, ok := c.writeBase(ctx, b, shard, written)
	if !ok {
		return true
	}
	next, changed := base.Renew(c.renewal(b, written))
	if !changed {
		return true
	}
	c.unacknowledged[shard] = c.unacknowledged[shard] || next.Term != written.Term || next.Limit < written.Limit
	value, err := json.Marshal(next)
	if err != nil {
		return true
	}
	swapped, err := c.config.Platform.CompareAndSwap(ctx, platform.Swap{Key: Prefix + shard, Value: value, Expected: entry.Revision})
	if err != nil {
		delete(c.entries, shard)
		return errors.Is(err, platform.ErrCompareFailed)
	}
	c.cacheEntry(shard, swapped)
	delete(c.unacknowledged, shard)
	if !slices.Equal(next.Last().Members, written.Last().Members) {
		c.config.Log.Emit(events.KeyOwnersChanged, events.Fields{"shard": shard, "members": len(next.Last().Members)})
	}
	offerer.Offer(ctx, shardRecord(Prefix+shard, value))
	return true
}

// cachedEntry returns the record as last read or written, and reads it from the platform if it is not cached.
func (c *Controller) cachedEntry(ctx context.Context, shard string) (platform.Entry, bool) {
	if cached, ok := c.entries[shard]; ok {
		return cached, true
	}
	read, err := c.config.Platform.Get(ctx, Prefix+shard)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, false
	}
	c.cacheEntry(shard, read)
	delete(c.unacknowledged, shard)
	return read, true
}

// cacheEntry caches an entry that the platform has just returned.
func (c *Controller) cacheEntry(shard string, entry platform.Entry) {
	c.entries[shard] = entry
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedRevisions[shard] = entry.Revision
}

// isCurrent reports whether the watch has reported no other revision since the entry was read or written. The watch
// reports an older revision if the platform lags, or was restored to older content.
func (c *Controller) isCurrent(shard string, cached platform.Entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watchedRevisions[shard] == cached.Revision
}

// mergeShards returns the shard whose last epoch ends later, so that a platform restored from an older copy does not
// revert epochs. If both have the same term, the later limit applies.
func mergeShards(known, written outcome.Shard) outcome.Shard {
	limit := max(known.Limit, written.Limit)
	merged := written
	if known.Last().Until > written.Last().Until {
		merged = known
	}
	if known.Term == written.Term {
		merged.Limit = limit
	}
	return merged
}

func (c *Controller) renewal(b *board.Board, written outcome.Shard) outcome.Renewal {
	now := time.Now()
	horizon := c.config.Timing.Horizon
	members := eligibleOwners(b, b.Self.Zone)
	if b.Self.Draining || b.Backend.Leaving {
		horizon += c.config.Timing.ElectionAllowance
		members = orLastMembers(members, written)
	}
	return outcome.Renewal{
		Until:      now.Add(horizon).UnixMilli(),
		DropBefore: now.Add(-c.config.Timing.Window).UnixMilli(),
		Zone:       b.Self.Zone,
		Members:    members,
		Keepers:    c.chooseKeepers(b, written),
		Reserve:    c.reserve(b).Milliseconds(),
	}
}

// orLastMembers returns the key owners of the last epoch if there are no members: the last node of a zone to leave
// continues the epoch, because its successor answers for the keys until another node leads the zone.
func orLastMembers(members []outcome.Member, written outcome.Shard) []outcome.Member {
	if len(members) == 0 {
		return written.Last().Members
	}
	return members
}

// eligibleOwners returns the nodes of the zone that may be key owners, sorted by name.
func eligibleOwners(b *board.Board, zone string) []outcome.Member {
	var owners []outcome.Member
	for service, members := range b.Members.ByService {
		for _, m := range members {
			if m.Zone == zone && m.State == membership.Up {
				node := outcome.Node{Name: m.Node, Incarnation: m.Incarnation}
				owners = append(owners, outcome.Member{Node: node, Service: service})
			}
		}
	}
	slices.SortFunc(owners, func(a, b outcome.Member) int { return cmp.Compare(a.Name, b.Name) })
	return owners
}

func (c *Controller) decode(e platform.Entry) []membership.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedRevisions[strings.TrimPrefix(e.Key, Prefix)] = e.Revision
	return []membership.Record{shardRecord(e.Key, e.Value)}
}

// shardRecord returns the record of a shard. Its versions are ordered by the end of the last epoch, which only grows.
func shardRecord(key string, value []byte) membership.Record {
	return membership.Record{
		Key:     key,
		Version: membership.Version{Epoch: uint64(parseShard(value).Last().Until)},
		Value:   value,
	}
}

func shardStructure(value []byte) membership.Structure {
	s := parseShard(value)
	return membership.Structure{Term: s.Term, Zone: s.Last().Zone}
}

func parseShard(value []byte) outcome.Shard {
	var s outcome.Shard
	if json.Unmarshal(value, &s) != nil {
		return outcome.Shard{}
	}
	return s
}

func publishShards(b *board.Board, changed []membership.Record) {
	shards := maps.Clone(b.KeyOwners.Shards)
	if shards == nil {
		shards = map[string]outcome.Shard{}
	}
	for _, r := range changed {
		shards[strings.TrimPrefix(r.Key, Prefix)] = parseShard(r.Value)
	}
	b.KeyOwners = board.KeyOwners{Shards: shards}
}
