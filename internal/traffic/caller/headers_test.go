package caller

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
)

// FuzzHeaders checks that headers and paths that pass validation are within the limits in docs/CALLERS.md.
func FuzzHeaders(f *testing.F) {
	f.Add("key", "100", "crew", "/call/bookings/a/b")
	f.Add("", "-1", " ", "/call/b%6Fokings/../%2e%2e/%2F")
	f.Fuzz(func(t *testing.T, key, deadline, name, path string) {
		target, err := url.ParseRequestURI(path)
		if err != nil {
			return
		}
		r := &http.Request{URL: target, RemoteAddr: "127.0.0.1:1", Header: http.Header{
			backend.KeyHeader: {key},
			DeadlineHeader:    {deadline},
			CallerHeader:      {name},
		}}
		if checkHeaders(r.Header) == nil && (key == "" || len(callerOf(r)) > maxCallerName || callerOf(r) == "") {
			t.Errorf("invalid headers accepted: key %q, caller name %q", key, name)
		}
		kind := document.Kind{Deadline: time.Second}
		at, refused := deadlineOf(r, kind)
		if refused == nil && time.Until(at) > kind.Deadline {
			t.Errorf("deadline %q is later than the deadline of the kind", deadline)
		}
		checkPath(t, r)
	})
}

// checkPath routes the request as the node does, and checks that the forwarded path is the one that was matched.
func checkPath(t *testing.T, r *http.Request) {
	t.Helper()
	service, rest, found := strings.Cut(strings.TrimPrefix(r.URL.Path, pathPrefix), "/")
	if !found || !strings.HasPrefix(r.URL.Path, pathPrefix) {
		return
	}
	p := httprouter.Params{{Key: "service", Value: service}, {Key: "path", Value: "/" + rest}}
	path, refused := pathOf(r, p)
	if refused != nil {
		return
	}
	forwarded, err := url.ParseRequestURI(path)
	if err != nil || forwarded.Path != "/"+rest {
		t.Errorf("%q was matched as %q and is forwarded as %q", r.URL, "/"+rest, path)
	}
}
