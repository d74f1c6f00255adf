package backend

import (
	"fmt"
	"net/http"

	"github.com/comfreyhoist/comfreyhoist/internal/wire/http1"
)

// checkFraming returns an error for a response whose head contradicts itself about where its body ends (RFC 9112, sections 6.1 and
// 6.3). names are those of the head.
func checkFraming(response *http.Response, names *fieldNames) error {
	length := response.Header.Get(lengthField)
	switch {
	case names.hasCoding && names.hasLength:
		return fmt.Errorf("%w: both %s and %s", http1.ErrMalformed, lengthField, codingField)
	case names.hasCoding && !response.ProtoAtLeast(1, 1):
		return fmt.Errorf("%w: %s in %s", http1.ErrMalformed, codingField, response.Proto)
	case !hasBody(response.StatusCode) && (names.hasCoding || names.hasLength && length != "0"):
		return fmt.Errorf("%w: a body with status %d", http1.ErrMalformed, response.StatusCode)
	}
	return nil
}

// hasBody reports whether responses with the status can have a body, or a length of the one that another request would get.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent
}
