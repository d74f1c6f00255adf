package once_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/once"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

// hasEnded reports whether the node no longer responds.
func hasEnded(t *testing.T, n *fleet.Node) bool {
	_, err := fleet.FetchDump(t.Context(), n.Backend)
	return err != nil
}

// testPlannedLeave guards against keys that are lost when their owners stop. One backend server announces that it leaves, and an
// operator drains another node. Both node processes must exit, and the remaining node must know the outcomes that they recorded.
func testPlannedLeave(t *testing.T, f *fleet.Fleet) {
	is := is.New(t)
	var sends []once.Send
	for i := range 6 {
		key := ""
		switch i % 3 {
		case 0:
			key = uuid.Must(uuid.NewV7()).String()
		case 1:
			key = fmt.Sprintf("leave-%d", i)
		}
		s := book(f.Nodes[i%3], key, "a wash")
		is.Equal(s.Outcome, "ran")
		sends = append(sends, s)
	}

	leaving := f.Nodes[0].Server.Behaviour()
	leaving.Leaving = true
	f.Nodes[0].Server.SetBehaviour(leaving)
	harness.Eventually(t, 20*time.Second, func() bool { return hasEnded(t, f.Nodes[0]) })
	client := operator.NewClient(operator.ClientConfig{Address: f.Nodes[1].Operator, Token: fleet.OperatorToken, Timeout: 5 * time.Second})
	is.NoErr(client.Drain(t.Context()))
	harness.Eventually(t, 20*time.Second, func() bool { return hasEnded(t, f.Nodes[1]) })

	for _, s := range sends {
		again := book(f.Nodes[2], s.Key, "a wash")
		is.Equal(again.Outcome, "ran")
		is.Equal(again.Body, s.Body)
		is.Equal(startCount(f, s.Key), 1)
		other := book(f.Nodes[2], s.Key, "another wash")
		is.Equal(other.Status, http.StatusUnprocessableEntity)
		is.Equal(other.Reason, "key_reused")
	}
}
