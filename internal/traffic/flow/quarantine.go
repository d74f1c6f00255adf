package flow

import (
	"context"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// QuarantineConfig configures a Quarantine.
type QuarantineConfig struct {
	Table quarantine.Config
	Board *board.Loop
	Peers *peer.Client
	Log   *events.Log
	// AcrossServices is whether requests go by routes, to several services at the same time or one after the other. What one
	// of them has learned then counts for all.
	AcrossServices bool
	// Crashed is called with each request that a crash is attributed to here. With nil, nothing is called.
	Crashed func(f quarantine.Fingerprint)
}

const (
	// newsQueueLength is how many blames may wait to be sent to other nodes. Further ones are dropped. A blame is
	// evidence that a request crashes backend servers.
	newsQueueLength = 256
	// blameTimeout is the timeout for sending the waiting blames to one node.
	blameTimeout = time.Second
	// maxInforming is the number of nodes that are told at the same time.
	maxInforming = 128
)

// Quarantine keeps requests that crash backend servers away from the local one, and informs the other nodes of the
// service immediately, also those whose own backend servers are down. It sends to them directly instead of using the records
// of the availability zone, which take several heartbeats to spread: a caller may send its request again within milliseconds.
type Quarantine struct {
	config QuarantineConfig
	news   chan news

	mu    sync.Mutex
	table *quarantine.Table
}

// news is a blame and the nodes that are told of it: those of the services, or all.
type news struct {
	blame    quarantine.Blame
	services []string
	toAll    bool
}

// NewQuarantine returns an empty Quarantine. Other nodes are informed only while Run runs.
func NewQuarantine(config QuarantineConfig) *Quarantine {
	return &Quarantine{
		config: config,
		news:   make(chan news, newsQueueLength),
		table:  quarantine.NewTable(config.Table),
	}
}

// Run sends the blames to the other nodes of the service until the context ends.
func (q *Quarantine) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-q.news:
			q.broadcast(ctx, append([]news{n}, q.waitingNews()...))
		}
	}
}

// waitingNews returns the news that wait to be sent.
func (q *Quarantine) waitingNews() []news {
	var waiting []news
	for {
		select {
		case n := <-q.news:
			waiting = append(waiting, n)
		default:
			return waiting
		}
	}
}

// Learn records a blame that another node sent.
func (q *Quarantine) Learn(b quarantine.Blame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Learn(time.Now(), b)
}

// Entries returns the suspected and quarantined requests.
func (q *Quarantine) Entries() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Entries()
}

// guard runs the request unless it is quarantined, and records how the run ended.
func (q *Quarantine) guard(r *call.Request, run func() call.Reply) call.Reply {
	f := q.fingerprint(r)
	start := time.Now()
	verdict := q.begin(start, f, r.Crashes)
	switch verdict.Action {
	case quarantine.Refuse:
		return call.Refused(call.NotRun, call.ReasonQuarantined, verdict.RetryAfter)
	case quarantine.RetryLater:
		return call.Refused(call.NotRun, call.ReasonSuspected, verdict.RetryAfter)
	}
	ending := quarantine.Inconclusive
	defer func() { q.end(r, f, start, ending) }()
	reply := run()
	ending = endingOf(&reply)
	return reply
}

func (q *Quarantine) fingerprint(r *call.Request) quarantine.Fingerprint {
	identity := quarantine.Request{Method: r.Method, Path: r.Path, Body: r.Body}
	if q.config.AcrossServices {
		identity.Host = routes.CanonicalHost(r.Host())
	} else {
		identity.Service = r.Service
	}
	return quarantine.NewFingerprint(identity)
}

func endingOf(reply *call.Reply) quarantine.Ending {
	switch {
	case reply.Outcome == call.Ran:
		return quarantine.Answered
	case isCrash(reply):
		return quarantine.Broken
	}
	return quarantine.Inconclusive
}

// isCrash reports whether the backend server closed the connection while it ran the request.
func isCrash(reply *call.Reply) bool {
	return reply.Outcome == call.Unknown && reply.Reason == call.ReasonBackendFailed
}

