package fleet

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
)

// StreamSummary summarizes the requests of one stream.
type StreamSummary struct {
	Stream   string         `json:"stream"`
	Rank     int            `json:"rank"`
	Sent     int            `json:"sent"`
	Good     int            `json:"good"`
	Median   time.Duration  `json:"median"`
	P99      time.Duration  `json:"p99"`
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons"`
}

// Summarize returns a summary for each stream, most urgent first.
func Summarize(results []load.Result) []StreamSummary {
	byStream := map[string]*StreamSummary{}
	latencies := map[string]*hdrhistogram.Histogram{}
	for _, r := range results {
		row, ok := byStream[r.Stream]
		if !ok {
			row = &StreamSummary{Stream: r.Stream, Rank: r.Rank, Outcomes: map[string]int{}, Reasons: map[string]int{}}
			byStream[r.Stream] = row
			latencies[r.Stream] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		}
		row.Sent++
		row.Outcomes[r.Outcome]++
		row.Reasons[r.Reason]++
		if r.OK() {
			row.Good++
			_ = latencies[r.Stream].RecordValue(r.Latency.Microseconds())
		}
	}
	var rows []StreamSummary
	for stream, row := range byStream {
		row.Median = time.Duration(latencies[stream].ValueAtQuantile(50)) * time.Microsecond
		row.P99 = time.Duration(latencies[stream].ValueAtQuantile(99)) * time.Microsecond
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b StreamSummary) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Stream, b.Stream))
	})
	return rows
}

// WriteTable prints the summaries as a table.
func WriteTable(w io.Writer, rows []StreamSummary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "rank\tstream\tsent\tgood\tgood %\tmedian\tp99")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%.1f\t%s\t%s\n",
			r.Rank, r.Stream, r.Sent, r.Good, 100*float64(r.Good)/float64(max(r.Sent, 1)), r.Median, r.P99)
	}
	return t.Flush()
}
