package outcome

// Promises are what a node has promised as a keeper of shards. A shard's end moves without the platform only by the
// promise of both of its keepers, and whoever else wants to write the shard first takes the promise of one of them
// back. So the writer knows every end that was promised, although it reached only one keeper.
type Promises struct {
	byShard map[string]promise
}

type promise struct {
	term   uint64
	until  int64
	fenced bool
}

// NewPromises returns no promises.
func NewPromises() *Promises {
	return &Promises{byShard: map[string]promise{}}
}

// Grant promises the end for the shard in the term and reports false where the promise was taken back. The end is in
// Unix milliseconds.
func (p *Promises) Grant(shard string, term uint64, until int64) bool {
	held := p.inTerm(shard, term)
	if held.term > term || held.fenced {
		return false
	}
	held.until = max(held.until, until)
	p.byShard[shard] = held
	return true
}

// Fence takes the promise for the shard back in the term, and returns the latest end that was ever promised.
func (p *Promises) Fence(shard string, term uint64) int64 {
	held := p.inTerm(shard, term)
	held.fenced = true
	p.byShard[shard] = held
	return held.until
}

// inTerm returns the promise for the term. A newer term begins with a new promise, but what was promised before stands.
func (p *Promises) inTerm(shard string, term uint64) promise {
	held := p.byShard[shard]
	if held.term < term {
		held.term, held.fenced = term, false
	}
	return held
}
