package control_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/process/node"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const (
	// inForceTimeout is how long an accepted document may take to be in force on all nodes.
	inForceTimeout = 4 * time.Second
	// routingTimeout is how long nodes may still route to a drained or crashed member.
	routingTimeout = 2 * time.Second
	// healTimeout is how long the nodes may take to agree after a fault has ended.
	healTimeout = 10 * time.Second
	// electionTimeout is how long an availability zone may take to have a new leader.
	electionTimeout = 10 * time.Second
	service         = "access"
)

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m))
}

func client(n *fleet.Node) *operator.Client {
	return operator.NewClient(operator.ClientConfig{Address: n.Operator, Token: fleet.OperatorToken, Timeout: 10 * time.Second})
}

// document returns a valid document with the given deadline, which distinguishes it from the others.
func document(milliseconds int) []byte {
	return fmt.Appendf(nil, "[service]\nname = access\nteam = access-team\n\n[kind all]\npath = /*\nrank = 2\nidempotent = true\ndeadline = %dms\n", milliseconds)
}

// put replaces the current document and fails the test if the write is refused.
func put(t *testing.T, n *fleet.Node, milliseconds int) zone.StoredDocument {
	t.Helper()
	current, err := client(n).Get(t.Context(), service)
	if err != nil {
		t.Fatalf("get: %v", err)
	}
	stored, err := client(n).Put(t.Context(), service, document(milliseconds), current.Tag(), "")
	if err != nil {
		t.Fatalf("put: %v", err)
	}
	return stored
}

func codeOf(err error) operator.Code {
	var refusal *operator.Error
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

// dump returns the state of a node and reports whether the node returned a complete one.
func dump(t *testing.T, n *fleet.Node) (node.Dump, bool) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	d, err := fleet.FetchDump(ctx, n.Backend)
	return d, err == nil && d.Board != nil
}

func operationInForce(t *testing.T, n *fleet.Node) string {
	d, ok := dump(t, n)
	if !ok {
		return ""
	}
	return d.Board.Documents.ByService[service].Operation
}

// allUseEdit reports whether the document of the edit is in force on all nodes.
func allUseEdit(t *testing.T, nodes []*fleet.Node, edit string) bool {
	return !slices.ContainsFunc(nodes, func(n *fleet.Node) bool { return operationInForce(t, n) != edit })
}

func splitByZone(f *fleet.Fleet, zone string) (inside, outside []*fleet.Node) {
	for _, n := range f.Nodes {
		if n.Zone == zone {
			inside = append(inside, n)
		} else {
			outside = append(outside, n)
		}
	}
	return inside, outside
}

func nodeNames(nodes []*fleet.Node) []string {
	var names []string
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	return names
}

func without(nodes []*fleet.Node, n *fleet.Node) []*fleet.Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(other *fleet.Node) bool { return other == n })
}

// findLeader returns the node that considers itself the leader of the zone, or nil if there is not exactly one.
func findLeader(t *testing.T, nodes []*fleet.Node) *fleet.Node {
	var found []*fleet.Node
	for _, n := range nodes {
		if d, ok := dump(t, n); ok && d.Board.Leader.IsSelf {
			found = append(found, n)
		}
	}
	if len(found) != 1 {
		return nil
	}
	return found[0]
}

// awaitLeader waits until exactly one of the nodes leads the zone, and returns it.
func awaitLeader(t *testing.T, nodes []*fleet.Node) *fleet.Node {
	t.Helper()
	var found *fleet.Node
	harness.Eventually(t, electionTimeout, func() bool {
		found = findLeader(t, nodes)
		return found != nil
	})
	return found
}

// anyRoutesTo reports whether any of the nodes would send new requests to the member. A node without a dump counts as one that does.
func anyRoutesTo(t *testing.T, nodes []*fleet.Node, member *fleet.Node) bool {
	return slices.ContainsFunc(nodes, func(n *fleet.Node) bool {
		d, ok := dump(t, n)
		return !ok || d.Board.Members.AcceptsRequests(member.Service, member.Name)
	})
}

// allRouteToAll reports whether each of the nodes would send new requests to all of them.
func allRouteToAll(t *testing.T, nodes []*fleet.Node) bool {
	for _, n := range nodes {
		d, ok := dump(t, n)
		if !ok || d.Board.Members.CountAcceptingRequests() != len(nodes) {
			return false
		}
	}
	return true
}
