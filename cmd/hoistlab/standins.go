package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/baseline"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
)

func storeCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab store", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:7100", "IP and port to listen on")
	return &ffcli.Command{
		Name:       "store",
		ShortUsage: "hoistlab store -address 127.0.0.1:7100",
		ShortHelp:  "run the stand-in for the platform's key-value service",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return runStore(ctx, *address) },
	}
}

func runStore(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: store.New().Handler()}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return trace.Wrap(err)
	}
	return nil
}

// The default flag values of a simulated backend server.
const (
	defaultSlots       = 35
	defaultConnections = 300
	defaultServiceTime = 10 * time.Millisecond
	defaultQueue       = 100
)

func backendCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab backend", flag.ContinueOnError)
	var c server.Config
	flags.StringVar(&c.Service, "service", "", "service that the backend server belongs to")
	flags.StringVar(&c.Address, "address", "127.0.0.1:7200", "IP and port to listen on")
	flags.StringVar(&c.NodeBackend, "node_backend", "127.0.0.1:7003", "the local node's address for announcements")
	flags.StringVar(&c.NodeCaller, "node_caller", "127.0.0.1:7001", "the local node's address for calls to other services")
	flags.IntVar(&c.Slots, "slots", defaultSlots, "number of requests that run concurrently")
	flags.IntVar(&c.Connections, "connections", defaultConnections, "number of connections that the backend server accepts")
	flags.IntVar(&c.Behaviour.Queue, "queue", defaultQueue, "maximum number of requests that are queued for a slot")
	flags.DurationVar(&c.Behaviour.ServiceTime, "service_time", defaultServiceTime, "mean service time of a request")
	calls := flags.String("calls", "", "service/path that each request calls with GET, separated by commas")
	return &ffcli.Command{
		Name:       "backend",
		ShortUsage: "hoistlab backend -service bookings -calls access/windows/palace",
		ShortHelp:  "run one stand-in backend server",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			c.Behaviour.Calls = parseCalls(*calls)
			return server.New(c).Run(ctx)
		},
	}
}

// parseCalls parses a list of service/path pairs.
func parseCalls(list string) []server.DownstreamCall {
	var calls []server.DownstreamCall
	for _, item := range strings.Split(list, ",") {
		service, path, found := strings.Cut(item, "/")
		if found {
			calls = append(calls, server.DownstreamCall{Service: service, Method: http.MethodGet, Path: "/" + path})
		}
	}
	return calls
}

func baselineCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab "+fleet.BaselineCommand, flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:7001", "IP and port to listen on")
	instances := flags.String("instances", "", "service=address of each backend server, separated by commas")
	return &ffcli.Command{
		Name:       fleet.BaselineCommand,
		ShortUsage: "hoistlab baseline -instances access=127.0.0.1:7200,access=127.0.0.1:7201",
		ShortHelp:  "run the naive baseline instead of a node",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return trace.Wrap(baseline.Serve(ctx, *address, baseline.New(parseInstances(*instances))))
		},
	}
}

// parseInstances parses a list of service=address pairs and returns the addresses by service.
func parseInstances(list string) map[string][]string {
	instances := map[string][]string{}
	for _, item := range strings.Split(list, ",") {
		service, address, found := strings.Cut(item, "=")
		if found {
			instances[service] = append(instances[service], address)
		}
	}
	return instances
}

func loadCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab load", flag.ContinueOnError)
	s := load.Stream{Name: "load"}
	targets := flags.String("targets", "127.0.0.1:7001", "caller addresses of nodes, separated by commas")
	duration := flags.Duration("duration", 5*time.Second, "length of the run")
	flags.StringVar(&s.Service, "service", "", "service to call")
	flags.StringVar(&s.Method, "method", http.MethodGet, "HTTP method")
	flags.StringVar(&s.Path, "path", "/", "path to call")
	flags.Float64Var(&s.Rate, "rate", 50, "requests per second")
	flags.DurationVar(&s.Timeout, "timeout", time.Second, "how long a caller waits for the response")
	flags.IntVar(&s.Resends, "resends", 0, "how often a failed request is sent again")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "hoistlab load -service bookings -path /urgent/today -rate 50",
		ShortHelp:  "send requests to running nodes and print a table",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			results := load.Run(ctx, load.Config{
				Streams:  []load.Stream{s},
				Targets:  strings.Split(*targets, ","),
				Duration: *duration,
			})
			return trace.Wrap(fleet.WriteTable(os.Stdout, fleet.Summarize(results)))
		},
	}
}
