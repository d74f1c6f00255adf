// Package homes speaks to the platform about which nodes remember the keys of callers. The leader of each
// availability zone keeps one record, its shard: it moves the end of the last epoch forward again and again, and
// appends an epoch where the members changed. Every write is a compare-and-swap on the record last read, so the
// epochs form one line, whoever writes and however late.
//
// A shard whose zone has been silent for some time is kept by the leader of another zone until its own returns.
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
	// entries are the records last read or written, by shard. They belong to the goroutine of Run.
	entries map[string]platform.Entry
	// unsettled are the shards whose last write, of more than a new end, had no answer. Their ends don't move without
	// the platform, because it may hold keepers that are not known here.
	unsettled map[string]bool

	mu       sync.Mutex
	promises *outcome.Promises
}

// NewController returns a controller.
func NewController(config Config) *Controller {
	return &Controller{
		config:    config,
		started:   time.Now(),
		entries:   map[string]platform.Entry{},
		unsettled: map[string]bool{},
		promises:  outcome.NewPromises(),
	}
}

// Section returns how shards come from the platform and get onto the board.
func (c *Controller) Section() zone.Section {
	return zone.Section{Decode: decode, Publish: publish, Renewed: true}
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
		for _, shard := range c.config.Zones {
			if c.isKept(time.Now(), b, shard) && !c.renew(ctx, offerer, b, shard) {
				break // the platform does not answer, and the others must not wait for it as well
			}
		}
	} else {
		clear(c.entries)
	}
	for shard := range b.Homes.Shards {
		c.extend(ctx, offerer, shard)
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
	return silent || last.Zone == b.Self.Zone
}

// renew writes the shard where that is due. It reports false where the platform gave no answer.
func (c *Controller) renew(ctx context.Context, offerer Offerer, b *board.Board, shard string) bool {
	entry, ok := c.entry(ctx, shard)
	if !ok {
		return false
	}
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
	c.entries[shard] = swapped
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
	c.entries[shard] = read
	delete(c.unsettled, shard)
	return read, true
}

// newest returns the shard that reaches further: a platform that was restored from an older copy must not take the
// epochs back.
func newest(known, written outcome.Shard) outcome.Shard {
	if known.Last().Until > written.Last().Until {
		return known
	}
	return written
}

func (c *Controller) renewal(b *board.Board, written outcome.Shard) outcome.Renewal {
	now := time.Now()
	horizon := c.config.Timing.Horizon
	members := membersOf(b)
	if b.Self.Draining || b.Backend.Leaving {
		horizon += c.config.Timing.Election
		members = orLast(members, written)
	}
	return outcome.Renewal{
		Until:   now.Add(horizon).UnixMilli(),
		Keep:    now.Add(-c.config.Timing.Window).UnixMilli(),
		Zone:    b.Self.Zone,
		Members: members,
		Keepers: c.keepers(b, written),
		Reserve: c.reserve(b).Milliseconds(),
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

// membersOf returns the nodes of the board's own zone that may be homes, by name.
func membersOf(b *board.Board) []outcome.Member {
	var members []outcome.Member
	for service, up := range b.Members.ByService {
		for _, m := range up {
			if m.Zone == b.Self.Zone && m.State == membership.Up {
				node := outcome.Node{Name: m.Node, Incarnation: m.Incarnation}
				members = append(members, outcome.Member{Node: node, Service: service})
			}
		}
	}
	slices.SortFunc(members, func(a, b outcome.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

func decode(e platform.Entry) []membership.Record {
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
