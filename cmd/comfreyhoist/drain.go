package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func drainCommand() *ffcli.Command {
	var api apiFlags
	flags := flag.NewFlagSet("comfreyhoist drain", flag.ContinueOnError)
	usage := "comfreyhoist drain -address 10.0.1.21:7003"
	help := "begin the planned stop of a node: it takes no new requests, finishes those in flight and ends"
	return clientCommand("drain", usage, help, flags, &api, func(ctx context.Context, _ []string) error {
		if err := api.client().Drain(ctx); err != nil {
			return trace.Wrap(err)
		}
		fmt.Println("the node drains")
		return nil
	})
}
