// Package catalogue renders the catalogues of events, reasons and metrics: the events as a table for a terminal, and
// all of them as the pages docs/EVENTS.md, docs/REASONS.md and docs/METRICS.md. The data is in the packages that use
// it: events, metrics, call and the decision packages.
//
// # Usage
//
//	err := catalogue.WriteEvents(os.Stdout)
//	for name, page := range catalogue.Pages() {
//		err = os.WriteFile(filepath.Join("docs", name), []byte(page), 0o644)
//	}
//
// After a catalogue has changed, the command "comfreyhoist events -markdown docs" regenerates the pages.
package catalogue

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/metrics"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/process/terminal"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// File names of the pages.
const (
	EventsPage  = "EVENTS.md"
	ReasonsPage = "REASONS.md"
)

// WriteEvents prints the events as a table.
func WriteEvents(w io.Writer) error {
	table := terminal.NewTable(w)
	for _, row := range eventRows() {
		table.Row(toCells(row)...)
	}
	return trace.Wrap(table.Flush())
}

func toCells(row []string) []any {
	cells := make([]any, 0, len(row))
	for _, cell := range row {
		cells = append(cells, cell)
	}
	return cells
}

// Pages returns the text of each page by its file name.
func Pages() map[string]string {
	return map[string]string{
		EventsPage:   page("Events", eventsIntroduction, eventRows()),
		ReasonsPage:  page("Reasons", reasonsIntroduction, reasonRows()) + section(decisionsIntroduction, decisionRows()),
		metrics.Page: metrics.Markdown(),
	}
}

const eventsIntroduction = "The logs are lines of JSON. Each carries the number and the name of its event, the node,\n" +
	"the time, and the event's own fields. A number is never used again for another event. This page is\n" +
	"written by `comfreyhoist events -markdown docs`."

const reasonsIntroduction = "The header `Comfreyhoist-Reason` carries one of these where the answer isn't the backend\n" +
	"server's own. No node or service up the call chain retries after a final one. This page is written by\n" +
	"`comfreyhoist events -markdown docs`; CALLERS.md says what to do about the outcomes."

const decisionsIntroduction = "## Decisions\n\nThe state dump of a node shows each decision with one of these reasons, the time and the evidence."

func eventRows() [][]string {
	rows := [][]string{{"Number", "Level", "Name", "Since", "Text", "Action"}}
	for _, n := range events.Numbers() {
		e := events.Catalogue[n]
		rows = append(rows, []string{strconv.Itoa(int(n)), e.Level.String(), e.Name, e.Since, e.Text, e.Action})
	}
	return rows
}

func reasonRows() [][]string {
	rows := [][]string{{"Reason", "Status", "Final", "Text"}}
	for _, reason := range sortedReasons() {
		e := reason.Entry()
		rows = append(rows, []string{"`" + string(reason) + "`", strconv.Itoa(e.Status), yesNo(e.Final), e.Text})
	}
	return rows
}

// decisionRows returns the reasons that the decision packages give for their decisions.
func decisionRows() [][]string {
	rows := [][]string{{"Decision", "Reason", "Text"}}
	rows = append(rows, decisionRowsOf("in-flight limit", admission.LimitReasons)...)
	rows = append(rows, decisionRowsOf("refusal at the gate", admission.ShedReasons)...)
	rows = append(rows, decisionRowsOf("throttle at the entry", throttle.Reasons)...)
	rows = append(rows, decisionRowsOf("instance passed over", routing.Reasons)...)
	rows = append(rows, decisionRowsOf("request held", quarantine.Reasons)...)
	return append(rows, decisionRowsOf("evidence against a request", quarantine.Sources)...)
}

// decisionRowsOf returns the rows of one decision's reasons, sorted by reason.
func decisionRowsOf[R ~string](decision string, texts map[R]string) [][]string {
	var rows [][]string
	for _, reason := range slices.Sorted(maps.Keys(texts)) {
		rows = append(rows, []string{decision, "`" + string(reason) + "`", texts[reason]})
	}
	return rows
}

// sortedReasons returns the reasons that a response can carry, sorted by status and name.
func sortedReasons() []call.Reason {
	var found []call.Reason
	for reason := range call.Reasons {
		if reason != call.ReasonNone {
			found = append(found, reason)
		}
	}
	slices.SortFunc(found, func(a, b call.Reason) int {
		return cmp.Or(cmp.Compare(a.Entry().Status, b.Entry().Status), cmp.Compare(a, b))
	})
	return found
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// page renders a page with one table. The first row is the table's header.
func page(title, introduction string, rows [][]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\n", title, introduction)
	writeRows(&b, rows)
	return b.String()
}

// section renders another table for the end of a page.
func section(introduction string, rows [][]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%s\n\n", introduction)
	writeRows(&b, rows)
	return b.String()
}

func writeRows(b *strings.Builder, rows [][]string) {
	writeRow(b, rows[0])
	writeRow(b, slices.Repeat([]string{"---"}, len(rows[0])))
	for _, row := range rows[1:] {
		writeRow(b, row)
	}
}

func writeRow(b *strings.Builder, cells []string) {
	fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | "))
}
