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
	// MinEntries and MaxEntries are the numbers of entries from and up to which stale lists are used. A small fleet reads
	// changes so often that stale lists would delay them, and in a large one each list is long. While a fleet starts, its
	// size is not known yet, and MinEntries doesn't apply.
	MinEntries, MaxEntries int
	// QuietReads is how many stale lists without a change follow each other before changes are waited for again.
	QuietReads int
}

// DefaultReadPlan is the configuration used unless another is set. QuietReads stale lists cost as much as the one
// response to a wait for changes that they save.
var DefaultReadPlan = ReadPlanConfig{MinEntries: 50, MaxEntries: 400, QuietReads: 10}

// ReadPlan decides how the entries are read next. Every node reads every change of an entry, so the cost of the reads
// grows with the product of nodes and changes. Waiting for changes costs nothing while there are none. While entries
// change, a list that may be seconds old costs a tenth of a wait, and is sufficient: a node that leaves refuses requests by
// itself, and a new one may be learned of a little later. A nil ReadPlan always waits for changes.
type ReadPlan struct {
	config ReadPlanConfig
	next   Read
	quiet  int
	// count and newest are the number of entries of the last list and the highest revision among them. Both are the
	// same in two lists only if no entry changed in between.
	count  int
	newest uint64
	// known is the number of entries that are known from the last list and the changes since.
	known int
}

// NewReadPlan returns a plan that begins with ReadLatest.
func NewReadPlan(config ReadPlanConfig) *ReadPlan {
	return &ReadPlan{config: config}
}

// Next returns how to read next.
func (p *ReadPlan) Next() Read {
	if p == nil {
		return ReadChanges
	}
	return p.next
}

// Listed records a list of the given number of entries, with the highest revision among them.
func (p *ReadPlan) Listed(count int, newest uint64) {
	if p == nil {
		return
	}
	isChanged := count != p.count || newest != p.newest
	p.count, p.newest, p.known = count, newest, count
	if p.next != ReadStale {
		p.next = ReadChanges
		return
	}
	if isChanged {
		p.quiet = 0
		return
	}
	p.Outdated()
}

// Outdated records a stale list that shows nothing new, perhaps because it is older than what is known already. Lists that
// stay old for good are not read forever.
func (p *ReadPlan) Outdated() {
	if p == nil {
		return
	}
	p.quiet++
	if p.quiet >= p.config.QuietReads || !p.allowsStale() {
		p.next = ReadChanges
	}
}

// allowsStale reports whether the number of entries allows stale lists.
func (p *ReadPlan) allowsStale() bool {
	return p.known <= p.config.MaxEntries && (p.known >= p.config.MinEntries || p.isStarting())
}

// isStarting reports whether most of the known entries have been added since the last list, as while a fleet starts.
func (p *ReadPlan) isStarting() bool {
	return p.known > 2*p.count
}

// Changed records that waiting for changes has returned some, and how many entries are known with them.
func (p *ReadPlan) Changed(known int) {
	if p == nil {
		return
	}
	p.quiet, p.known = 0, known
	if p.allowsStale() {
		p.next = ReadStale
	}
}

// Failed records that a read failed, so that changes may have been missed. Until the store answers again, each attempt
// costs as much as a call that succeeds.
func (p *ReadPlan) Failed() {
	if p == nil {
		return
	}
	p.Restarted()
	if p.allowsStale() {
		p.next = ReadStale
	}
}

// Restarted records that what was read before can't be continued: the store dropped its history, or was restored from a
// copy.
func (p *ReadPlan) Restarted() {
	if p == nil {
		return
	}
	p.next, p.quiet = ReadLatest, 0
}
