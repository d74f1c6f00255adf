package members

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/roster"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

const (
	// leaseDuration is the time from the last renewal until the store deletes the entry.
	leaseDuration = 4 * time.Second
	// departureLeaseDuration is leaseDuration for an entry that says that the backend server leaves. The next process of the
	// node learns it from there, before an announcement arrives late that was sent earlier.
	departureLeaseDuration = time.Minute
	// renewalsPerLease is the number of renewals in the duration of a lease.
	renewalsPerLease = 3
	// checkInterval is the longest time between two checks of whether the own entry is up to date.
	checkInterval = 300 * time.Millisecond
	// writeTimeout is the timeout for one call to the store about the own entry.
	writeTimeout = 700 * time.Millisecond
	// minWriteBackoff is the backoff after a failed call. Each further failure in a row doubles it, up to
	// maxWriteBackoff. With these values, an entry that expired during an outage of the store is restored within two
	// seconds of the outage's end.
	minWriteBackoff = 150 * time.Millisecond
	maxWriteBackoff = 600 * time.Millisecond
)

// position is a revision of the store in one of its eras.
type position struct {
	era, revision uint64
}

// isAfter reports whether the position is later than the other one.
func (p position) isAfter(other position) bool {
	if p.era != other.era {
		return p.era > other.era
	}
	return p.revision > other.revision
}

// ownEntry is the known state of this node's entry in the store.
type ownEntry struct {
	// era is the era of the store that the lease and the revision belong to.
	era   uint64
	lease uint64
	// leaseDuration is the time from a renewal of the lease until it ends.
	leaseDuration time.Duration
	renewedAt     time.Time
	revision      uint64
	// isStored reports whether the store is known to hold storedMember at the revision.
	isStored     bool
	storedMember membership.Member
}

// maintainEntry keeps the own entry in the store up to date.
func (c *Controller) maintainEntry(ctx context.Context) {
	backoff := pause.Backoff{Initial: minWriteBackoff, Max: maxWriteBackoff}
	for ctx.Err() == nil {
		changed := c.config.Board.Changed()
		done, err := c.updateEntry(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			c.config.Log.Emit(time.Now(), events.EntryUnwritten, events.Fields{"error": err.Error()})
			backoff.Wait(ctx)
		case done:
			backoff.Reset()
			waitForChange(ctx, changed, checkInterval)
		default:
			backoff.Reset()
		}
	}
}

// waitForChange waits until the channel is closed, the timeout has passed or the context ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// updateEntry makes at most one call to the store. It reports true if none was due.
func (c *Controller) updateEntry(ctx context.Context) (done bool, err error) {
	own, known := OwnMember(c.config.Board.Snapshot())
	if !known {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	e := &c.entry
	if era, _ := c.config.Store.Era(); era != e.era {
		*e = ownEntry{era: era} // the lease may be another node's now
	}
	if duration := leaseDurationOf(own); e.lease == 0 || e.leaseDuration != duration {
		return false, c.grantLease(ctx, duration)
	}
	if time.Since(e.renewedAt) >= e.leaseDuration/renewalsPerLease {
		return false, c.renewLease(ctx)
	}
	if e.isStored && e.storedMember == own && !c.isMissing() {
		return true, nil
	}
	return false, c.writeEntry(ctx, own)
}

// leaseDurationOf returns the duration of the lease of the entry.
func leaseDurationOf(own membership.Member) time.Duration {
	if own.BackendLeaving {
		return departureLeaseDuration
	}
	return leaseDuration
}

// isMissing reports whether the store was observed without the own entry as it was last written.
func (c *Controller) isMissing() bool {
	missing := c.missing.Load()
	return missing != nil && missing.isAfter(position{c.entry.era, c.entry.revision})
}

func (c *Controller) grantLease(ctx context.Context, duration time.Duration) error {
	start := time.Now()
	lease, err := c.config.Store.Grant(ctx, duration)
	if err != nil {
		return err
	}
	c.entry.lease, c.entry.leaseDuration, c.entry.renewedAt, c.entry.isStored = lease, duration, start, false
	return nil
}

// renewLease renews the lease. If the lease has expired, the store has deleted the entry with it.
func (c *Controller) renewLease(ctx context.Context) error {
	start := time.Now()
	err := c.config.Store.Renew(ctx, c.entry.lease)
	if errors.Is(err, store.ErrNoLease) {
		c.entry = ownEntry{era: c.entry.era}
		return nil
	}
	if err == nil {
		c.entry.renewedAt = start
	}
	return err
}

func (c *Controller) writeEntry(ctx context.Context, own membership.Member) error {
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	revision, err := c.config.Store.Put(ctx, store.Write{
		Key: Prefix + own.Node, Value: value, Expected: c.entry.revision, Lease: c.entry.lease,
	})
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		c.observeStored(ctx, own, store.Item{Key: Prefix + own.Node, Value: conflict.Value, Revision: conflict.Revision})
		return nil
	case errors.Is(err, store.ErrConflict):
		return c.readStored(ctx, own)
	case errors.Is(err, store.ErrNoLease):
		c.entry = ownEntry{era: c.entry.era}
		return nil
	case err != nil:
		return err
	}
	c.entry.revision, c.entry.isStored, c.entry.storedMember = revision, true, own
	if own.BackendLeaving {
		c.config.Board.Do(ctx, func(b *board.Board) { b.Entry.LeavingStart = own.BackendStart })
	}
	return nil
}

