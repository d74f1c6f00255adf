package platform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
)

// Guards against a platform whose response never ends, in the header or in the body, and is kept until memory runs out.
func TestEndlessResponsesAreBounded(t *testing.T) {
	block := strings.Repeat("x", 64<<10)
	for name, test := range map[string]struct {
		respond func(w http.ResponseWriter)
		want    string
	}{
		"header": {func(w http.ResponseWriter) { w.Header().Set("Long", strings.Repeat(block, 4)) }, "server response headers exceeded"},
		"body": {func(w http.ResponseWriter) {
			for {
				if _, err := w.Write([]byte(block)); err != nil {
					return
				}
			}
		}, "more than 33554432 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { test.respond(w) }))
			defer server.Close()
			client := platform.NewClient(platform.Config{URL: server.URL, Timeout: 10 * time.Second})
			_, err := client.Get(t.Context(), "a")
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}
