package shell_test

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m))
}

const bookingsDocument = `[service]
name = bookings
team = bookings-team

[kind booking]
method = POST
path = /bookings
rank = 2
idempotent = false
deadline = 5s

[kind status]
path = /bookings/*
rank = 3
idempotent = true
deadline = 5s
`

const accessDocument = `[service]
name = access
team = access-team

[kind windows]
path = /windows/*
rank = 1
idempotent = true
`

// deployment returns one node of access, the entry node, and instances of bookings that echo the body. Each instance is in a
// different availability zone, the first in that of the entry node.
func deployment(instances int) fleet.Deployment {
	behaviour := server.Behaviour{ServiceTime: time.Millisecond, Queue: 100, Echo: true}
	service := fleet.Service{Slots: 35, Connections: 300, Behaviour: behaviour}
	access, bookings := service, service
	access.Name, access.Document, access.Instances = "access", accessDocument, 1
	bookings.Name, bookings.Document, bookings.Instances = "bookings", bookingsDocument, instances
	return fleet.Deployment{
		Zones:    []string{"lisbon_1", "lisbon_2", "lisbon_3"},
		Services: []fleet.Service{access, bookings},
	}
}

// logs collects the log output of the nodes.
type logs struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logs) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(text)
}

// waitFor waits for a log line that contains all of the parts.
func (l *logs) waitFor(t *testing.T, parts ...string) {
	t.Helper()
	harness.Eventually(t, 20*time.Second, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for line := range strings.Lines(l.text.String()) {
			if containsAll(line, parts) {
				return true
			}
		}
		return false
	})
}

func containsAll(line string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(line, part) {
			return false
		}
	}
	return true
}
