// Package routes holds the routing configuration: which services handle a request, by its host and path, and the
// request's timeout, rank and number of attempts. A Table is validated and immutable; a newer version replaces all of
// it.
//
// # Usage
//
//	table, err := routes.NewTable(routes.Configuration{Version: 7, Routes: list})
//	route, ok := table.Match("sheets.example", "/today/12")
//	service := route.Service(number)
package routes

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// Cluster is a service that receives a fraction of a route's requests.
type Cluster struct {
	Service string `json:"service"`
	// Weight divided by the sum of the weights of the route's clusters is the fraction.
	Weight int `json:"weight"`
}

// Route is the configuration of one kind of request.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix is the prefix of the paths of the route. It begins and ends with a slash.
	Prefix     string `json:"prefix"`
	Idempotent bool   `json:"idempotent"`
	// Timeout is the longest time until a caller gets a response.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the latency within which a response has its full value.
	TargetLatency time.Duration `json:"target"`
	// Rank is the shedding rank; 0 is the most urgent and shed last.
	Rank int `json:"rank"`
	// MaxAttempts is the number of backend servers to which one request may be sent.
	MaxAttempts int       `json:"attempts"`
	Clusters    []Cluster `json:"clusters"`
}

// Service returns the service for the request with the given number. In every sequence of consecutive numbers, the
// fractions of the services are close to those given by their weights.
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

// goldenStep is 2^64 divided by the golden ratio. Its multiples, modulo 2^64, are evenly distributed.
const goldenStep = 0x9E3779B97F4A7C15

// quasiRandom maps a number to a value below total. The values of consecutive numbers are evenly distributed: they are
// the multiples of goldenStep, scaled to the range.
func quasiRandom(number, total uint64) uint64 {
	const upperHalf = 32
	return ((number * goldenStep) >> upperHalf) * total >> upperHalf
}

// Limits are the limits on the size and duration of callers' requests.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the largest sizes of a request's headers and of its body.
	MaxHeaderBytes int64         `json:"max_header"`
	MaxBodyBytes   int64         `json:"max_body"`
	HeaderTimeout  time.Duration `json:"header"`
	IdleTimeout    time.Duration `json:"idle"`
}

// Service is the operators' configuration of one service.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is the number of connections that each of its backend servers accepts.
	MaxConnections int `json:"connections"`
}

// Configuration is one version of the routing configuration.
type Configuration struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Table finds the route of a request.
type Table struct {
	Configuration
	// LeftOut says for each part of the configuration that can't be used what is wrong with it.
	LeftOut []string `json:"left_out,omitempty"`

	// byHost holds the routes of each host, sorted by decreasing length of the prefix.
	byHost   map[string][]*Route
	services map[string]Service
}

// NewTable returns the table of the configuration. Routes that can't be used are left out and leave the others in force. A
// configuration without a version is a trace.BadParameter, because it can't be told from older ones.
func NewTable(c Configuration) (*Table, error) {
	if c.Version == 0 {
		return nil, trace.BadParameter("the configuration has no version")
	}
	t := &Table{Configuration: c, byHost: map[string][]*Route{}, services: map[string]Service{}}
	t.Routes = nil
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for _, r := range c.Routes {
		if err := t.check(&r); err != nil {
			t.LeftOut = append(t.LeftOut, trace.UserMessage(err))
			continue
		}
		r.Rank = min(r.Rank, admission.Ranks-1)
		t.Routes = append(t.Routes, r)
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := CanonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// maxTotalWeight is the largest sum of the weights of a route.
const maxTotalWeight = math.MaxInt32

func (t *Table) check(r *Route) error {
	switch {
	case CanonicalHost(r.Host) == "":
		return trace.BadParameter("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return trace.BadParameter("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return trace.BadParameter("route %q: timeout must be more than 0", r.Name)
	case r.Rank < 0:
		return trace.BadParameter("route %q: rank must not be negative", r.Name)
	case r.MaxAttempts < 1:
		return trace.BadParameter("route %q: attempts must be at least 1", r.Name)
	case len(r.Clusters) == 0:
		return trace.BadParameter("route %q has no clusters", r.Name)
	}
	total := 0
	for _, c := range r.Clusters {
		if _, known := t.services[c.Service]; !known || c.Weight < 0 {
			return trace.BadParameter("route %q: service %q is unknown or its weight is negative", r.Name, c.Service)
		}
		total += c.Weight
	}
	if total == 0 || total > maxTotalWeight {
		return trace.BadParameter("route %q: the sum of the weights, %d, must be from 1 to %d", r.Name, total, maxTotalWeight)
	}
	return nil
}

// CanonicalHost returns the host in small letters, without a port and without the dot of the root. Hosts are the same if these are
// equal.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Match returns the route for the host with the longest prefix that matches the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Services returns the services of the route for the host and path; none if there is no such route, or if t is nil.
func (t *Table) Services(host, path string) []string {
	if t == nil {
		return nil
	}
	route, ok := t.Match(host, path)
	if !ok {
		return nil
	}
	var services []string
	for _, c := range route.Clusters {
		services = append(services, c.Service)
	}
	return services
}

// MaxConnections returns the number of connections that a backend server of the service accepts, or 0 if it is unknown.
func (t *Table) MaxConnections(service string) int {
	return t.services[service].MaxConnections
}
