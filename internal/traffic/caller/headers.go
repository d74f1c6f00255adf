package caller

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// ownHeaderPrefix is the prefix of the names of this system's headers.
	ownHeaderPrefix = "Comfreyhoist-"
	// maxCallerName is the maximum length of a caller name in bytes.
	maxCallerName = 128
	// maxDeadlineMs is the highest value of DeadlineHeader. The deadline of a kind is far below it.
	maxDeadlineMs = 24 * 60 * 60 * 1000
)

// callerHeaders lists the headers of this system that a caller may set, each at most once.
var callerHeaders = []string{backend.KeyHeader, DeadlineHeader, CallerHeader, ResendHeader, backend.ChainHeader}

// checkHeaders returns a rejection if a header of this system is repeated or malformed. Its text names the header.
func checkHeaders(h http.Header) *rejection {
	for _, name := range callerHeaders {
		if len(h.Values(name)) > 1 {
			return &rejection{malformedHeaderReason(name), name + " stands more than once"}
		}
	}
	if h.Values(backend.KeyHeader) != nil && h.Get(backend.KeyHeader) == "" {
		return &rejection{call.ReasonBadKey, backend.KeyHeader + " is empty"}
	}
	if name := h.Get(CallerHeader); len(name) > maxCallerName || strings.ContainsFunc(name, isNotVisibleASCII) {
		return &rejection{call.ReasonBadRequest, CallerHeader + " is not at most " + strconv.Itoa(maxCallerName) + " visible ASCII characters"}
	}
	return nil
}

func malformedHeaderReason(name string) call.Reason {
	if name == backend.KeyHeader {
		return call.ReasonBadKey
	}
	return call.ReasonBadRequest
}

func isNotVisibleASCII(c rune) bool {
	return c <= ' ' || c > '~'
}

// deadlineOf returns the deadline that the caller requested, limited to the deadline of the kind.
func deadlineOf(r *http.Request, kind document.Kind) (time.Time, *rejection) {
	now := time.Now()
	if len(r.Header.Values(DeadlineHeader)) == 0 {
		return now.Add(kind.Deadline), nil
	}
	milliseconds, err := strconv.ParseInt(r.Header.Get(DeadlineHeader), 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maxDeadlineMs {
		text := DeadlineHeader + " is not a number of milliseconds from 0 to " + strconv.Itoa(maxDeadlineMs)
		return now, &rejection{call.ReasonBadRequest, text}
	}
	requested := time.Duration(milliseconds) * time.Millisecond
	return now.Add(min(requested, kind.Deadline)), nil
}

// callerOf returns the name of the caller: the value of CallerHeader, or else its IP address.
func callerOf(r *http.Request) string {
	if name := r.Header.Get(CallerHeader); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// forwardedHeaders returns the headers to forward to the backend server: the end-to-end headers without those of this
// system.
func forwardedHeaders(h http.Header) http.Header {
	result := backend.EndToEnd(h)
	for name := range result {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			result.Del(name)
		}
	}
	return result
}

// pathOf returns the path below the service and the query, escaped as the caller sent them. It refuses dot segments: a
// backend server that resolves them would run a request of another kind, with the rank of the kind that was matched.
func pathOf(r *http.Request, p httprouter.Params) (string, *rejection) {
	for _, segment := range strings.Split(p.ByName("path"), "/") {
		if segment == "." || segment == ".." {
			return "", &rejection{call.ReasonBadRequest, "path has a segment " + segment}
		}
	}
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), pathPrefix), "/")
	if service != p.ByName("service") {
		return "", &rejection{call.ReasonBadRequest, "path has an escaped service name"}
	}
	if r.URL.RawQuery != "" {
		return "/" + path + "?" + r.URL.RawQuery, nil
	}
	return "/" + path, nil
}

// resendsOf returns the number of times that the caller has sent the request before, as reported by the caller.
func resendsOf(r *http.Request) (int, *rejection) {
	if len(r.Header.Values(ResendHeader)) == 0 {
		return 0, nil
	}
	resends, err := strconv.ParseUint(r.Header.Get(ResendHeader), 10, 16)
	if err != nil {
		return 0, &rejection{call.ReasonBadRequest, ResendHeader + " is not a small whole number"}
	}
	return int(resends), nil
}
