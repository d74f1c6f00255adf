package terminal_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/process/terminal"
)

var errBroken = errors.New("broken")

type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errBroken }

func TestTable(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	table := terminal.NewTable(&text, "SERVICE", "SLOTS")
	table.Row("access", 10)
	table.Section("MEMBERS", "NODE", "ZONE")
	table.Row("crew-scheduling_0", "lisbon_1")
	is.NoErr(table.Flush())
	is.Equal(text.String(), "SERVICE  SLOTS\naccess   10\n\nMEMBERS\nNODE               ZONE\ncrew-scheduling_0  lisbon_1\n")

	broken := terminal.NewTable(brokenWriter{}, "SERVICE")
	is.True(errors.Is(broken.Flush(), errBroken))
}
