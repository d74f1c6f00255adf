package routes_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
)

// Guards against 404 for a host that is written in another way than in the route: host names are the same in any case, with
// the dot of the root, and at any port.
func TestHostIsMatchedInEachSpelling(t *testing.T) {
	for name, test := range map[string]struct {
		configured, requested string
		want                  bool
	}{
		"same":                 {"h.example", "h.example", true},
		"capitals":             {"h.example", "H.Example", true},
		"port":                 {"h.example", "h.example:80", true},
		"root":                 {"h.example", "h.example.", true},
		"all":                  {"h.example", "H.EXAMPLE.:8080", true},
		"capitals in route":    {"H.Example", "h.example", true},
		"port in route":        {"h.example:80", "h.example", true},
		"address":              {"[2001:db8::1]", "[2001:DB8::1]:80", true},
		"address without port": {"[2001:db8::1]", "[2001:db8::1]", true},
		"another host":         {"h.example", "h.example.org", false},
		"longer name":          {"h.example", "a.h.example", false},
		"empty":                {"h.example", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, err := routes.NewTable(routes.Configuration{
				Version:  1,
				Services: []routes.Service{{Name: "crew"}},
				Routes: []routes.Route{{
					Name: "sheets", Host: test.configured, Prefix: "/", Timeout: time.Second, MaxAttempts: 1,
					Clusters: []routes.Cluster{{Service: "crew", Weight: 1}},
				}},
			})
			is.NoErr(err)
			_, ok := table.Match(test.requested, "/today")
			is.Equal(ok, test.want)
		})
	}
}
