package outcome

import (
	"testing"

	"github.com/matryer/is"
)

func TestPresumedOwner(t *testing.T) {
	first, last := Node{Name: "a", Incarnation: 1}, Node{Name: "b", Incarnation: 1}
	shard := Shard{Epochs: []Epoch{
		{Start: 10, Until: 20, Members: []Member{{Node: first}}},
		{Start: 20, Until: 30, Members: []Member{{Node: last}}},
	}}
	for name, tc := range map[string]struct {
		shard  Shard
		millis int64
		owner  Node
		found  bool
	}{
		"nothing agreed":     {millis: 30},
		"before all epochs":  {shard: shard, millis: 9},
		"in the last epoch":  {shard: shard, millis: 29},
		"after the last end": {shard: shard, millis: 30, owner: last, found: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			owner, found := tc.shard.PresumedOwner("", "key", tc.millis)
			is.Equal(owner, tc.owner)
			is.Equal(found, tc.found)
			if found {
				_, agreed := tc.shard.Owner("", "key", tc.millis)
				is.True(!agreed) // a presumed owner may not run the key
			}
		})
	}
}
