package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
)

// TestKindLimitedInstances guards against requests that are refused by one instance after another while the deepest
// service of a chain is overloaded and instances limit how many requests that call it are in flight. An instance in the
// sender's zone can accept a request again as soon as another one ends, so it is asked before other zones; a limited
// instance of another zone is not asked again for a while.
func TestKindLimitedInstances(t *testing.T) {
	sheet := routing.Request{Kind: "sheet"}
	for name, test := range map[string]struct {
		limited     []string
		tried       []string
		request     routing.Request
		after       time.Duration
		unreachable string
		// want is empty if no instance may be asked.
		want string
	}{
		"instance of the sender's zone again": {limited: []string{"node_0"}, request: sheet, want: "node_0"},
		"other zone after the sender's zone":  {limited: []string{"node_0"}, tried: []string{"node_0"}, request: sheet, want: "node_1"},
		"not a limited one of another zone":   {limited: []string{"node_0", "node_1"}, tried: []string{"node_0"}, request: sheet},
		"limited one of another zone later":   {limited: []string{"node_0", "node_1"}, tried: []string{"node_0"}, request: sheet, after: time.Second, want: "node_1"},
		"another kind":                        {limited: []string{"node_1"}, tried: []string{"node_0"}, request: routing.Request{Kind: "browse"}, want: "node_1"},
		"calls of admitted requests":          {limited: []string{"node_1"}, tried: []string{"node_0"}, request: routing.Request{Kind: "sheet", IsCall: true}, want: "node_1"},
		"sender's zone unreachable":           {limited: []string{"node_1"}, unreachable: "node_0", request: sheet, want: "node_1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			s := newSet(2)
			if test.unreachable != "" {
				s.Find(test.unreachable).Unreachable = true
			}
			for _, node := range test.limited {
				s.Find(node).End(start, routing.Sample{Result: routing.KindLimited, Kind: "sheet"})
			}
			test.request.Tried = test.tried
			i, ok := s.Choose(start.Add(test.after), random, test.request)
			is.Equal(ok, test.want != "")
			if ok {
				is.Equal(i.Member.Node, test.want)
			}
		})
	}
}
