package backend

import (
	"errors"
	"fmt"
	"hash/maphash"
	"net/http"
	"slices"
	"strings"
)

// maxRequestsPerConnection is how many requests a connection carries before it is closed.
const maxRequestsPerConnection = 1000

// carriedRequests holds the IDs of the requests that a connection has carried. A response is matched to its request by
// the ID. If a connection carried the same ID twice, a late copy of the response to the first sending would be taken for
// the response to the second.
type carriedRequests struct {
	hashes []uint64
}

// idSeed seeds the hashes of IDs.
var idSeed = maphash.MakeSeed()

// contains reports whether the connection has carried a request with the ID. It may be wrong for an ID that the
// connection hasn't carried.
func (c *carriedRequests) contains(id string) bool {
	return id != "" && slices.Contains(c.hashes, maphash.String(idSeed, id))
}

func (c *carriedRequests) add(id string) {
	c.hashes = append(c.hashes, maphash.String(idSeed, id))
}

// isEmpty reports whether the connection has carried no request.
func (c *carriedRequests) isEmpty() bool {
	return len(c.hashes) == 0
}

// isFull reports whether the connection may carry no further request.
func (c *carriedRequests) isFull() bool {
	return len(c.hashes) >= maxRequestsPerConnection
}

// identity identifies the sending of a request in the header of its response.
type identity struct {
	// header is the name of the header that a response repeats; empty if responses can't be identified.
	header string
	// value is its value in the request. Without one, the request gets a connection of its own.
	value string
	// isOptional reports whether a backend server may never repeat the header. One that has repeated it on a connection
	// does so in all responses there.
	isOptional bool
}

// isOwn reports whether a response that arrived on a connection belongs to the request. isFirst reports whether the
// connection has carried no other request; a response without an ID can then belong to no other. repeats reports whether
// an earlier response on the connection had an ID.
func (i identity) isOwn(response *http.Response, isFirst, repeats bool) bool {
	if i.header == "" {
		return true
	}
	if i.isIdentified(response) {
		return response.Header.Get(i.header) == i.value
	}
	return isFirst || i.isOptional && !repeats
}

// isIdentified reports whether the response repeats the ID.
func (i identity) isIdentified(response *http.Response) bool {
	return i.header != "" && response.Header.Get(i.header) != ""
}

// allowsReuse reports whether the connection of the response may carry another request.
func (i identity) allowsReuse(response *http.Response) bool {
	return i.header == "" || i.isOptional || i.isIdentified(response)
}

// statusLinePrefix begins each response.
const statusLinePrefix = "HTTP/1."

// errMixedResponses is returned for a response head that consists of the heads of two responses.
var errMixedResponses = errors.New("response head contains another one")

// checkHead returns an error for a response head that contains another: a response that broke off in its head is
// continued by the next one on the connection.
func (h *Headers) checkHead(response *http.Response) error {
	if strings.Contains(response.Status, statusLinePrefix) {
		return errMixedResponses
	}
	for name, values := range response.Header {
		if containsStatusLine(values) {
			return fmt.Errorf("%w: header %s", errMixedResponses, name)
		}
	}
	for _, name := range []string{h.RequestID, h.Signature, h.NotRun} {
		if name != "" && len(response.Header.Values(name)) > 1 {
			return fmt.Errorf("%w: header %s is repeated", errMixedResponses, name)
		}
	}
	return nil
}

// containsStatusLine reports whether one of the values contains a status line.
func containsStatusLine(values []string) bool {
	const statusLength = len("HTTP/1.1 200")
	for _, value := range values {
		for start := strings.Index(value, statusLinePrefix); start >= 0; start = strings.Index(value, statusLinePrefix) {
			value = value[start:]
			if len(value) >= statusLength && value[statusLength-4] == ' ' && strings.Trim(value[statusLength-3:statusLength], "0123456789") == "" {
				return true
			}
			value = value[len(statusLinePrefix):]
		}
	}
	return false
}
