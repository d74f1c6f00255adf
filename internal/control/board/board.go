// Package board holds the shared control state of a node. The state is divided into sections. Each section has one
// controller that writes it, and a single goroutine, that of Loop.Run, applies all updates.
//
// # Usage
//
//	loop := board.NewLoop(initial)
//	go loop.Run(ctx)
//	loop.Post(ctx, func(b *board.Board) { b.Backend.Service = "access" })
//	snapshot := loop.Snapshot()
//
// All other goroutines read snapshots. A snapshot never changes: an update replaces the maps and slices of a section
// instead of modifying them.
package board

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/liveness"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
)

// Board is the control state of a node.
type Board struct {
	Self             Self             `json:"self"`
	Backend          Backend          `json:"backend"`
	Entry            Entry            `json:"entry"`
	Members          Members          `json:"members"`
	Documents        Documents        `json:"documents"`
	Leader           Leader           `json:"leader"`
	Platform         Platform         `json:"platform"`
	KeyOwners        KeyOwners        `json:"homes"`
	ZoneReachability ZoneReachability `json:"reach"`
	// Routes are the routes in force. Nil while none are known, and on a node configured by documents.
	Routes *routes.Table `json:"routes,omitempty"`
}

// Self identifies the node and holds the state of its planned stop. Written by the node.
type Self struct {
	Node          string `json:"node"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	// Incarnation identifies this start of the node's process.
	Incarnation uint64 `json:"incarnation"`
	// Draining reports whether callers must use other nodes.
	Draining bool `json:"draining"`
	// Leaving reports whether other nodes must not send requests to this node either, because it accepts no more
	// requests for its backend server.
	Leaving bool `json:"leaving"`
	// Successor is the node that takes over the keys remembered here when this node leaves.
	Successor string `json:"successor"`
	// AnswersFor lists the former key owners, with their incarnations, that handed their keys over to this node.
	AnswersFor string `json:"answers_for"`
}

// Backend is the state of the local backend server, from its announcements. Written by the backend listener.
type Backend struct {
	Service        string `json:"service"`
	Address        string `json:"address"`
	Slots          int    `json:"slots"`
	MaxConnections int    `json:"connections"`
	// Instance names the start of the backend server's process; empty if the announcement did not name it.
	Instance string `json:"instance,omitempty"`
	// Started is the time of that start, in Unix milliseconds; 0 if the announcement did not say.
	Started     int64     `json:"started,omitempty"`
	Leaving     bool      `json:"leaving"`
	AnnouncedAt time.Time `json:"announced_at"`
	// State is whether the backend server is reachable.
	State liveness.State `json:"state"`
}

// StartID identifies the start of the backend server's process in the whole fleet; empty if the announcement did not name
// it.
func (b Backend) StartID() string {
	if b.Instance == "" {
		return ""
	}
	return b.Instance + "@" + strconv.FormatInt(b.Started, 10)
}

// IsLost reports whether the backend server announced itself and is now unreachable.
func (b Backend) IsLost() bool {
	return b.State == liveness.Refusing || b.State == liveness.Silent
}

// Entry is what the platform's store holds about this node. Written by the members controller.
type Entry struct {
	// LeavingStart is the start of the backend server that the store was last known to hold as leaving; empty if none was.
	LeavingStart string `json:"leaving_start,omitempty"`
}

// Members are the nodes known to this node. Written by the zone controller or the members controller.
type Members struct {
	// ByNode holds every member that is not down.
	ByNode map[string]membership.Member `json:"by_node"`
	// ByService lists, for each service, the members that accept requests.
	ByService map[string][]membership.Member `json:"by_service"`
}

// CountAcceptingRequests returns the number of members that accept requests.
func (m Members) CountAcceptingRequests() int {
	count := 0
	for _, members := range m.ByService {
		count += len(members)
	}
	return count
}

// AcceptsRequests reports whether the node accepts requests for the service.
func (m Members) AcceptsRequests(service, node string) bool {
	return slices.ContainsFunc(m.ByService[service], func(member membership.Member) bool { return member.Node == node })
}

// CountInZone returns the number of members in the availability zone.
func (m Members) CountInZone(zone string) int {
	count := 0
	for _, member := range m.ByNode {
		if member.Zone == zone {
			count++
		}
	}
	return count
}

// SortedInZone returns the members in the availability zone, sorted by name.
func (m Members) SortedInZone(zone string) []membership.Member {
	var members []membership.Member
	for _, member := range m.ByNode {
		if member.Zone == zone {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b membership.Member) int { return strings.Compare(a.Node, b.Node) })
	return members
}

// Documents are the documents in force. Written by the zone controller.
type Documents struct {
	ByService map[string]DocumentInForce `json:"by_service"`
}

// LastAccepted returns the service whose document was accepted last. It reports false if there are no documents.
func (d Documents) LastAccepted() (string, bool) {
	newest, found := "", false
	for service, inForce := range d.ByService {
		if !found || inForce.AcceptedAt.After(d.ByService[newest].AcceptedAt) {
			newest, found = service, true
		}
	}
	return newest, found
}

// DocumentInForce is a document that the node applies, and its revision.
type DocumentInForce struct {
	Revision uint64 `json:"revision"`
	// Operation is the ID of the edit, Editor is its author, and AcceptedAt is when it was written to the platform.
	Operation  string             `json:"operation"`
	Editor     string             `json:"editor"`
	AcceptedAt time.Time          `json:"accepted"`
	Document   *document.Document `json:"document"`
	// InForceSince is the time at which this node began to apply the revision.
	InForceSince time.Time `json:"in_force"`
}

// Leader is the leader of the node's availability zone. Written by the zone controller.
type Leader struct {
	// Node is the leader's name; empty while no leader is known.
	Node        string `json:"node"`
	PeerAddress string `json:"peer_address"`
	// IsSelf reports whether this node leads under a lease. Only then may it write to the platform for its zone.
	IsSelf bool `json:"is_self"`
	// Leased reports whether the leader holds a lease. Without a lease it only distributes the records that the nodes of
	// the zone hold already.
	Leased bool `json:"leased"`
	// Role is the role of this node in the zone.
	Role membership.Role `json:"role"`
	// Term is the term of this node's own lease.
	Term uint64 `json:"term"`
}

// Platform holds whether the platform responds, and since when. Written by the zone controller or the members
// controller.
type Platform struct {
	Reachable bool      `json:"reachable"`
	Since     time.Time `json:"since"`
}

// ZoneReachability holds the availability zones that the leader of this node's zone can't reach. Written by the zone
// controller.
type ZoneReachability struct {
	// UnreachableSince maps each unreachable zone to the time since which it has not replied.
	UnreachableSince map[string]time.Time `json:"unreached"`
}

// KeyOwners are the nodes that remember idempotency keys. Written by the keyowners controller.
type KeyOwners struct {
	// Shards holds the agreed epochs of each shard, by availability zone.
	Shards map[string]outcome.Shard `json:"shards"`
}

// Loop owns a Board, applies updates to it and publishes snapshots.
type Loop struct {
	board    Board
	inbox    chan func(*Board)
	snapshot atomic.Pointer[Board]
	// changed holds a channel that is closed and replaced at each change of the board.
	changed atomic.Pointer[chan struct{}]
}

// inboxLength is the number of updates that may be pending before Post blocks.
const inboxLength = 1024

// NewLoop returns a loop that owns the initial board. Updates are applied only while Run is running.
func NewLoop(initial Board) *Loop {
	l := &Loop{board: initial, inbox: make(chan func(*Board), inboxLength)}
	l.publish()
	return l
}

// Run applies updates one at a time until the context ends.
func (l *Loop) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-l.inbox:
			update(&l.board)
			l.publish()
		}
	}
}

// Post queues an update. It blocks while the queue is full, until the context ends.
func (l *Loop) Post(ctx context.Context, update func(*Board)) {
	select {
	case l.inbox <- update:
	case <-ctx.Done():
	}
}

// Do queues an update and waits until the snapshot includes it, or until the context ends.
func (l *Loop) Do(ctx context.Context, update func(*Board)) {
	done := make(chan struct{})
	l.Post(ctx, func(b *Board) {
		update(b)
		l.publish()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Snapshot returns the current state, which must not be modified.
func (l *Loop) Snapshot() *Board {
	return l.snapshot.Load()
}

func (l *Loop) publish() {
	snapshot := l.board
	l.snapshot.Store(&snapshot)
	next := make(chan struct{})
	if previous := l.changed.Swap(&next); previous != nil {
		close(*previous)
	}
}

// Changed returns a channel that is closed at the next change. To miss no change, call Changed before reading the
// snapshot.
func (l *Loop) Changed() <-chan struct{} {
	return *l.changed.Load()
}
