package backend

import (
	"sync"
	"sync/atomic"
)

// maxReadingBytes is the maximum memory, in bytes, for all responses of which a part has been read.
const maxReadingBytes = 16 << 20

// readingBudget limits the memory for the responses that are being read. A backend server may send all of them bytes without
// end.
type readingBudget struct {
	used atomic.Int64
}

// reserve takes bytes from the budget. It reports false, and takes nothing, if fewer are left.
func (b *readingBudget) reserve(n int64) bool {
	if b.used.Add(n) > maxReadingBytes {
		b.used.Add(-n)
		return false
	}
	return true
}

// release returns bytes that were reserved.
func (b *readingBudget) release(n int64) {
	b.used.Add(-n)
}

// blockSize is the size of a block in bytes.
const blockSize = 16 << 10

// block is a part of the memory that bodies are read into.
type block [blockSize]byte

// blocks holds the blocks that are not in use. Blocks are used again, so that bodies that fail leave no garbage.
var blocks = sync.Pool{New: func() any { return new(block) }}
