package backend

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxResponseHeader is the maximum size of a response header, in bytes, with all informational responses before it.
	maxResponseHeader = 64 << 10
	// maxReadingBytes is the maximum size, in bytes, of all response bodies of which a part has been read.
	maxReadingBytes = 16 << 20
)

// errHeaderTooLarge is returned when a response header exceeds maxResponseHeader.
var errHeaderTooLarge = errors.New("response header exceeds the size limit")

// headerLimiter limits how many bytes can be read while a response header is read.
type headerLimiter struct {
	io.Reader
	// left is the number of bytes that may still be read. It applies while limited is true.
	left    int
	limited bool
}

// begin limits the header that is read next. buffered is the number of its bytes that have been read already.
func (l *headerLimiter) begin(buffered int) {
	l.left, l.limited = maxResponseHeader-buffered, true
}

// end lifts the limit for the body.
func (l *headerLimiter) end() {
	l.limited = false
}

// Read reads from the connection, or returns errHeaderTooLarge.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// readingBytes counts the bytes of the response bodies that are being read.
type readingBytes struct {
	total atomic.Int64
}

// reserve counts bytes, and reports false if they are too many.
func (r *readingBytes) reserve(n int64) bool {
	return r.total.Add(n) <= maxReadingBytes
}

func (r *readingBytes) release(n int64) {
	r.total.Add(-n)
}

// countedReader reads a body without a length, whose bytes count in readingBytes.
type countedReader struct {
	io.Reader
	reading *readingBytes
	counted int64
}

// Read reads from the body. It returns errResponseTooLarge if all bodies together are too large.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.counted += int64(n)
	if !r.reading.reserve(int64(n)) {
		return n, errResponseTooLarge
	}
	return n, err
}

// readBody reads the body of a response, which may not be larger than MaxBody. A body without a length may never end, and
// many may do so at the same time. After an error the body isn't closed, because that would read the rest of it; its
// connection has to be closed instead.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > c.config.MaxBody {
		return nil, errResponseTooLarge
	}
	body, err := c.readCounted(response)
	if err == nil && int64(len(body)) > c.config.MaxBody {
		err = errResponseTooLarge
	}
	if err != nil {
		return nil, err
	}
	return body, response.Body.Close()
}

// readCounted reads the body of a response and counts it in readingBytes meanwhile. A body with a length counts as a whole
// from the beginning, because its buffer has that size.
func (c *Client) readCounted(response *http.Response) ([]byte, error) {
	limit := c.config.MaxBody + 1
	if length := response.ContentLength; length >= 0 {
		defer c.reading.release(length)
		if !c.reading.reserve(length) {
			return nil, errResponseTooLarge
		}
		return ReadBody(response.Body, length, limit)
	}
	counted := &countedReader{Reader: response.Body, reading: &c.reading}
	defer func() { c.reading.release(counted.counted) }()
	return ReadBody(counted, response.ContentLength, limit)
}

// ReadBody reads a body of the given length, but at most limit bytes. A negative length means that it isn't known.
func ReadBody(body io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(body, limit))
	}
	content := make([]byte, min(length, limit))
	_, err := io.ReadFull(body, content)
	return content, err
}
