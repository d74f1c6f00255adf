package capacity

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// Slope is a line through the measurements: the value at zero nodes, and the increase for each node.
type Slope struct {
	Base    float64 `json:"base"`
	PerNode float64 `json:"per_node"`
}

// At returns the value of the line at the number of nodes.
func (s Slope) At(nodes int) float64 {
	return s.Base + s.PerNode*float64(nodes)
}

// Fit returns the least-squares line through the values of the runs.
func Fit(runs []Run, value func(Run) float64) Slope {
	var sumX, sumY, sumXX, sumXY float64
	for _, r := range runs {
		x, y := float64(r.Nodes), value(r)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	count := float64(len(runs))
	denominator := count*sumXX - sumX*sumX
	if denominator == 0 {
		return Slope{Base: sumY / max(count, 1)}
	}
	perNode := (count*sumXY - sumX*sumY) / denominator
	return Slope{Base: (sumY - perNode*sumX) / count, PerNode: perNode}
}

// column is one measured value of the table.
type column struct {
	header string
	value  func(Run) float64
	// decimals is the number of digits after the decimal point.
	decimals int
}

const (
	percent  = 100
	megabyte = 1 << 20
	kilobyte = 1000
)

var columns = []column{
	{"ready s", func(r Run) float64 { return r.Ready.Seconds() }, 1},
	{"leader core %", func(r Run) float64 { return percent * r.Leader.Core }, 2},
	{"follower core %", func(r Run) float64 { return percent * r.Follower.Core }, 2},
	{"leader MiB", func(r Run) float64 { return r.Leader.MaxMemory / megabyte }, 1},
	{"follower MiB", func(r Run) float64 { return r.Follower.MaxMemory / megabyte }, 1},
	{"leader kB/s", func(r Run) float64 { return r.Leader.total() / kilobyte }, 2},
	{"of it platform", func(r Run) float64 { return r.Leader.Platform / kilobyte }, 2},
	{"follower kB/s", func(r Run) float64 { return r.Follower.total() / kilobyte }, 2},
	{"platform reads/s", func(r Run) float64 { return r.PlatformReads }, 2},
	{"platform writes/s", func(r Run) float64 { return r.PlatformWrites }, 2},
	{"in force ms, median", func(r Run) float64 { return milliseconds(r.changeTimeQuantile(0.5)) }, 0},
	{"in force ms, longest", func(r Run) float64 { return milliseconds(r.changeTimeQuantile(1)) }, 0},
	{"machine busy %", func(r Run) float64 { return percent * r.MachineBusy }, 0},
}

// WriteTable prints a column for each run, and the slope of each value.
func WriteTable(w io.Writer, runs []Run) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := []string{"figure"}
	for _, r := range runs {
		header = append(header, fmt.Sprintf("%d nodes", r.Nodes))
	}
	lines := []string{strings.Join(append(header, "per node"), "\t")}
	for _, c := range columns {
		lines = append(lines, strings.Join(c.cells(runs), "\t"))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line+"\t"); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(table.Flush())
}

func (c column) cells(runs []Run) []string {
	cells := []string{c.header}
	for _, r := range runs {
		cells = append(cells, strconv.FormatFloat(c.value(r), 'f', c.decimals, 64))
	}
	return append(cells, strconv.FormatFloat(Fit(runs, c.value).PerNode, 'g', 3, 64))
}

func (c Cost) total() float64 {
	return c.Sent + c.Received + c.Platform
}

// changeTimeQuantile returns the given quantile, from 0 to 1, of the times until a change was in force on all nodes.
func (r Run) changeTimeQuantile(quantile float64) time.Duration {
	if len(r.InForce) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.InForce))
	return sorted[int(quantile*float64(len(sorted)-1))]
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
