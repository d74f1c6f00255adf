// Package crashrecord keeps the evidence against requests that crash backend servers in the platform's store, so that it outlives
// the processes that gathered it.
//
// # Usage
//
//	c := crashrecord.NewController(crashrecord.Config{Store: s, Table: quarantine, Lifetime: config.Lifetime, Log: log})
//	c.Run(ctx)
//	c.Update(fingerprint) // after each crash of the local backend server
//
// A process that starts reads all records. After a crash it reads them again, adds what it knows, and writes the record of a
// quarantined request, under a lease that ends when the evidence is forgotten. Requests that were suspected once are not
// recorded.
//
// The key of a record is "quarantine/" followed by a hash of the fingerprint as hexadecimal digits. Its value is JSON: the
// fields of the fingerprint, crashes (a number), crash_ids (numbers), and until_ms (Unix milliseconds: the end of the term).
package crashrecord

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// Prefix is the prefix of the keys of all records.
const Prefix = "quarantine/"

const (
	// coalesceDelay is the time for which further requests of the same crash are awaited.
	coalesceDelay = 20 * time.Millisecond
	// callTimeout is the timeout for one call to the store.
	callTimeout = 700 * time.Millisecond
	// minBackoff is the backoff after a failed call. Each further failure in a row doubles it, up to maxBackoff.
	minBackoff = 150 * time.Millisecond
	maxBackoff = time.Second
	// maxWaiting is the limit of requests that wait for the store.
	maxWaiting = 256
)

// Table holds the evidence that the process knows.
type Table interface {
	// Record returns the evidence against the request. It reports false if the request was not quarantined.
	Record(f quarantine.Fingerprint) (quarantine.Record, bool)
	// Restore adds the evidence of a record.
	Restore(r quarantine.Record)
	// Complete is like Restore, for a request that a crash was just attributed to.
	Complete(r quarantine.Record)
}

// Config configures a Controller.
type Config struct {
	Store store.Store
	Table Table
	// Lifetime returns how long a record of the number of crashes is kept.
	Lifetime func(crashes int) time.Duration
	Log      *events.Limiter
}

// Controller reads and writes the records.
type Controller struct {
	config Config
	wake   chan struct{}

	mu sync.Mutex
	// waiting holds the requests whose records are to be updated.
	waiting map[quarantine.Fingerprint]bool
}

// NewController returns a controller that has read nothing.
func NewController(config Config) *Controller {
	return &Controller{config: config, wake: make(chan struct{}, 1), waiting: map[quarantine.Fingerprint]bool{}}
}

// Update lets the record of the request be updated.
func (c *Controller) Update(f quarantine.Fingerprint) {
	c.mu.Lock()
	if len(c.waiting) < maxWaiting {
		c.waiting[f] = true
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run reads all records and then updates those of requests that crash the local backend server, until the context ends.
func (c *Controller) Run(ctx context.Context) {
	c.retry(ctx, c.readAll)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			pause.For(ctx, coalesceDelay)
			c.retry(ctx, c.updateWaiting)
		}
	}
}

// retry repeats the step until it succeeds or the context ends.
func (c *Controller) retry(ctx context.Context, step func(ctx context.Context) error) {
	backoff := pause.Backoff{Initial: minBackoff, Max: maxBackoff}
	for err := step(ctx); err != nil && ctx.Err() == nil; err = step(ctx) {
		c.config.Log.Emit(time.Now(), events.RecordUnwritten, events.Fields{"error": err.Error()})
		backoff.Wait(ctx)
	}
}

// readAll restores all records. They may be some seconds old, which costs the store less when a whole fleet starts.
func (c *Controller) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := c.config.Store.ListStale(ctx, Prefix)
	if err != nil {
		return err
	}
	for _, r := range c.decodeAll(snapshot.Items) {
		if r.isRead {
			c.config.Table.Restore(r.Record)
		}
	}
	return nil
}

// storedRecord is what the store holds under a key.
type storedRecord struct {
	// Record is valid if isRead is true.
	quarantine.Record
	isRead   bool
	revision uint64
}

// decodeAll returns what the items hold, by key.
func (c *Controller) decodeAll(items []store.Item) map[string]storedRecord {
	records := map[string]storedRecord{}
	for _, item := range items {
		r, err := decode(item)
		if err != nil {
			c.config.Log.Emit(time.Now(), events.RecordUnread, events.Fields{"key": item.Key, "error": err.Error()})
		}
		records[item.Key] = storedRecord{Record: r, isRead: err == nil, revision: item.Revision}
	}
	return records
}

// updateWaiting updates the records of the waiting requests. Those that can't be updated wait on.
func (c *Controller) updateWaiting(ctx context.Context) error {
	waiting := c.takeWaiting()
	held, err := c.list(ctx)
	for _, f := range waiting {
		if err == nil {
			err = c.update(ctx, f, held)
		}
		if err != nil {
			c.putBack(f)
		}
	}
	return err
}

func (c *Controller) takeWaiting() []quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	var taken []quarantine.Fingerprint
	for f := range c.waiting {
		taken = append(taken, f)
	}
	clear(c.waiting)
	return taken
}

func (c *Controller) putBack(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[f] = true
}

func (c *Controller) list(ctx context.Context) (map[string]storedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := c.config.Store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	return c.decodeAll(snapshot.Items), nil
}

// update adds the record that the store holds to what is known here, and writes the result if it is more. A record that can't be
// read, or is one of another request, is replaced.
func (c *Controller) update(ctx context.Context, f quarantine.Fingerprint, held map[string]storedRecord) error {
	before := held[keyOf(f)]
	isRecorded := before.isRead && before.Fingerprint == f
	if isRecorded {
		c.config.Table.Complete(before.Record)
	}
	known, quarantined := c.config.Table.Record(f)
	if !quarantined || isRecorded && known.Crashes <= before.Crashes {
		return nil
	}
	return c.write(ctx, known, before.revision)
}

// write writes the record. A conflict is an error, after which the record that another node has written is read.
func (c *Controller) write(ctx context.Context, r quarantine.Record, expected uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := c.config.Store.Grant(ctx, c.config.Lifetime(r.Crashes))
	if err != nil {
		return err
	}
	w, err := encode(r)
	if err != nil {
		return err
	}
	w.Expected, w.Lease = expected, lease
	_, err = c.config.Store.Put(ctx, w)
	return err
}
