package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
)

// Pattern: the deepest service is overloaded, and instances bound the requests that call it. A place there is free as soon as a
// request has ended, so the instances of the own zone are asked before others, and none of another zone twice in a short time.
func TestBoundedInstances(t *testing.T) {
	sheet := routing.Request{Kind: "sheet"}
	for name, test := range map[string]struct {
		bounded []string
		tried   []string
		request routing.Request
		after   time.Duration
		lost    string
		// want is empty where nobody is to be asked.
		want string
	}{
		"own one is asked again":             {bounded: []string{"node_0"}, request: sheet, want: "node_0"},
		"then another zone":                  {bounded: []string{"node_0"}, tried: []string{"node_0"}, request: sheet, want: "node_1"},
		"not one that was bounded":           {bounded: []string{"node_0", "node_1"}, tried: []string{"node_0"}, request: sheet},
		"but a while later":                  {bounded: []string{"node_0", "node_1"}, tried: []string{"node_0"}, request: sheet, after: time.Second, want: "node_1"},
		"another kind":                       {bounded: []string{"node_1"}, tried: []string{"node_0"}, request: routing.Request{Kind: "browse"}, want: "node_1"},
		"calls of what was admitted":         {bounded: []string{"node_1"}, tried: []string{"node_0"}, request: routing.Request{Kind: "sheet", IsCall: true}, want: "node_1"},
		"a zone whose own instance was lost": {bounded: []string{"node_1"}, lost: "node_0", request: sheet, want: "node_1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			s := newSet(2)
			if test.lost != "" {
				s.Find(test.lost).Unreachable = true
			}
			for _, node := range test.bounded {
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
