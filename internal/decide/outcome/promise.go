package outcome

// Promises holds what a node has promised as a keeper of shards. Without the platform, the end of a shard moves only if
// both of its keepers promise the new end. Any other node that wants to write the shard first fences one keeper, which
// then promises nothing more in that term. The writer therefore learns every end that both keepers promised, although
// it reaches only one of them.
type Promises struct {
	byShard map[string]promise
}

// promise holds the latest end promised for one shard, in Unix milliseconds, and the latest term, which may be fenced.
type promise struct {
	term   uint64
	until  int64
	fenced bool
}

// NewPromises returns an empty set of promises.
func NewPromises() *Promises {
	return &Promises{byShard: map[string]promise{}}
}

// Grant promises that the shard ends at the given time, in Unix milliseconds, in the given term. It reports whether the
// promise was made: a fenced term and a term older than the latest one get none.
func (p *Promises) Grant(shard string, term uint64, until int64) bool {
	held := p.inTerm(shard, term)
	if held.term > term || held.fenced {
		return false
	}
	held.until = max(held.until, until)
	p.byShard[shard] = held
	return true
}

// Fence stops further promises for the shard in the term, and returns the latest end promised in any term, in Unix
// milliseconds.
func (p *Promises) Fence(shard string, term uint64) int64 {
	held := p.inTerm(shard, term)
	held.fenced = true
	p.byShard[shard] = held
	return held.until
}

// inTerm returns the promise for the shard in the term. A newer term is not fenced, and keeps the end that was promised
// in earlier terms.
func (p *Promises) inTerm(shard string, term uint64) promise {
	held := p.byShard[shard]
	if held.term < term {
		held.term, held.fenced = term, false
	}
	return held
}
