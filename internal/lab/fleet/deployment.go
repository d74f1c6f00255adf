package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/process/node"
)

// Deployment describes services, their instances and their availability zones.
type Deployment struct {
	Zones    []string
	Services []Service
}

// Service is one service of a deployment.
type Service struct {
	Name      string
	Document  string
	Instances int
	// FirstZone is the index in Deployment.Zones of the first instance's availability zone. Further instances use the
	// following availability zones, one after the other, and then the first ones again.
	FirstZone int
	Slots     int
	// AnnouncedSlots is the number of slots that the backend servers announce; 0 for Slots.
	AnnouncedSlots int
	Connections    int
	Behaviour      server.Behaviour
}

// Chain returns a deployment of two services, the first of which calls the second.
func Chain() Deployment {
	return Deployment{
		Zones: []string{"lisbon_1", "lisbon_2", "lisbon_3"},
		Services: []Service{
			{
				Name:        "crew-scheduling",
				Document:    chainDocument("crew-scheduling"),
				Instances:   3,
				Slots:       35,
				Connections: 300,
				Behaviour: server.Behaviour{
					ServiceTime: 10 * time.Millisecond,
					Spread:      0.3,
					Queue:       100,
					Calls:       []server.DownstreamCall{{Service: "access", Method: http.MethodGet, Path: "/urgent/windows"}},
				},
			},
			{
				Name:        "access",
				Document:    chainDocument("access"),
				Instances:   3,
				Slots:       10,
				Connections: 170,
				Behaviour:   server.Behaviour{ServiceTime: 10 * time.Millisecond, Spread: 0.3, Queue: 100},
			},
		},
	}
}

func chainDocument(service string) string {
	return fmt.Sprintf(`[service]
name = %s
team = %s-team

[kind urgent]
path = /urgent/*
rank = 0
idempotent = true
deadline = 500ms

[kind booking]
method = POST
path = /bookings
rank = 2
idempotent = false
deadline = 2s

[kind archive]
path = /archive/*
rank = 7
idempotent = true
deadline = 1s
`, service, service)
}

func putDocument(ctx context.Context, client *platform.Client, s Service) error {
	value, err := json.Marshal(zone.StoredDocument{Revision: 1, Source: s.Document, Operation: "lab", Editor: "lab", Time: time.Now()})
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = client.CompareAndSwap(ctx, platform.Swap{Key: zone.DocumentPrefix + s.Name, Value: value})
	return trace.Wrap(err)
}

// FetchDump reads the state dump of the node whose backend listener has the address.
func FetchDump(ctx context.Context, address string) (node.Dump, error) {
	var dump node.Dump
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", http.NoBody)
	if err != nil {
		return dump, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return dump, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return dump, trace.Wrap(json.NewDecoder(response.Body).Decode(&dump))
}