func (q *Quarantine) begin(now time.Time, f quarantine.Fingerprint, crashes int) quarantine.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Begin(now, f, crashes)
}

func (q *Quarantine) end(r *call.Request, f quarantine.Fingerprint, start time.Time, ending quarantine.Ending) {
	q.mu.Lock()
	blame, blamed := q.table.End(time.Now(), f, start, ending)
	q.mu.Unlock()
	if !blamed {
		return
	}
	if blame.Term > 0 {
		q.config.Log.Emit(events.RequestQuarantined, events.Fields{
			"service": q.config.Board.Snapshot().Backend.Service,
			"kind":    r.Kind,
			"hash":    f.Hash,
			"crashes": blame.Crashes,
			"term":    blame.Term.String(),
		})
	}
	q.spread(news{
		blame:    blame,
		services: servicesOf(q.config.Board.Snapshot(), r),
		toAll:    q.config.AcrossServices && blame.Term > 0, // the routes may lead it anywhere before the term ends
	})
	if q.config.Crashed != nil && blame.Crash != 0 {
		q.config.Crashed(f)
	}
}

// spread tells the other nodes.
func (q *Quarantine) spread(n news) {
	select {
	case q.news <- n:
	default:
	}
}

// servicesOf returns the services that the request may go to: its own, that of the local backend server, and those of the route that it
// has now, whatever its route was when it was sent.
func servicesOf(b *board.Board, r *call.Request) []string {
	services := []string{r.Service, b.Backend.Service}
	if target, err := url.ParseRequestURI(r.Path); err == nil {
		services = append(services, b.Routes.Services(r.Host(), target.Path)...)
	}
	return services
}

// Record returns the evidence against the request. It reports false if the request was not quarantined.
func (q *Quarantine) Record(f quarantine.Fingerprint) (quarantine.Record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Record(time.Now(), f)
}

// Restore adds the evidence of a record.
func (q *Quarantine) Restore(r quarantine.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Restore(time.Now(), r)
}

// Complete adds the evidence of a record to that of a crash of the local backend server, and tells the other nodes of both: some
// of them may know of this crash only.
func (q *Quarantine) Complete(r quarantine.Record) {
	q.Restore(r)
	if known, ok := q.Record(r.Fingerprint); ok {
		q.spread(news{blame: quarantine.Blame{Fingerprint: r.Fingerprint, Crashes: known.Crashes, Term: known.Left}, toAll: true})
	}
}

// broadcast sends the blames to the other nodes concurrently, so that one that doesn't answer delays them for the others by one
// timeout at most.
func (q *Quarantine) broadcast(ctx context.Context, waiting []news) {
	byAddress := map[string][]quarantine.Blame{}
	b := q.config.Board.Snapshot()
	for _, n := range waiting {
		for _, m := range informedNodes(b, n) {
			byAddress[m.PeerAddress] = append(byAddress[m.PeerAddress], n.blame)
		}
	}
	informing := pool.New().WithMaxGoroutines(maxInforming)
	defer informing.Wait()
	for address, blames := range byAddress {
		informing.Go(func() { q.inform(ctx, address, blames) })
	}
}

// inform sends the blames to the node at the address.
func (q *Quarantine) inform(ctx context.Context, address string, blames []quarantine.Blame) {
	ctx, cancel := context.WithTimeout(ctx, blameTimeout)
	defer cancel()
	for _, blame := range blames {
		_ = q.config.Peers.Blame(ctx, address, blame)
	}
}

// informedNodes returns the other nodes that are told the news. Those whose backend servers are down count: they are back before the
// evidence is forgotten.
func informedNodes(b *board.Board, n news) []membership.Member {
	var informed []membership.Member
	for _, m := range b.Members.ByNode {
		if m.Node != b.Self.Node && m.State == membership.Up && (n.toAll || slices.Contains(n.services, m.Service)) {
			informed = append(informed, m)
		}
	}
	return informed
}
