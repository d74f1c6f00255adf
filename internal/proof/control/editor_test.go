package control_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

// TestEditorIsNamedAndTokensAreNot writes a document as a named editor. The editor must appear in the history, dump and log of
// the node; no token may appear in the dump or the log.
func TestEditorIsNamedAndTokensAreNot(t *testing.T) {
	is := is.New(t)
	const anaToken = "token-of-ana-of-the-access-team"
	const editor = "access-team/ana"
	deployment := fleet.Chain()
	deployment.Services = deployment.Services[1:]
	deployment.Services[0].Instances = 1
	var log strings.Builder
	tokens := "*:" + fleet.OperatorToken + ",access-team:" + teamToken + "," + editor + ":" + anaToken
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: deployment, Output: &log, ExtraFlags: []string{"-operator.tokens", tokens, "-log.level", "debug"}})
	n := f.Nodes[0]

	ana := operator.NewClient(operator.ClientConfig{Address: n.Operator, Token: anaToken, Timeout: 10 * time.Second})
	current, err := ana.Get(t.Context(), service)
	is.NoErr(err)
	_, err = ana.Put(t.Context(), service, document(950), current.Tag(), "edit-of-ana")
	is.NoErr(err)
	edits, err := ana.History(t.Context(), service)
	is.NoErr(err)
	is.Equal(edits[0].Editor, editor)
	is.Equal(edits[0].Operation, "edit-of-ana")
	encoded, err := client(n).Dump(t.Context())
	is.NoErr(err)
	is.True(strings.Contains(string(encoded), editor))

	n.Kill() // the log is complete
	is.True(strings.Contains(log.String(), `"editor":"`+editor+`"`))
	for _, token := range []string{fleet.OperatorToken, teamToken, anaToken} {
		is.True(!strings.Contains(log.String(), token))
		is.True(!strings.Contains(string(encoded), token))
	}
}
