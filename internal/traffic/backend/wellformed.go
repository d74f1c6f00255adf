package backend

import (
	"errors"
	"fmt"
	"net/http"
)

// errMalformed is returned for a response that breaks the grammar of HTTP/1.1 (RFC 9112) although net/http accepts it.
var errMalformed = errors.New("response is malformed")

// checkStatusLine returns an error for a response of another protocol version, for a status that is none, and for a switch of the
// protocol, which no request asks for.
func checkStatusLine(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s", errMalformed, response.Proto)
	case response.StatusCode < http.StatusContinue, response.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %.3s", errMalformed, response.Status)
	}
	return nil
}

// checkFraming returns an error for a response whose head contradicts itself about where its body ends (RFC 9112, sections 6.1 and
// 6.3). names are those of the head.
func checkFraming(response *http.Response, names *fieldNames) error {
	length := response.Header.Get(lengthField)
	switch {
	case names.hasCoding && names.hasLength:
		return fmt.Errorf("%w: both %s and %s", errMalformed, lengthField, codingField)
	case names.hasCoding && !response.ProtoAtLeast(1, 1):
		return fmt.Errorf("%w: %s in %s", errMalformed, codingField, response.Proto)
	case !hasBody(response.StatusCode) && (names.hasCoding || names.hasLength && length != "0"):
		return fmt.Errorf("%w: a body with status %d", errMalformed, response.StatusCode)
	}
	return nil
}

// hasBody reports whether responses with the status can have a body, or a length of the one that another request would get.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent
}
