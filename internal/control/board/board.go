// Package board is the blackboard of a node: plain sections that controllers read and write, one writer for each
// section, and the one goroutine that owns them.
//
// # Usage
//
//	loop := board.NewLoop(initial)
//	loop.Post(func(b *board.Board) { b.Backend.Service = "access" })
//	now := loop.Snapshot()
//
// Traffic goroutines read snapshots. A snapshot never changes: whoever writes a section replaces its maps and slices.
package board

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/liveness"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
)

// Board is the whole blackboard.
type Board struct {
	Self             Self             `json:"self"`
	Backend          Backend          `json:"backend"`
	Members          Members          `json:"members"`
	Documents        Documents        `json:"documents"`
	Leader           Leader           `json:"leader"`
	Platform         Platform         `json:"platform"`
	KeyOwners        KeyOwners        `json:"homes"`
	ZoneReachability ZoneReachability `json:"reach"`
	// Routes are those in force, where the node goes by routes; nil while none are known.
	Routes *routes.Table `json:"routes,omitempty"`
}

// Self says who the node is and whether it leaves. Written by the node.
type Self struct {
	Node          string `json:"node"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	// Incarnation is the start of the node's process.
	Incarnation uint64 `json:"incarnation"`
	// Draining says that callers are to go elsewhere.
	Draining bool `json:"draining"`
	// Leaving says that other nodes are to go elsewhere too: the backend server gets no more work from here.
	Leaving bool `json:"leaving"`
	// Successor is the node that gets the remembered keys of this one when it leaves.
	Successor string `json:"successor"`
	// AnswersFor lists the earlier nodes, with their incarnations, whose keys were handed over to this one.
	AnswersFor string `json:"answers_for"`
}

// Backend is the local backend server, as it announced itself. Written by the backend listener.
type Backend struct {
	Service        string `json:"service"`
	Address        string `json:"address"`
	Slots          int    `json:"slots"`
	MaxConnections int    `json:"connections"`
	// Instance names the start of the backend server that announced itself; empty where it gave no name.
	Instance    string    `json:"instance,omitempty"`
	Leaving     bool      `json:"leaving"`
	AnnouncedAt time.Time `json:"announced_at"`
	// State is whether the backend server is there.
	State liveness.State `json:"state"`
}

// IsLost reports whether the backend server announced itself and is not there now.
func (b Backend) IsLost() bool {
	return b.State == liveness.Refusing || b.State == liveness.Silent
}

// Members are the nodes known here. Written by the zone controller.
type Members struct {
	// ByNode holds every member that is not down.
	ByNode map[string]membership.Member `json:"by_node"`
	// ByService lists the members with a backend server that takes work.
	ByService map[string][]membership.Member `json:"by_service"`
}

// CountAcceptingRequests counts the members with a backend server that takes work.
func (m Members) CountAcceptingRequests() int {
	count := 0
	for _, members := range m.ByService {
		count += len(members)
	}
	return count
}

// AcceptsRequests reports whether requests for the service may be sent to the node.
func (m Members) AcceptsRequests(service, node string) bool {
	return slices.ContainsFunc(m.ByService[service], func(member membership.Member) bool { return member.Node == node })
}

// CountInZone counts the members of the zone.
func (m Members) CountInZone(zone string) int {
	count := 0
	for _, member := range m.ByNode {
		if member.Zone == zone {
			count++
		}
	}
	return count
}

// SortedInZone returns the members of the zone by name.
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

// LastAccepted returns the service whose document was accepted last, or false where there is no document.
func (d Documents) LastAccepted() (string, bool) {
	newest, found := "", false
	for service, inForce := range d.ByService {
		if !found || inForce.AcceptedAt.After(d.ByService[newest].AcceptedAt) {
			newest, found = service, true
		}
	}
	return newest, found
}

// DocumentInForce is one document and its revision.
type DocumentInForce struct {
	Revision uint64 `json:"revision"`
	// Operation and Editor name the edit and who made it; Accepted is when it was written to the platform.
	Operation  string             `json:"operation"`
	Editor     string             `json:"editor"`
	AcceptedAt time.Time          `json:"accepted"`
	Document   *document.Document `json:"document"`
	// InForceSince is since when this node goes by the revision.
	InForceSince time.Time `json:"in_force"`
}

// Leader is the leader of the node's availability zone. Written by the zone controller.
type Leader struct {
	// Node is empty while nobody is known to lead.
	Node        string `json:"node"`
	PeerAddress string `json:"peer_address"`
	// IsSelf says that this node leads under a lease, and so may write to the platform for its zone.
	IsSelf bool `json:"is_self"`
	// Leased says that the leader holds a lease; without one it only spreads what the zone holds.
	Leased bool `json:"leased"`
	// Role is this node's own part.
	Role membership.Role `json:"role"`
	// Term is that of this node's own lease.
	Term uint64 `json:"term"`
}

// Platform tells how the platform answers. Written by the zone controller.
type Platform struct {
	Reachable bool      `json:"reachable"`
	Since     time.Time `json:"since"`
}

// ZoneReachability tells which availability zones the leader of the node's own can't reach. Written by the zone controller.
type ZoneReachability struct {
	// UnreachableSince holds since when each of these zones gave no answer.
	UnreachableSince map[string]time.Time `json:"unreached"`
}

// KeyOwners say which nodes remember keys. Written by the homes controller.
type KeyOwners struct {
	// Shards are the agreed epochs of each availability zone's shard.
	Shards map[string]outcome.Shard `json:"shards"`
}

// Loop owns a Board.
type Loop struct {
	board    Board
	inbox    chan func(*Board)
	snapshot atomic.Pointer[Board]
	// changed is closed, and replaced, when the board changes.
	changed atomic.Pointer[chan struct{}]
}

// inboxLength is how many updates may wait.
const inboxLength = 1024

// NewLoop returns a loop around the initial board. Run must be started for posts to be carried out.
func NewLoop(initial Board) *Loop {
	l := &Loop{board: initial, inbox: make(chan func(*Board), inboxLength)}
	l.publish()
	return l
}

// Run carries out updates, one after the other, until the context ends.
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

// Post hands an update to the loop. It waits while the inbox is full.
func (l *Loop) Post(ctx context.Context, update func(*Board)) {
	select {
	case l.inbox <- update:
	case <-ctx.Done():
	}
}

// Do hands an update to the loop and waits until the snapshot shows it.
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

// Snapshot returns the board as it last was.
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

// Changed returns a channel that is closed at the next change. Whoever waits for a change takes the channel first and
// reads the snapshot then.
func (l *Loop) Changed() <-chan struct{} {
	return *l.changed.Load()
}
