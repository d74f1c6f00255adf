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
	// Renew is the time between renewals.
	Renew time.Duration
	// Write is the longest time between two writes of a record at the platform.
	Write time.Duration
	// Horizon is how far beyond the present a renewal moves the end of the last epoch.
	Horizon time.Duration
	// Window is how long callers may send a key again.
	Window time.Duration
	// Election is how long the zone may be without a leader after a planned stop of the leader.
	Election time.Duration
	// Reserve is how far the end may move without the platform, by the promise of the keepers. A shard that has lost
	// both keepers at once stands still for that long.
	Reserve time.Duration
	// FirstKeeper is how long after its start a leader leaves alone a shard that no zone has begun.
	FirstKeeper time.Duration
	// TakeOver is how long past its end another zone leaves a shard alone.
	TakeOver time.Duration
}

// DefaultTiming holds where nothing else is set.
var DefaultTiming = Timing{
	Renew:    time.Second,
	Write:    2 * time.Minute,
	Horizon:  4 * time.Second,
	Window:   2 * time.Minute,
	Election: 6 * time.Second,
	Reserve:  10 * time.Minute,

	FirstKeeper: 10 * time.Second,
	TakeOver:    3 * time.Second,
}

// Controller keeps shards.
type Controller struct {
	config  Config
	started time.Time
	// led is since when this node leads its zone; zero while it doesn't. It belongs to the goroutine of Run.
	led time.Time
	// entries are the records last read or written, by shard. They belong to the goroutine of Run.
	entries map[string]platform.Entry
	// unsettled are the shards whose last write, of more than a new end, had no answer. Their ends don't move without
	// the platform, because it may hold keepers that are not known here.
	unsettled map[string]bool

	mu       sync.Mutex
	promises *outcome.Promises
	// noticed are the revisions of the records that the watch of the platform showed last, by shard.
	noticed map[string]uint64
}

// NewController returns a controller.
func NewController(config Config) *Controller {
	return &Controller{
		config:    config,
		started:   time.Now(),
		entries:   map[string]platform.Entry{},
		unsettled: map[string]bool{},
		promises:  outcome.NewPromises(),
		noticed:   map[string]uint64{},
	}
}

// Section returns how shards come from the platform and get onto the board.
func (c *Controller) Section() zone.Section {
	return zone.Section{Decode: c.decode, Publish: publish, Structure: structure}
}

// Run renews shards until the context ends.
func (c *Controller) Run(ctx context.Context, offerer Offerer) {
	ticker := time.NewTicker(c.config.Timing.Renew)
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
		if c.led.IsZero() {
			c.led = time.Now()
		}
		for _, shard := range c.config.Zones {
			if c.isKept(time.Now(), b, shard) && !c.keep(ctx, offerer, b, shard) {
				break // the platform does not answer, and the others must not wait for it as well
			}
		}
	} else {
		c.led = time.Time{}
		clear(c.entries)
	}
	for shard := range b.Homes.Shards {
		c.extend(ctx, offerer, shard, c.config.Timing.Horizon/2)
	}
}

// isKept reports whether this zone keeps the shard: its own always, another one while its zone is silent.
func (c *Controller) isKept(now time.Time, b *board.Board, shard string) bool {
	if shard == b.Self.Zone {
		return true
	}
	last := b.Homes.Shards[shard].Last()
	if last.Until == 0 {
		return now.Sub(c.started) > c.config.Timing.FirstKeeper
	}
	silent := now.Sub(time.UnixMilli(last.Until)) > c.config.Timing.TakeOver
	silent = silent && now.Sub(c.led) > c.config.Timing.TakeOver // A follower didn't get the ends of other zones' shards.
	return silent || last.Zone == b.Self.Zone
}

// keep moves the end of the shard, by the keepers' promise or at the platform. It reports false where the platform was
// needed and gave no answer.
func (c *Controller) keep(ctx context.Context, offerer Offerer, b *board.Board, shard string) bool {
	entry, ok := c.entry(ctx, shard)
	if !ok {
		return false
	}
	if !c.isDue(time.Now(), b, shard, entry) && c.extend(ctx, offerer, shard, c.config.Timing.Horizon) {
		return true
	}
	led, err := c.isLed(ctx, b, shard)
	if err != nil {
		return false
	}
	return led || c.renew(ctx, offerer, shard, entry)
}

// isDue reports whether the record at the platform is to be written: it differs from what this leader would write by
// more than the end, the watch showed another one, or the limit up to which the end may move without the platform
// comes too near.
func (c *Controller) isDue(now time.Time, b *board.Board, shard string, entry platform.Entry) bool {
	known := b.Homes.Shards[shard]
	written := parse(entry.Value)
	reserve := c.reserve(b)
	if known.Term != written.Term || !known.IsFirstKeeper(c.config.Self) || c.unsettled[shard] || !c.stands(shard, entry) {
		return true
	}
	if reserve < c.config.Timing.Reserve || time.UnixMilli(written.Limit).Sub(now) < reserve-c.config.Timing.Write {
		return true
	}
	next, changed := known.Renew(c.renewal(b, written))
	return !changed || next.Term != written.Term
}

