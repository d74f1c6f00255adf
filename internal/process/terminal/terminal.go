// Package terminal prints tables for people.
//
// # Usage
//
//	t := terminal.NewTable(os.Stdout, "SERVICE", "TEAM")
//	t.Row("bookings", "bookings-team")
//	t.Section("MEMBERS", "NODE", "ZONE")
//	t.Row("bookings_0", "lisbon_1")
//	err := t.Flush()
package terminal

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// columnPadding is the least number of spaces between columns.
const columnPadding = 2

// Table prints rows in columns as wide as their widest cells.
type Table struct {
	// writer keeps the first error and gives it back on Flush.
	writer *tabwriter.Writer
}

// NewTable returns a table that is printed to w, with the headings as its first row; none for no such row.
func NewTable(w io.Writer, headings ...any) *Table {
	t := &Table{writer: tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)}
	if len(headings) > 0 {
		t.Row(headings...)
	}
	return t
}

// Section begins a further table under a title.
func (t *Table) Section(title string, headings ...any) {
	_, _ = fmt.Fprintf(t.writer, "\n%s\n", title)
	t.Row(headings...)
}

// Row prints one row.
func (t *Table) Row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(t.writer, "\t")
		}
		_, _ = fmt.Fprint(t.writer, cell)
	}
	_, _ = fmt.Fprintln(t.writer)
}

// Flush prints what is still to be printed and returns the first error.
func (t *Table) Flush() error {
	return trace.Wrap(t.writer.Flush())
}
