package capacity

import (
	"bytes"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/proxy"
)

func TestFit(t *testing.T) {
	for name, c := range map[string]struct {
		nodes  []int
		values map[int]float64
		want   Slope
	}{
		"line":     {[]int{6, 12, 24}, map[int]float64{6: 16, 12: 22, 24: 34}, Slope{Base: 10, PerNode: 1}},
		"level":    {[]int{6, 12}, map[int]float64{6: 5, 12: 5}, Slope{Base: 5}},
		"one size": {[]int{6}, map[int]float64{6: 7}, Slope{Base: 7}},
		"no runs":  {nil, nil, Slope{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs []Run
			for _, n := range c.nodes {
				runs = append(runs, Run{Nodes: n})
			}
			got := Fit(runs, func(r Run) float64 { return c.values[r.Nodes] })
			is.True(math.Abs(got.Base-c.want.Base) < 1e-9)
			is.True(math.Abs(got.At(2100)-c.want.At(2100)) < 1e-6)
		})
	}
}

func TestBytesBetween(t *testing.T) {
	is := is.New(t)
	after := snapshot{traffic: map[string]map[string]proxy.Traffic{
		"a":        {"b": {Bytes: 10}, "platform": {Bytes: 100}},
		"b":        {"a": {Bytes: 5}},
		"platform": {"a": {Bytes: 50}},
	}}
	before := snapshot{traffic: map[string]map[string]proxy.Traffic{"a": {"b": {Bytes: 4}}}}
	is.Equal(bytesBetween(before, after, "a", ""), 6.0)           // sent to nodes since the earlier snapshot
	is.Equal(bytesBetween(before, after, "", "a"), 5.0)           // received from nodes
	is.Equal(bytesBetween(before, after, "a", "platform"), 100.0) // sent to the platform
	is.Equal(bytesBetween(before, after, "platform", "a"), 50.0)
}

func TestReadOwnProcess(t *testing.T) {
	is := is.New(t)
	memory, err := residentMemory(os.Getpid())
	is.NoErr(err)
	is.True(memory > megabyte)
	used, err := processorTime(os.Getpid())
	is.NoErr(err)
	is.True(used >= 0 && used < time.Hour)
	machine, err := readMachine()
	is.NoErr(err)
	is.True(machine.busy > 0 && machine.busy <= machine.total)
}

func TestIdleDeploymentHasItsSizeAndValidDocuments(t *testing.T) {
	is := is.New(t)
	instances := 0
	for _, s := range idleDeployment(20, 3).Services {
		instances += s.Instances
		_, err := document.Parse([]byte(s.Document))
		is.NoErr(err)
	}
	is.Equal(instances, 20)
}

func TestTableHasAColumnForEachRun(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(WriteTable(&out, []Run{{Nodes: 6, InForce: []time.Duration{time.Second, 2 * time.Second}}, {Nodes: 12}}))
	is.True(strings.Contains(out.String(), "6 nodes  12 nodes"))
	is.True(strings.Contains(out.String(), "in force ms, longest     2000         0"))
}
