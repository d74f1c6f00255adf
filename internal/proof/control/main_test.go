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
	// inForceTimeout is the time in which an accepted document must be in force.
	inForceTimeout = 4 * time.Second
	// routingTimeout is the time in which a drained or dead member must be passed over.
	routingTimeout = 2 * time.Second
	// healTimeout is the time in which a healed fleet must agree.
	healTimeout = 10 * time.Second
	// electionTimeout is the time in which a zone must have another leader.
	electionTimeout = 10 * time.Second
	service         = "access"
)

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m))
}

func client(n *fleet.Node) *operator.Client {
	return operator.NewClient(operator.ClientConfig{Address: n.Operator, Token: fleet.OperatorToken, Timeout: 10 * time.Second})
}

// document returns a valid document that differs by its deadline.
func document(milliseconds int) []byte {
	return fmt.Appendf(nil, "[service]\nname = access\nteam = access-team\n\n[kind all]\npath = /*\nrank = 2\nidempotent = true\ndeadline = %dms\n", milliseconds)
}

// put writes a document over the one that stands, and fails the test where it is refused.
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

// dump returns the state of a node, or an empty one where it does not answer.
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

// allUseEdit reports whether all of the nodes go by the edit.
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

// findLeader returns the node that leads the zone by its own word, or nil where none or more than one does.
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

// awaitLeader waits until one node of the zone leads it, and returns that node.
func awaitLeader(t *testing.T, nodes []*fleet.Node) *fleet.Node {
	t.Helper()
	var found *fleet.Node
	harness.Eventually(t, electionTimeout, func() bool {
		found = findLeader(t, nodes)
		return found != nil
	})
	return found
}

// anyRoutesTo reports whether any of the nodes would send new work to the member.
func anyRoutesTo(t *testing.T, nodes []*fleet.Node, member *fleet.Node) bool {
	return slices.ContainsFunc(nodes, func(n *fleet.Node) bool {
		d, ok := dump(t, n)
		return !ok || d.Board.Members.AcceptsRequests(member.Service, member.Name)
	})
}

// allRouteToAll reports whether each of the nodes would send new work to each of the others.
func allRouteToAll(t *testing.T, nodes []*fleet.Node) bool {
	for _, n := range nodes {
		d, ok := dump(t, n)
		if !ok || d.Board.Members.CountAcceptingRequests() != len(nodes) {
			return false
		}
	}
	return true
}
