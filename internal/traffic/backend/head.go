package backend

import (
	"bytes"
	"errors"
	"io"
)

const (
	// maxResponseHeader is the maximum size of a response header, in bytes, with all informational responses before it.
	maxResponseHeader = 64 << 10
	// freeHeaderBytes and freeHeaderLines are the size of a usual header, whose memory isn't counted.
	freeHeaderBytes = 4 << 10
	freeHeaderLines = 64
	// headerByteMemory and headerLineMemory are the bytes of memory that each further byte and each further line of a header
	// takes while it is parsed.
	headerByteMemory = 4
	headerLineMemory = 512
)

// errHeaderTooLarge is returned when a response header exceeds maxResponseHeader, or when there is no memory for it.
var errHeaderTooLarge = errors.New("response header exceeds the size limit")

// headerLimiter limits how many bytes can be read while a response header is read, and counts the memory for large headers
// in the budget.
type headerLimiter struct {
	io.Reader
	budget *readingBudget
	// limited is whether a header is being read. size is the number of its bytes and lines that have been read, and
	// reserved the memory that is reserved for it.
	limited  bool
	bytes    int
	lines    int
	reserved int64
}

// begin limits the header that is read next. buffered is the number of its bytes that have been read already.
func (l *headerLimiter) begin(buffered int) {
	l.limited, l.bytes, l.lines, l.reserved = true, buffered, 0, 0
}

// end lifts the limit for the body.
func (l *headerLimiter) end() {
	l.limited = false
	l.budget.release(l.reserved)
}

// Read reads from the connection, or returns errHeaderTooLarge.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	left := maxResponseHeader - l.bytes
	if left <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), left)])
	if !l.count(p[:n]) {
		return 0, errHeaderTooLarge
	}
	return n, err
}

// count counts bytes that were read. It reports false if the budget has no memory for them.
func (l *headerLimiter) count(read []byte) bool {
	l.bytes += len(read)
	l.lines += bytes.Count(read, []byte{'\n'})
	memory := int64(headerByteMemory*max(l.bytes-freeHeaderBytes, 0) + headerLineMemory*max(l.lines-freeHeaderLines, 0))
	if memory > l.reserved && !l.budget.reserve(memory-l.reserved) {
		return false
	}
	l.reserved = memory
	return true
}
