package peer

import (
	"errors"
	"net/http"
	"strings"
)

// errMalformedHeaders is returned for a header block that can't be parsed.
var errMalformedHeaders = errors.New("headers are malformed")

const (
	nameTerminator  = ':'
	valueTerminator = '\n'
)

// encodeHeaders returns the headers as one block: for each header its name, a colon, the value and a line feed. A
// single block is cheaper to encode than a protobuf message for each header.
func encodeHeaders(h http.Header) []byte {
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
			block = append(block, nameTerminator)
			block = append(block, value...)
			block = append(block, valueTerminator)
		}
	}
	return block
}

// parseHeaders parses a block written by encodeHeaders.
func parseHeaders(block []byte) (http.Header, error) {
	text := string(block)
	count := strings.Count(text, string(valueTerminator))
	h := make(http.Header, count)
	allValues := make([]string, 0, count)
	for text != "" {
		line, rest, hasEnd := strings.Cut(text, string(valueTerminator))
		name, value, hasName := strings.Cut(line, string(nameTerminator))
		if !hasEnd || !hasName || name == "" {
			return nil, errMalformedHeaders
		}
		text = rest
		if values, found := h[name]; found {
			h[name] = append(values, value)
			continue
		}
		allValues = append(allValues, value)
		h[name] = allValues[len(allValues)-1 : len(allValues) : len(allValues)]
	}
	return h, nil
}
