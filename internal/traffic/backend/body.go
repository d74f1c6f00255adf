package backend

import (
	"errors"
	"io"
	"net/http"
)

// readBody reads the body of a response, which may not be larger than MaxBody. A body may never end, or never arrive, and many
// may do so at the same time. After an error the body isn't closed, because that would read the rest of it; its connection
// has to be closed instead.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > c.config.MaxBody {
		return nil, errResponseTooLarge
	}
	body, err := c.readCounted(response)
	if err != nil {
		return nil, err
	}
	return body, response.Body.Close()
}

// endsWithStream reports whether the body of a response has neither a length nor chunks, and ends with its connection.
func endsWithStream(response *http.Response) bool {
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return !isFramed && response.Request.Method != http.MethodHead
}

// readCounted reads the body of a response and counts the memory for it in the budget meanwhile.
func (c *Client) readCounted(response *http.Response) ([]byte, error) {
	length := response.ContentLength
	if length < 0 || length > blockSize {
		reader := blockReader{budget: &c.budget}
		defer reader.release()
		return reader.readAll(response.Body, c.config.MaxBody)
	}
	defer c.budget.release(length)
	if !c.budget.reserve(length) {
		return nil, errResponseTooLarge
	}
	return ReadBody(response.Body, length, length)
}

// blockReader reads a body into blocks as it arrives, so that a body takes no more memory than its bytes that have arrived.
type blockReader struct {
	budget *readingBudget
	blocks []*block
	// size is the number of bytes that were read.
	size int64
}

// readAll reads the body to its end. It returns errResponseTooLarge if it has more than limit bytes, or if the budget is
// used up.
func (r *blockReader) readAll(body io.Reader, limit int64) ([]byte, error) {
	for {
		free, err := r.free()
		if err != nil {
			return nil, err
		}
		n, err := body.Read(free)
		r.size += int64(n)
		switch {
		case r.size > limit:
			return nil, errResponseTooLarge
		case errors.Is(err, io.EOF):
			return r.content(), nil
		case err != nil:
			return nil, err
		}
	}
}

// free returns the free part of the last block. If that is full, it adds a block.
func (r *blockReader) free() ([]byte, error) {
	if r.size == int64(len(r.blocks))*blockSize {
		if !r.budget.reserve(blockSize) {
			return nil, errResponseTooLarge
		}
		r.blocks = append(r.blocks, blocks.Get().(*block))
	}
	return r.blocks[len(r.blocks)-1][r.size%blockSize:], nil
}

// content returns a copy of the bytes that were read.
func (r *blockReader) content() []byte {
	content := make([]byte, 0, r.size)
	for _, b := range r.blocks {
		content = append(content, b[:min(r.size-int64(len(content)), blockSize)]...)
	}
	return content
}

// release returns the blocks.
func (r *blockReader) release() {
	for _, b := range r.blocks {
		blocks.Put(b)
	}
	r.budget.release(int64(len(r.blocks)) * blockSize)
	r.blocks = nil
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
