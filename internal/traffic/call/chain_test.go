package call_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

func TestChildTimeCountsCallsThatGoOn(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	chain := &call.Chain{}
	is.Equal(chain.ChildTime(at(0)), time.Duration(0))
	chain.BeginChild(at(10))
	chain.BeginChild(at(20)) // beside the first
	chain.EndChild(at(30))
	chain.EndChild(at(40))
	is.Equal(chain.ChildTime(at(50)), 30*time.Millisecond)
	chain.BeginChild(at(60))
	is.Equal(chain.ChildTime(at(100)), 70*time.Millisecond)
}
