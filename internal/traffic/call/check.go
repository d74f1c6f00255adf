package call

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// MaxStatus is the highest HTTP status, which has three digits.
const MaxStatus = 999

// Check returns an error that names the fault of a reply that can't be a response over HTTP: its status, if the backend server's
// response is in it, or the name or value of a header.
func (r *Reply) Check() error {
	if r.Outcome == Ran && (r.Status < http.StatusOK || r.Status > MaxStatus) {
		return fmt.Errorf("status %d is not from %d to %d", r.Status, http.StatusOK, MaxStatus)
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("header name %.40q is malformed", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("value %.40q of header %.40s is malformed", value, name)
			}
		}
	}
	return nil
}
