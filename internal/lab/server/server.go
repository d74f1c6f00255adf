// Package server is a stand-in for a backend server: slots, service time, calls to other services through the local
// node, faults, health and load endpoints that may lag or lie, and a ledger of which request ran how often.
//
// # Usage
//
//	s := server.New(server.Config{Service: "access", Address: "127.0.0.1:9001", ...})
//	err := s.Run(ctx)
//
// Experiments change its behaviour with PUT /lab/behaviour and read its ledger with GET /lab/ledger.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// Config sets a Server up.
type Config struct {
	Service string
	Address string
	// NodeBackend is the local node's address for announcements.
	NodeBackend string
	// NodeCaller is the local node's address for calls to other services.
	NodeCaller string
	Slots      int
	// AnnouncedSlots is what the server says of its slots, where that isn't the truth; 0 for the truth.
	AnnouncedSlots int
	Connections    int
	Behaviour      Behaviour
}

// Behaviour is how the server works until it is changed.
type Behaviour struct {
	// ServiceTime is the mean time that a request holds a slot.
	ServiceTime time.Duration `json:"service_time"`
	// Spread is the part of ServiceTime by which single requests differ, from 0 to 1.
	Spread float64 `json:"spread"`
	// ColdFactor multiplies ServiceTime right after each start; it falls to 1 over ColdTime. 0 for no cold start.
	ColdFactor float64       `json:"cold_factor"`
	ColdTime   time.Duration `json:"cold_time"`
	// Queue is how many requests may wait for a slot; more are shed with 503.
	Queue int `json:"queue"`
	// Calls are made, one after the other, for each request.
	Calls []DownstreamCall `json:"calls"`
	// FailFast answers every request with 500 at once.
	FailFast bool `json:"fail_fast"`
	// FailRate is the part of the requests, from 0 to 1, that run, make their calls and then end with 500.
	FailRate float64 `json:"fail_rate"`
	// CrashOn closes the listener and all connections when a body holds the text; empty for never.
	CrashOn string `json:"crash_on"`
	// RestartAfter is how long a crash lasts.
	RestartAfter time.Duration `json:"restart_after"`
	// Echo answers with the request's own body.
	Echo bool `json:"echo"`
	// Hung makes the server neither answer nor announce itself, though it accepts connections.
	Hung bool `json:"hung"`
	// Leaving is announced to the node.
	Leaving bool `json:"leaving"`
	// Endpoints is how the health and load endpoints mislead.
	Endpoints EndpointFaults `json:"endpoints"`
}

// DownstreamCall is a call to another service.
type DownstreamCall struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Prefix limits the call to requests whose path begins with it; empty for all.
	Prefix string `json:"prefix"`
}

// Server is one stand-in.
type Server struct {
	config Config
	slots  chan struct{}
	client *http.Client

	mu              sync.Mutex
	behaviour       Behaviour
	started         time.Time
	waiting         int
	shed            int
	crashed         chan struct{}
	crashes         int
	peakConnections int
	openConnections int
	observed        status
	endpointQueries int
	ledger          *Ledger
}

// New returns a server that does not run yet.
func New(config Config) *Server {
	return &Server{
		config:    config,
		slots:     make(chan struct{}, config.Slots),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: config.Connections}},
		behaviour: config.Behaviour,
		crashed:   make(chan struct{}, 1),
		ledger:    NewLedger(),
	}
}

// Address returns where the server takes requests.
func (s *Server) Address() string {
	return s.config.Address
}

// Busy returns how many requests hold a slot.
func (s *Server) Busy() int {
	return len(s.slots)
}

// Ledger returns the server's ledger.
func (s *Server) Ledger() *Ledger {
	return s.ledger
}

// SetBehaviour changes how the server works from now on.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Behaviour returns how the server works.
func (s *Server) Behaviour() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour
}

// Run serves and announces itself until the context ends. After a crash it starts again.
func (s *Server) Run(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { s.observe(ctx) })
	for ctx.Err() == nil {
		if err := s.serve(ctx); err != nil {
			return trace.Wrap(err)
		}
		pause.For(ctx, s.Behaviour().RestartAfter)
	}
	return nil
}

func (s *Server) serve(ctx context.Context) error {
	listener, err := s.listen(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	s.recordStart(time.Now())
	server := &http.Server{Handler: s.router()}
	ctx, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { s.announce(ctx) })
	group.Go(func() {
		select {
		case <-ctx.Done():
		case <-s.crashed:
		}
		_ = server.Close()
	})
	_ = server.Serve(countingListener{Listener: listener, server: s})
	return nil
}

const (
	// listenTimeout is how long the server waits for its port. After a crash, a process that is being started at the same moment may
	// hold the port still.
	listenTimeout = time.Second
	// listenRetryInterval is the time between trials.
	listenRetryInterval = 5 * time.Millisecond
)

func (s *Server) listen(ctx context.Context) (net.Listener, error) {
	start := time.Now()
	for {
		l, err := net.Listen("tcp", s.config.Address)
		if err == nil || time.Since(start) > listenTimeout || !pause.For(ctx, listenRetryInterval) {
			return l, trace.Wrap(err)
		}
	}
}

func (s *Server) recordStart(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = now
}

// coldStartFactor returns the factor by which requests take longer now because of a recent start.
func (s *Server) coldStartFactor(b Behaviour, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := b.ColdTime - now.Sub(s.started)
	if left <= 0 || b.ColdFactor <= 1 {
		return 1
	}
	return 1 + (b.ColdFactor-1)*float64(left)/float64(b.ColdTime)
}

func (s *Server) router() http.Handler {
	router := httprouter.New()
	router.GET("/lab/ledger", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, s.Report())
	})
	router.PUT("/lab/behaviour", s.handleBehaviour)
	router.GET(HealthPath, s.handleHealth)
	router.GET(LoadPath, s.handleLoad)
	router.NotFound = http.HandlerFunc(s.handleRequest)
	router.HandleMethodNotAllowed = false
	return router
}

// countingListener counts the open connections of a server. One counts until the server closes it.
type countingListener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.countConnection(1)
	return &countedConnection{Conn: conn, server: l.server}, nil
}

type countedConnection struct {
	net.Conn
	server *Server
	once   sync.Once
}

// Close takes the connection out of the count before the other end can learn that it is closed.
func (c *countedConnection) Close() error {
	c.once.Do(func() { c.server.countConnection(-1) })
	return c.Conn.Close()
}

func (s *Server) countConnection(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConnections += change
	s.peakConnections = max(s.peakConnections, s.openConnections)
}
