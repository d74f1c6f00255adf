package roster

// Read is a way to read the entries from the store.
type Read int

// The ways to read.
const (
	// ReadLatest lists the entries as they are now.
	ReadLatest Read = iota
	// ReadStale lists the entries as they were up to some seconds ago, at a tenth of the cost of another call.
	ReadStale
	// ReadChanges waits for changes. It costs a call for each response, and so for each change that comes alone.
	ReadChanges
)

// ReadPlanConfig configures a ReadPlan.
type ReadPlanConfig struct {
	// MaxEntries is the number of entries up to which stale lists are used: each has the size of all entries.
	MaxEntries int
	// QuietReads is how many stale lists without a change follow each other before changes are waited for again.
	QuietReads int
}

// DefaultReadPlan is the configuration used unless another is set. QuietReads stale lists cost as much as the one
// response to a wait for changes that they save.
var DefaultReadPlan = ReadPlanConfig{MaxEntries: 400, QuietReads: 10}

// ReadPlan decides how the entries are read next. Every node reads every change of an entry, so the cost of the reads
// grows with the product of nodes and changes. Waiting for changes costs nothing while there are none. While entries
// change, a list that may be seconds old costs a tenth of a wait, and is sufficient: a node that leaves refuses requests by
// itself, and a new one may be learned of a little later.
type ReadPlan struct {
	config ReadPlanConfig
	next   Read
	quiet  int
	// count and newest are the number of entries of the last list and the highest revision among them. Both are the
	// same in two lists only if no entry changed in between.
	count  int
	newest uint64
}

// NewReadPlan returns a plan that begins with ReadLatest.
func NewReadPlan(config ReadPlanConfig) *ReadPlan {
	return &ReadPlan{config: config}
}

// Next returns how to read next.
func (p *ReadPlan) Next() Read {
	return p.next
}

// Listed records a list of the given number of entries, with the highest revision among them.
func (p *ReadPlan) Listed(count int, newest uint64) {
	isChanged := count != p.count || newest != p.newest
	wasStale := p.next == ReadStale
	p.count, p.newest = count, newest
	switch {
	case !wasStale:
		p.next = ReadChanges
	case isChanged:
		p.quiet = 0
	default:
		p.quiet++
	}
	if wasStale && (p.quiet >= p.config.QuietReads || count > p.config.MaxEntries) {
		p.next = ReadChanges
	}
}

// Changed records that waiting for changes has returned some.
func (p *ReadPlan) Changed() {
	p.quiet = 0
	if p.count <= p.config.MaxEntries {
		p.next = ReadStale
	}
}

// Failed records that a read failed, so that changes may have been missed. Until the store answers again, each attempt
// costs as much as a call that succeeds.
func (p *ReadPlan) Failed() {
	p.Restarted()
	if p.count > 0 && p.count <= p.config.MaxEntries {
		p.next = ReadStale
	}
}

// Restarted records that what was read before can't be continued: the store dropped its history, or was restored from a
// copy.
func (p *ReadPlan) Restarted() {
	p.next, p.quiet = ReadLatest, 0
}
