// Package terminal writes aligned text tables.
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

// columnPadding is the minimum number of spaces between columns.
const columnPadding = 2

// Table writes rows in columns that are as wide as their widest cells.
type Table struct {
	// writer keeps the first error and returns it from Flush.
	writer *tabwriter.Writer
}

// NewTable returns a table that writes to w. The headings are its first row, unless there are none.
func NewTable(w io.Writer, headings ...any) *Table {
	t := &Table{writer: tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)}
	if len(headings) > 0 {
		t.Row(headings...)
	}
	return t
}

// Section starts another table with a title.
func (t *Table) Section(title string, headings ...any) {
	_, _ = fmt.Fprintf(t.writer, "\n%s\n", title)
	t.Row(headings...)
}

// Row adds one row.
func (t *Table) Row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(t.writer, "\t")
		}
		_, _ = fmt.Fprint(t.writer, cell)
	}
	_, _ = fmt.Fprintln(t.writer)
}

// Flush writes all rows to w and returns the first error.
func (t *Table) Flush() error {
	return trace.Wrap(t.writer.Flush())
}
