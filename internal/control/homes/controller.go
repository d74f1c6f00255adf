// Package homes speaks to the platform about which nodes remember the keys of callers. The leader of each
// availability zone keeps one record, its shard: it moves the end of the last epoch forward again and again, and
// appends an epoch where the members changed. Every write is a compare-and-swap on the record last read, so the
// epochs form one line, whoever writes and however late.
//
// The end moves by the promise of the shard's two keepers, which costs the platform nothing. The record is written
// where it changes otherwise, where a keeper gives no promise, and now and then to move the limit of the promises.
//
// A shard whose zone has been silent for some time, and has no leader at the platform, is kept by the leader of
// another zone until its own returns.
//
// # Usage
//
//	c := homes.NewController(homes.Config{...})
//	zoneConfig.Sections = map[string]zone.Section{homes.Prefix: c.Section()}
//	c.Run(ctx)
package homes

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

// Prefix begins the key of each shard's record in the platform.
const Prefix = "homes/"

// Offerer spreads records that were made here.
type Offerer interface {
	Offer(ctx context.Context, records ...membership.Record)
}

// Config sets a Controller up.
type Config struct {
	Board    *board.Loop
	Platform *platform.Client
	Log      *events.Log
	// Self is this process.
	Self  outcome.Node
	Peers *peer.Client
	// Zones are all availability zones; the same list everywhere.
	Zones  []string
	Timing Timing
}

// Timing holds the intervals of the shards.
type Timing struct {
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// MaxWriteInterval is the longest time between two writes of a record at the platform.
	MaxWriteInterval time.Duration
	// Horizon is how far beyond the present a renewal moves the end of the last epoch.
	Horizon time.Duration
	// Window is how long callers may send a key again.
	Window time.Duration
	// ElectionAllowance is how long the zone may be without a leader after a planned stop of the leader.
	ElectionAllowance time.Duration
	// Reserve is how far the end may move without the platform, by the promise of the keepers. A shard that has lost
	// both keepers at once stands still for that long.
	Reserve time.Duration
	// InitialKeeperDelay is how long after its start a leader leaves alone a shard that no zone has begun.
	InitialKeeperDelay time.Duration
	// TakeoverDelay is how long past its end another zone leaves a shard alone.
	TakeoverDelay time.Duration
}

// DefaultTiming holds where nothing else is set.
var DefaultTiming = Timing{
	RenewInterval:     time.Second,
	MaxWriteInterval:  2 * time.Minute,
	Horizon:           4 * time.Second,
	Window:            2 * time.Minute,
	ElectionAllowance: 6 * time.Second,
	Reserve:           10 * time.Minute,

	InitialKeeperDelay: 10 * time.Second,
	TakeoverDelay:      3 * time.Second,
}

// Controller keeps shards.
type Controller struct {
	config  Config
	started time.Time
	// leaderSince is since when this node leads its zone; zero while it doesn't. It belongs to the goroutine of Run.
	leaderSince time.Time
	// entries are the records last read or written, by shard. They belong to the goroutine of Run.
	entries map[string]platform.Entry
	// unacknowledged are the shards whose last write, of more than a new end, had no answer. Their ends don't move without
	// the platform, because it may hold keepers that are not known here.
	unacknowledged map[string]bool

	mu       sync.Mutex
	promises *outcome.Promises
	// watchedRevisions are the revisions of the records that the watch of the platform showed last, by shard.
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

// Section returns how shards come from the platform and get onto the board.
func (c *Controller) Section() zone.Section {
	return zone.Section{Decode: c.decode, Publish: publishShards, Structure: shardStructure}
}

// Run renews shards until the context ends.
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
				break // the platform does not answer, and the others must not wait for it as well
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

// maintainsShard reports whether this zone keeps the shard: its own always, another one while its zone is silent.
func (c *Controller) maintainsShard(now time.Time, b *board.Board, shard string) bool {
	if shard == b.Self.Zone {
		return true
	}
	last := b.KeyOwners.Shards[shard].Last()
	if last.Until == 0 {
		return now.Sub(c.started) > c.config.Timing.InitialKeeperDelay
	}
	silent := now.Sub(time.UnixMilli(last.Until)) > c.config.Timing.TakeoverDelay
	silent = silent && now.Sub(c.leaderSince) > c.config.Timing.TakeoverDelay // A follower didn't get the ends of other zones' shards.
	return silent || last.Zone == b.Self.Zone
}

// maintainShard moves the end of the shard, by the keepers' promise or at the platform. It reports false where the platform was
// needed and gave no answer.
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

// needsWrite reports whether the record at the platform is to be written: it differs from what this leader would write by
// more than the end, the watch showed another one, or the limit up to which the end may move without the platform
// comes too near.
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

// isLedByOtherZone reports whether another zone keeps the shard, still has nodes that may be homes, and has a leader at the
// platform. Then the end is unknown here only because the two zones don't reach each other.
func (c *Controller) isLedByOtherZone(ctx context.Context, b *board.Board, shard string) (bool, error) {
	keeper := b.KeyOwners.Shards[shard].Last().Zone
	if shard == b.Self.Zone || keeper == b.Self.Zone || len(eligibleOwners(b, keeper)) == 0 {
		return false, nil
	}
	_, err := c.config.Platform.Get(ctx, zone.LeaderPrefix+keeper)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// writeShard writes the shard. It reports false where the platform gave no answer.
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

// cachedEntry returns the record as it was last read, and reads it where that isn't known.
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

// cacheEntry keeps an entry that the platform has just shown.
func (c *Controller) cacheEntry(shard string, entry platform.Entry) {
	c.entries[shard] = entry
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedRevisions[shard] = entry.Revision
}

// isCurrent reports whether the watch has shown no other revision since the entry was read or written. An older one is
// shown by a platform that lags, or that was restored to older content.
func (c *Controller) isCurrent(shard string, cached platform.Entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watchedRevisions[shard] == cached.Revision
}

// mergeShards returns the shard that reaches further: a platform that was restored from an older copy must not take the
// epochs back. Of two limits in one term the further one counts.
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

// orLastMembers returns the homes of the last epoch where there are no members: the last node of a zone to leave keeps its
// epoch going, because its successor answers for the keys until another node leads the zone.
func orLastMembers(members []outcome.Member, written outcome.Shard) []outcome.Member {
	if len(members) == 0 {
		return written.Last().Members
	}
	return members
}

// eligibleOwners returns the nodes of the zone that may be homes, by name.
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

// shardRecord orders the versions of a shard by the end of their last epoch, which only grows.
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
