// Package report writes the results of experiments as text tables, JSON and plots.
//
// # Usage
//
//	err := report.WriteTable(os.Stdout, results)
//	err = report.WriteJSON("out/run.json", results)
//	err = report.Plot("out/run.png", result)
package report

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/scenario"
)

// WriteTable prints a line for each result and a line for each of its streams.
func WriteTable(w io.Writer, results []scenario.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "deployment\tscenario\tvariant\tbefore/s\tduring/s\tideal/s\t% of ideal\tafter/s\trecovery\twasted\tamplification\tunsent")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%.1f%%\t%.2f\t%d\n",
			r.Deployment, r.Scenario, r.Variant, r.GoodputBefore, r.GoodputDuring, r.IdealDuring,
			percent(r.GoodputDuring/r.IdealDuring), r.GoodputAfter, formatRecovery(r.Recovery), percent(r.Wasted), r.Amplification,
			r.Unsent)
	}
	if err := t.Flush(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(writeStreams(w, results))
}

func writeStreams(w io.Writer, results []scenario.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\ndeployment\tscenario\tvariant\trank\tstream\tbefore %\tduring %\tordinary kept %\tafter %\tgood/s\tideal/s\tmedian\tp99")
	for _, r := range results {
		for _, s := range r.Streams {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%s\t%s\n",
				r.Deployment, r.Scenario, r.Variant, s.Rank, s.Name, percent(s.GoodBefore), percent(s.GoodDuring),
				percent(s.OrdinaryGoodDuring), percent(s.GoodAfter), s.Goodput, s.Ideal,
				s.Median.Round(time.Millisecond), s.P99.Round(time.Millisecond))
		}
	}
	return trace.Wrap(t.Flush())
}

func percent(ratio float64) float64 {
	return 100 * ratio
}

func formatRecovery(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.String()
}

// WriteJSON writes the value to the file.
func WriteJSON(path string, value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, append(encoded, '\n'), fileMode))
}

const fileMode = 0o644

// colours are the colours of the lines of a plot, in the order of the streams.
var colours = []color.Color{
	color.RGBA{R: 200, A: 255},
	color.RGBA{G: 130, A: 255},
	color.RGBA{B: 200, A: 255},
	color.RGBA{R: 160, G: 110, A: 255},
	color.RGBA{R: 120, G: 120, B: 120, A: 255},
}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot draws the goodput of each stream over time. The extension of the path selects the file format.
func Plot(path string, r scenario.Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, %s", r.Deployment, r.Scenario, r.Variant)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "good answers a second"
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range r.Streams {
		line, err := plotter.NewLine(points(r.Series[s.Name]))
		if err != nil {
			return trace.Wrap(err)
		}
		line.Color = colours[i%len(colours)]
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s (rank %d)", s.Name, s.Rank), line)
	}
	return trace.Wrap(p.Save(plotWidth, plotHeight, path))
}

func points(series []float64) plotter.XYs {
	xys := make(plotter.XYs, len(series))
	for i, y := range slices.Clone(series) {
		xys[i] = plotter.XY{X: float64(i) * scenario.SeriesWindow.Seconds(), Y: y}
	}
	return xys
}