// isLed reports whether another zone keeps the shard, still has nodes that may be homes, and has a leader at the
// platform. Then the end is unknown here only because the two zones don't reach each other.
func (c *Controller) isLed(ctx context.Context, b *board.Board, shard string) (bool, error) {
	keeper := b.Homes.Shards[shard].Last().Zone
	if shard == b.Self.Zone || keeper == b.Self.Zone || len(membersOf(b, keeper)) == 0 {
		return false, nil
	}
	_, err := c.config.Platform.Get(ctx, zone.LeaderPrefix+keeper)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// renew writes the shard. It reports false where the platform gave no answer.
func (c *Controller) renew(ctx context.Context, offerer Offerer, shard string, entry platform.Entry) bool {
	b := c.config.Board.Snapshot()
	written := parse(entry.Value)
	base, ok := c.base(ctx, b, shard, written)
	if !ok {
		return true
	}
	next, changed := base.Renew(c.renewal(b, written))
	if !changed {
		return true
	}
	c.unsettled[shard] = c.unsettled[shard] || next.Term != written.Term || next.Limit < written.Limit
	value, err := json.Marshal(next)
	if err != nil {
		return true
	}
	swapped, err := c.config.Platform.CompareAndSwap(ctx, platform.Swap{Key: Prefix + shard, Value: value, Expected: entry.Revision})
	if err != nil {
		delete(c.entries, shard)
		return errors.Is(err, platform.ErrCompareFailed)
	}
	c.hold(shard, swapped)
	delete(c.unsettled, shard)
	if !slices.Equal(next.Last().Members, written.Last().Members) {
		c.config.Log.Emit(events.HomesChanged, events.Fields{"shard": shard, "members": len(next.Last().Members)})
	}
	offerer.Offer(ctx, record(Prefix+shard, value))
	return true
}

// entry returns the record as it was last read, and reads it where that isn't known.
func (c *Controller) entry(ctx context.Context, shard string) (platform.Entry, bool) {
	if held, ok := c.entries[shard]; ok {
		return held, true
	}
	read, err := c.config.Platform.Get(ctx, Prefix+shard)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, false
	}
	c.hold(shard, read)
	delete(c.unsettled, shard)
	return read, true
}

// hold keeps an entry that the platform has just shown.
func (c *Controller) hold(shard string, entry platform.Entry) {
	c.entries[shard] = entry
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noticed[shard] = entry.Revision
}

// stands reports whether the watch has shown no other revision since the entry was read or written. An older one is
// shown by a platform that lags, or that was restored to older content.
func (c *Controller) stands(shard string, held platform.Entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noticed[shard] == held.Revision
}

// newest returns the shard that reaches further: a platform that was restored from an older copy must not take the
// epochs back. Of two limits in one term the further one counts.
func newest(known, written outcome.Shard) outcome.Shard {
	limit := max(known.Limit, written.Limit)
	newer := written
	if known.Last().Until > written.Last().Until {
		newer = known
	}
	if known.Term == written.Term {
		newer.Limit = limit
	}
	return newer
}

func (c *Controller) renewal(b *board.Board, written outcome.Shard) outcome.Renewal {
	now := time.Now()
	horizon := c.config.Timing.Horizon
	members := membersOf(b, b.Self.Zone)
	if b.Self.Draining || b.Backend.Leaving {
		horizon += c.config.Timing.Election
		members = orLast(members, written)
	}
	return outcome.Renewal{
		Until:      now.Add(horizon).UnixMilli(),
		DropBefore: now.Add(-c.config.Timing.Window).UnixMilli(),
		Zone:       b.Self.Zone,
		Members:    members,
		Keepers:    c.keepers(b, written),
		Reserve:    c.reserve(b).Milliseconds(),
	}
}

// orLast returns the homes of the last epoch where there are no members: the last node of a zone to leave keeps its
// epoch going, because its successor answers for the keys until another node leads the zone.
func orLast(members []outcome.Member, written outcome.Shard) []outcome.Member {
	if len(members) == 0 {
		return written.Last().Members
	}
	return members
}

// membersOf returns the nodes of the zone that may be homes, by name.
func membersOf(b *board.Board, zone string) []outcome.Member {
	var members []outcome.Member
	for service, up := range b.Members.ByService {
		for _, m := range up {
			if m.Zone == zone && m.State == membership.Up {
				node := outcome.Node{Name: m.Node, Incarnation: m.Incarnation}
				members = append(members, outcome.Member{Node: node, Service: service})
			}
		}
	}
	slices.SortFunc(members, func(a, b outcome.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

func (c *Controller) decode(e platform.Entry) []membership.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noticed[strings.TrimPrefix(e.Key, Prefix)] = e.Revision
	return []membership.Record{record(e.Key, e.Value)}
}

// record orders the versions of a shard by the end of their last epoch, which only grows.
func record(key string, value []byte) membership.Record {
	return membership.Record{
		Key:     key,
		Version: membership.Version{Epoch: uint64(parse(value).Last().Until)},
		Value:   value,
	}
}

func structure(value []byte) membership.Structure {
	s := parse(value)
	return membership.Structure{Term: s.Term, Zone: s.Last().Zone}
}

func parse(value []byte) outcome.Shard {
	var s outcome.Shard
	if json.Unmarshal(value, &s) != nil {
		return outcome.Shard{}
	}
	return s
}

func publish(b *board.Board, changed []membership.Record) {
	shards := maps.Clone(b.Homes.Shards)
	if shards == nil {
		shards = map[string]outcome.Shard{}
	}
	for _, r := range changed {
		shards[strings.TrimPrefix(r.Key, Prefix)] = parse(r.Value)
	}
	b.Homes = board.Homes{Shards: shards}
}
