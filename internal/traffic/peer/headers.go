package peer

import (
	"errors"
	"net/http"
	"strings"
)

// errHeaders says that the headers of a message can't be read.
var errHeaders = errors.New("headers are malformed")

const (
	nameEnd  = ':'
	valueEnd = '\n'
)

// headerBlock returns the headers as they stand in messages: each as its name, a colon, the value and a line feed. One block costs less
// than a message for each header.
func headerBlock(h http.Header) []byte {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + 2
		}
	}
	block := make([]byte, 0, size)
	for name, values := range h {
		for _, value := range values {
			block = append(block, name...)
			block = append(block, nameEnd)
			block = append(block, value...)
			block = append(block, valueEnd)
		}
	}
	return block
}

// parseHeaders reads a block of headers.
func parseHeaders(block []byte) (http.Header, error) {
	text := string(block)
	count := strings.Count(text, string(valueEnd))
	h := make(http.Header, count)
	all := make([]string, 0, count)
	for text != "" {
		line, rest, ended := strings.Cut(text, string(valueEnd))
		name, value, named := strings.Cut(line, string(nameEnd))
		if !ended || !named || name == "" {
			return nil, errHeaders
		}
		text = rest
		if values, stands := h[name]; stands {
			h[name] = append(values, value)
			continue
		}
		all = append(all, value)
		h[name] = all[len(all)-1 : len(all) : len(all)]
	}
	return h, nil
}
