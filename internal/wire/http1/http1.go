// Package http1 checks responses that net/http has parsed against the grammar of HTTP/1.1 (RFC 9112), and exchanges requests for
// responses that are checked so. net/http accepts more than that: any version, three characters that convert to a number for a
// status, and blanks in the names of fields.
//
// # Usage
//
//	err := http1.Exchange(client, request, func(response *http.Response) (err error) {
//		body, err = http1.ReadJSON(response, maxResponseBytes)
//		return err
//	})
package http1

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a response that breaks the grammar.
var ErrMalformed = errors.New("response is malformed")

// CheckHead returns an ErrMalformed that names the fault of the status line or of a field's name.
func CheckHead(response *http.Response) error {
	if err := CheckStatusLine(response); err != nil {
		return err
	}
	return CheckNames(response.Header)
}

// CheckStatusLine returns an ErrMalformed for a response of another major version than 1, for a status that is none, and for
// a switch of the protocol, which no request asks for.
func CheckStatusLine(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s", ErrMalformed, response.Proto)
	case response.StatusCode < http.StatusContinue, response.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %.3s", ErrMalformed, response.Status)
	}
	return nil
}

// CheckNames returns an ErrMalformed for a field whose name is none.
func CheckNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %.40q is no name of a field", ErrMalformed, name)
		}
	}
	return nil
}
