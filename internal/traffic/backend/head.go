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

// headerLimiter limits how many bytes can be read while a response header is read, counts the memory for large headers in the
// budget, and checks the names of the fields.
type headerLimiter struct {
	io.Reader
	budget *readingBudget
	names  fieldNames
	// fault is why nothing more can be read of the header; nil if more can be read.
	fault error
	// limited is whether a header is being read. size is the number of its bytes and lines that have been read, and
	// reserved the memory that is reserved for it.
	limited  bool
	bytes    int
	lines    int
	reserved int64
}

// begin limits the header that is read next. buffered is the number of its bytes that have been read already.
func (l *headerLimiter) begin(buffered int) {
	l.limited, l.bytes, l.lines, l.reserved, l.fault = true, buffered, 0, 0, nil
}

// beginHead starts the check of the next head, which is informational or the last one. buffered holds the bytes behind the
// head before it that have been read already.
func (l *headerLimiter) beginHead(buffered []byte) error {
	l.names.begin()
	l.fault = l.names.check(buffered)
	return l.fault
}

// end lifts the limit for the body.
func (l *headerLimiter) end() {
	l.limited = false
	l.budget.release(l.reserved)
}

// Read reads from the connection, or returns errHeaderTooLarge or http1.ErrMalformed, also when it is called again.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.fault != nil {
		return 0, l.fault
	}
	left := maxResponseHeader - l.bytes
	if left <= 0 {
		l.fault = errHeaderTooLarge
		return 0, l.fault
	}
	n, err := l.Reader.Read(p[:min(len(p), left)])
	if l.fault = l.checkRead(p[:n]); l.fault != nil {
		return 0, l.fault
	}
	return n, err
}

// checkRead counts and checks bytes that were read.
func (l *headerLimiter) checkRead(read []byte) error {
	if !l.count(read) {
		return errHeaderTooLarge
	}
	return l.names.check(read)
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
