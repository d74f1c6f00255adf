package main

import (
	"context"
	"flag"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func dumpCommand() *ffcli.Command {
	var t target
	flags := flag.NewFlagSet("comfreyhoist dump", flag.ContinueOnError)
	usage := "comfreyhoist dump -address 10.1.0.7:7004"
	return clientCommand("dump", usage, "print the state of a node", flags, &t, func(ctx context.Context, _ []string) error {
		dump, err := t.client().Dump(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		return printJSON(dump)
	})
}
