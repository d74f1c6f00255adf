// Package routes holds the routes in force: which requests, by host and path, go to which services, and what each of
// them may cost. A Table is complete, checked and never changes; a newer version replaces it whole.
//
// # Usage
//
//	table, err := routes.NewTable(routes.Catalogue{Version: 7, Routes: list})
//	route, ok := table.Match("sheets.example", "/today/12")
//	service := route.Service(number)
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// Cluster is a service that gets a part of a route's requests.
type Cluster struct {
	Service string `json:"service"`
	// Weight is the part, against the sum of the route's weights.
	Weight int `json:"weight"`
}

// Route is one kind of request.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins the paths of the route, and both begins and ends with a slash.
	Prefix     string `json:"prefix"`
	Idempotent bool   `json:"idempotent"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the time within which an answer is worth most.
	TargetLatency time.Duration `json:"target"`
	// Rank is 0 for the most urgent.
	Rank int `json:"rank"`
	// MaxAttempts is how many backend servers may get one request.
	MaxAttempts int       `json:"attempts"`
	Clusters    []Cluster `json:"clusters"`
}

// Service returns the service that gets the request with the number, so that any run of numbers follows the weights.
func (r *Route) Service(number uint64) string {
	if len(r.Clusters) == 1 {
		return r.Clusters[0].Service
	}
	total := uint64(0)
	for _, c := range r.Clusters {
		total += uint64(c.Weight)
	}
	point := quasiRandom(number, total)
	for _, c := range r.Clusters {
		if point < uint64(c.Weight) {
			return c.Service
		}
		point -= uint64(c.Weight)
	}
	return r.Clusters[len(r.Clusters)-1].Service
}

// goldenStep is 2^64 over the golden ratio. Multiples of it fall evenly over all numbers of 64 bits.
const goldenStep = 0x9E3779B97F4A7C15

// quasiRandom returns a point below total. Those of consecutive numbers fall evenly.
func quasiRandom(number, total uint64) uint64 {
	const upperHalf = 32
	return ((number * goldenStep) >> upperHalf) * total >> upperHalf
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// MaxHeaderBytes and MaxBody are in bytes.
	MaxHeaderBytes int64         `json:"max_header"`
	MaxBodyBytes   int64         `json:"max_body"`
	HeaderTimeout  time.Duration `json:"header"`
	IdleTimeout    time.Duration `json:"idle"`
}

// Service is what the operators say of one service.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is how many connections each of its backend servers takes.
	MaxConnections int `json:"connections"`
}

// Catalogue is one version of all routes.
type Catalogue struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Table finds the route of a request.
type Table struct {
	Catalogue

	// byHost holds the routes of each host, the longest prefix first.
	byHost   map[string][]*Route
	services map[string]Service
}

// NewTable checks the catalogue and returns its table, or a trace.BadParameter that names the first fault.
func NewTable(c Catalogue) (*Table, error) {
	t := &Table{Catalogue: c, byHost: map[string][]*Route{}, services: map[string]Service{}}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		r := &t.Routes[i]
		if err := t.check(r); err != nil {
			return nil, trace.Wrap(err)
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "":
		return trace.BadParameter("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return trace.BadParameter("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return trace.BadParameter("route %q: timeout must be more than 0", r.Name)
	case r.Rank < 0:
		return trace.BadParameter("route %q: rank must not be negative", r.Name)
	case r.MaxAttempts < 1:
		return trace.BadParameter("route %q: at least one attempt is needed", r.Name)
	case len(r.Clusters) == 0:
		return trace.BadParameter("route %q goes to no service", r.Name)
	}
	total := 0
	for _, c := range r.Clusters {
		if _, known := t.services[c.Service]; !known || c.Weight < 0 {
			return trace.BadParameter("route %q: service %q is not known or its weight is negative", r.Name, c.Service)
		}
		total += c.Weight
	}
	if total == 0 {
		return trace.BadParameter("route %q: the weights are all 0", r.Name)
	}
	r.Rank = min(r.Rank, admission.Ranks-1)
	return nil
}

// Match returns the route of a request: that with the longest prefix which begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// MaxConnections returns how many connections a backend server of the service takes, or 0 where that isn't known.
func (t *Table) MaxConnections(service string) int {
	return t.services[service].MaxConnections
}