// readStored reads the entry in the store, which an earlier process may have written, or a write whose response was lost.
func (c *Controller) readStored(ctx context.Context, own membership.Member) error {
	item, err := c.config.Store.Get(ctx, Prefix+own.Node)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	c.observeStored(ctx, own, item)
	return nil
}

// observeStored records the revision of the entry in the store, which differs from that of the last write. If the entry says
// that the backend server leaves, an earlier process of this node learned that.
func (c *Controller) observeStored(ctx context.Context, own membership.Member, item store.Item) {
	c.entry.revision, c.entry.isStored = item.Revision, false
	held, err := decodeEntry(item)
	if err != nil || c.config.BackendLeft == nil {
		return
	}
	if held.Member.BackendLeaving && held.Member.BackendStart == own.BackendStart && own.BackendStart != "" {
		c.config.BackendLeft(ctx, own.BackendStart)
	}
}

// OwnMember returns the entry of this node. It reports false while no backend server has announced itself.
func OwnMember(b *board.Board) (membership.Member, bool) {
	state := membership.Up
	if b.Self.Leaving || b.Backend.Leaving {
		state = membership.Leaving
	}
	return membership.Member{
		Node:        b.Self.Node,
		Incarnation: b.Self.Incarnation,
		Zone:        b.Self.Zone,
		PeerAddress: b.Self.PeerAddress,
		Service:     b.Backend.Service,
		Slots:       b.Backend.Slots,

		BackendStart:   b.Backend.StartID(),
		BackendLeaving: b.Backend.Leaving,

		State:       state,
		BackendLost: b.Backend.IsLost(),
	}, b.Backend.Service != ""
}

// observeOwn records whether a list lacks the own entry, or has one that was written by somebody else.
func (c *Controller) observeOwn(listed position, entries []roster.Entry) {
	own := Prefix + c.config.Board.Snapshot().Self.Node
	i := slices.IndexFunc(entries, func(e roster.Entry) bool { return e.Key == own })
	if i < 0 {
		c.observeMissing(listed)
		return
	}
	if !c.isLaterStart(entries[i]) {
		c.observeMissing(position{listed.era, entries[i].Revision})
	}
}

// isLaterStart reports whether the entry under this node's key is that of a process that started later. This process leaves
// it to the other one: two that overwrite each other would never end.
func (c *Controller) isLaterStart(e roster.Entry) bool {
	return e.Member.Incarnation > c.config.Board.Snapshot().Self.Incarnation
}

// observeMissing records a position at which the own entry may not be as it was last written.
func (c *Controller) observeMissing(p position) {
	if missing := c.missing.Load(); missing == nil || p.isAfter(*missing) {
		c.missing.Store(&p)
	}
}
