package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/process/node"
)

func dumpCommand() *ffcli.Command {
	var api apiFlags
	flags := flag.NewFlagSet("comfreyhoist dump", flag.ContinueOnError)
	usage := "comfreyhoist dump -address 10.0.1.21:7003"
	return clientCommand("dump", usage, "print the state of a node", flags, &api, func(ctx context.Context, _ []string) error {
		encoded, err := api.client().Dump(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		if api.json {
			return printJSON(encoded)
		}
		var dump node.Dump
		if err := json.Unmarshal(encoded, &dump); err != nil {
			return trace.Wrap(err)
		}
		return trace.Wrap(dump.WriteTable(os.Stdout, time.Now()))
	})
}
