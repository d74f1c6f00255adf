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
