package scenario

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
)

// Names of the deployments.
const (
	LustreLimpo = "lustre_limpo"
	Valokisko   = "valokisko"
)

// Deployment is a fleet with its ordinary load, and the streams and the service that the triggers affect.
type Deployment struct {
	Name  string
	Fleet fleet.Deployment
	// Streams are the ordinary load.
	Streams []load.Stream
	// LeastUrgent and MostUrgent name the streams of the least and the most urgent work.
	LeastUrgent string
	MostUrgent  string
	// DeepService is the service at the end of the call chains.
	DeepService string
}

// Deployments returns both deployments by name, with their services, slots and connections. Service times are long, so
// that the slots and not the processors of one machine limit the throughput of the fleet.
func Deployments() map[string]Deployment {
	return map[string]Deployment{
		LustreLimpo: lustreLimpo(),
		Valokisko:   valokisko(),
	}
}

func lustreLimpo() Deployment {
	return Deployment{
		Name:        LustreLimpo,
		LeastUrgent: "archive",
		MostUrgent:  "sheets",
		DeepService: "access",
		Fleet: fleet.Deployment{
			Zones: []string{"lisbon_1", "lisbon_2", "lisbon_3"},
			Services: []fleet.Service{
				service("crew-scheduling", 3, 35, 300, 60*time.Millisecond,
					[]kind{{"sheets", "GET", 0, true}, {"availability", "GET", 3, true}, {"past", "GET", 7, true}},
					[]server.DownstreamCall{get("access", "/windows/palace", "/")}),
				service("bookings", 3, 35, 300, 80*time.Millisecond,
					[]kind{{"bookings", "POST", 2, false}, {"deposits", "POST", 2, false}},
					[]server.DownstreamCall{get("crew-scheduling", "/availability/today", "/")}),
				service("access", 3, 10, 170, 30*time.Millisecond,
					[]kind{{"windows", "GET", 1, true}}, nil),
				service("wash-history", 4, 35, 300, 30*time.Millisecond,
					[]kind{{"archive", "GET", 8, true}},
					[]server.DownstreamCall{get("crew-scheduling", "/past/2019", "/")}),
			},
		},
		Streams: []load.Stream{
			stream("sheets", "crew-scheduling", http.MethodGet, "/sheets/today", 0, 250, time.Second),
			stream("bookings", "bookings", http.MethodPost, "/bookings/new", 2, 100, 2*time.Second),
			stream("deposits", "bookings", http.MethodPost, "/deposits/new", 2, 50, 2*time.Second),
			stream("archive", "wash-history", http.MethodGet, "/archive/2019", 8, 150, 2*time.Second),
		},
	}
}

func valokisko() Deployment {
	return Deployment{
		Name:        Valokisko,
		LeastUrgent: "lookups",
		MostUrgent:  "board",
		DeepService: "venues",
		Fleet: fleet.Deployment{
			Zones: []string{"finland_1", "finland_2", "finland_3"},
			Services: []fleet.Service{
				service("fixtures", 4, 150, 1000, 100*time.Millisecond,
					[]kind{{"lookups", "GET", 7, true}, {"stock", "GET", 3, true}},
					[]server.DownstreamCall{get("venues", "/schedules/week", "/lookups")}),
				service("orders", 3, 200, 1300, 300*time.Millisecond,
					[]kind{{"orders", "POST", 2, false}},
					[]server.DownstreamCall{get("fixtures", "/stock/lamps", "/"), get("venues", "/halls/main", "/")}),
				service("venues", 5, 120, 800, 400*time.Millisecond,
					[]kind{{"halls", "GET", 1, true}, {"schedules", "GET", 6, true}}, nil),
				service("rig-status", 3, 45, 400, 80*time.Millisecond,
					[]kind{{"board", "GET", 0, true}},
					[]server.DownstreamCall{get("venues", "/halls/main", "/")}),
			},
		},
		Streams: []load.Stream{
			stream("board", "rig-status", http.MethodGet, "/board/now", 0, 150, 3*time.Second),
			stream("orders", "orders", http.MethodPost, "/orders/new", 2, 150, 3*time.Second),
			stream("schedules", "venues", http.MethodGet, "/schedules/day", 6, 150, 2*time.Second),
			stream("lookups", "fixtures", http.MethodGet, "/lookups/spot", 7, 200, 2*time.Second),
		},
	}
}

// kind is one kind of a service's document.
type kind struct {
	name       string
	method     string
	rank       int
	idempotent bool
}

// deadline is the deadline of every kind. The callers' own deadlines are not longer.
const deadline = 3 * time.Second

// queuePerSlot is the queue length of a backend server for each of its slots.
const queuePerSlot = 20

func service(name string, instances, slots, connections int, serviceTime time.Duration, kinds []kind, calls []server.DownstreamCall) fleet.Service {
	return fleet.Service{
		Name:        name,
		Document:    documentOf(name, kinds),
		Instances:   instances,
		Slots:       slots,
		Connections: connections,
		Behaviour:   server.Behaviour{ServiceTime: serviceTime, Spread: 0.3, Queue: queuePerSlot * slots, Calls: calls},
	}
}

func documentOf(name string, kinds []kind) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[service]\nname = %s\nteam = %s-team\n", name, name)
	for _, k := range kinds {
		fmt.Fprintf(&text, "\n[kind %s]\nmethod = %s\npath = /%s/*\nrank = %d\nidempotent = %t\ndeadline = %s\n",
			k.name, k.method, k.name, k.rank, k.idempotent, deadline)
	}
	return text.String()
}

func get(service, path, prefix string) server.DownstreamCall {
	return server.DownstreamCall{Service: service, Method: http.MethodGet, Path: path, Prefix: prefix}
}

func stream(name, service, method, path string, rank int, rate float64, timeout time.Duration) load.Stream {
	return load.Stream{Name: name, Service: service, Method: method, Path: path, Rank: rank, Rate: rate, Timeout: timeout}
}
