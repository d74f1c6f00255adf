package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/control/catalogue"
)

const eventsHelp = `Prints the numbered events that the logs carry: number, level, name, text, and what an operator
does about it. With -markdown it writes EVENTS.md and REASONS.md into the directory instead.

Example:
  comfreyhoist events
  comfreyhoist events -markdown docs`

// pageMode is the file mode of the written pages.
const pageMode = 0o644

func eventsCommand() *ffcli.Command {
	flags := flag.NewFlagSet("comfreyhoist events", flag.ContinueOnError)
	directory := flags.String("markdown", "", "directory to write EVENTS.md and REASONS.md into")
	return &ffcli.Command{
		Name:       "events",
		ShortUsage: "comfreyhoist events [-markdown directory]",
		ShortHelp:  "print the catalogue of events",
		LongHelp:   eventsHelp,
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			if *directory == "" {
				return trace.Wrap(catalogue.WriteEvents(os.Stdout))
			}
			return writePages(*directory)
		},
	}
}

func writePages(directory string) error {
	for name, page := range catalogue.Pages() {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(page), pageMode); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}
