// Package server simulates a backend server: slots, service time, calls to other services through the local node,
// faults, health and load endpoints that may report stale or false values, and a ledger that counts the runs of each
// request.
//
// # Usage
//
//	s := server.New(server.Config{Service: "access", Address: "127.0.0.1:9001", NodeBackend: "127.0.0.1:7003", Slots: 35})
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

// Config configures a Server.
type Config struct {
	Service string
	Address string
	// NodeBackend is the address to which the server sends its announcements to the local node.
	NodeBackend string
	// NodeCaller is the address of the local node for calls to other services.
	NodeCaller string
	Slots      int
	// AnnouncedSlots is the number of slots that the server announces if it differs from Slots; 0 for Slots.
	AnnouncedSlots int
	Connections    int
	Behaviour      Behaviour
}

// Behaviour controls how the server handles requests. It can be changed while the server runs.
type Behaviour struct {
	// ServiceTime is the mean time for which a request holds a slot, without its calls to other services.
	ServiceTime time.Duration `json:"service_time"`
	// Spread is the largest relative deviation of a request's service time from ServiceTime, from 0 to 1.
	Spread float64 `json:"spread"`
	// ColdFactor multiplies ServiceTime right after each start and falls to 1 over ColdTime. 0 means no cold start.
	ColdFactor float64       `json:"cold_factor"`
	ColdTime   time.Duration `json:"cold_time"`
	// Queue is the largest number of requests that wait for a slot. Further requests are shed with 503.
	Queue int `json:"queue"`
	// Calls are the calls to other services that each request makes, one after the other.
	Calls []DownstreamCall `json:"calls"`
	// FailFast answers every request with 500 immediately.
	FailFast bool `json:"fail_fast"`
	// FailRate is the fraction of requests, from 0 to 1, that run, make their calls and then fail with 500.
	FailRate float64 `json:"fail_rate"`
	// CrashOn closes the listener and all connections when a request body contains this text; empty for never.
	CrashOn string `json:"crash_on"`
	// RestartAfter is the time between a crash and the next start.
	RestartAfter time.Duration `json:"restart_after"`
	// Echo answers each request with its own body.
	Echo bool `json:"echo"`
	// Hung makes the server accept connections without answering requests or announcing itself.
	Hung bool `json:"hung"`
	// Leaving makes the server announce that it leaves.
	Leaving bool `json:"leaving"`
	// StatesLeaving makes the server say so in its responses.
	StatesLeaving bool `json:"states_leaving"`
	// RateLimit is the rate limit that responses state, in requests per second; 0 for none.
	RateLimit float64 `json:"rate_limit"`
	// EndlessRate is the fraction of requests, from 0 to 1, whose response has a body without end.
	EndlessRate float64 `json:"endless_rate"`
	// Endpoints holds the faults of the health and load endpoints.
	Endpoints EndpointFaults `json:"endpoints"`
}

// DownstreamCall is a call to another service.
type DownstreamCall struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Prefix limits the call to requests whose path begins with it; empty for all requests.
	Prefix string `json:"prefix"`
}

// Server is a simulated backend server.
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

// New returns a server that is not running yet.
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

// Address returns the address at which the server accepts requests.
func (s *Server) Address() string {
	return s.config.Address
}

// Busy returns the number of requests that hold a slot.
func (s *Server) Busy() int {
	return len(s.slots)
}

// Ledger returns the server's ledger.
func (s *Server) Ledger() *Ledger {
	return s.ledger
}

// SetBehaviour replaces the behaviour. It affects requests that arrive later.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Behaviour returns the current behaviour.
func (s *Server) Behaviour() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour
}

// Run serves requests and announces the server until the context ends. It restarts the server after each crash.
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
	// listenTimeout is how long the server retries to listen on its port. After a crash, a process that is being
	// started at that moment may still hold a copy of the old socket.
	listenTimeout = time.Second
	// listenRetryInterval is the time between two attempts to listen.
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

// coldStartFactor returns the factor by which the service time is longer now because of a recent start.
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

// countingListener counts the open connections of a server. A connection counts until the server closes it.
type countingListener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection and counts it.
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

// Close decrements the connection count before the other end can notice that the connection is closed.
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
