package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
)

const (
	// demoServiceTime is the mean service time of the demo's backend servers. It is long, so that their slots and not the
	// processors of one machine limit the throughput of the fleet.
	demoServiceTime = 40 * time.Millisecond
	// floodPerProcessor is the rate of the whole flood, in requests per second, for each processor of the machine.
	floodPerProcessor = 300
	// floodResends is how often a caller of the flood sends a refused request again.
	floodResends = 3
)

func demoCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab demo", flag.ContinueOnError)
	duration := flags.Duration("duration", 10*time.Second, "length of the run")
	verbose := flags.Bool("verbose", false, "print the nodes' logs")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "hoistlab demo",
		ShortHelp:  "flood a small fleet with low-priority requests while urgent requests continue",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return demo(ctx, *duration, *verbose) },
	}
}

func demo(ctx context.Context, duration time.Duration, verbose bool) error {
	self, err := os.Executable()
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	processors := runtime.GOMAXPROCS(0)
	var results []load.Result
	var used processorTimes
	err = withFleet(ctx, fleet.Config{Deployment: demoDeployment()}, verbose, func(f *fleet.Fleet) error {
		before := ownProcessorTime()
		config := load.Config{Streams: demoStreams(duration, processors), Targets: f.Callers(), Duration: duration}
		results, used.generator, err = load.RunProcess(ctx, []string{self, generateName}, config)
		used.simulated = ownProcessorTime() - before
		f.Stop()
		used.nodes = f.ProcessorTime()
		return err
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := fleet.WriteTable(os.Stdout, fleet.Summarize(results)); err != nil {
		return trace.Wrap(err)
	}
	if err := used.write(os.Stdout, duration, processors); err != nil {
		return trace.Wrap(err)
	}
	return checkPunctuality(load.MeasurePunctuality(results), processors)
}

// checkPunctuality returns an error if the table shows the load generator and not the product.
func checkPunctuality(p load.Punctuality, processors int) error {
	if p.IsSufficient() {
		return nil
	}
	return trace.LimitExceeded("the table shows the load generator, not the nodes: of %d requests, %d were sent %v or more after they were due, "+
		"and %d had no connection. This machine carries about %d requests a second with its %d processors; "+
		"run it with fewer other programs, or on more processors",
		p.Requests, p.Late, load.MaxLateness, p.Unsent, p.OnTimeRate, processors)
}

func demoDeployment() fleet.Deployment {
	d := fleet.Chain()
	for i := range d.Services {
		d.Services[i].Behaviour.ServiceTime = demoServiceTime
	}
	return d
}

// demoStreams returns the ordinary load and the flood, which comes from callers of two kinds and follows the number of
// processors.
func demoStreams(duration time.Duration, processors int) []load.Stream {
	stream := load.Stream{Service: "crew-scheduling", Method: http.MethodGet, Timeout: time.Second}
	urgent := stream
	urgent.Name, urgent.Path, urgent.Rate = "job sheets", "/urgent/sheets", 200
	booking := stream
	booking.Name, booking.Path, booking.Rate, booking.Rank = "bookings", "/bookings", 100, 2
	booking.Method = http.MethodPost
	archive := stream
	archive.Name, archive.Path, archive.Rate, archive.Rank = "archive", "/archive/2019", 100, 7
	flood := archive
	flood.Rate = floodPerProcessor * float64(processors) / 2
	flood.Start, flood.Stop, flood.Resends = duration/4, duration*3/4, floodResends
	impatient, patient := flood, flood
	impatient.Name = "archive flood, sent again at once"
	patient.Name, patient.HonorsRetryAfter = "archive flood, sent again as told", true
	return []load.Stream{urgent, booking, archive, impatient, patient}
}

// processorTimes is the processor time that the processes of the demo used.
type processorTimes struct {
	generator, nodes time.Duration
	// simulated is that of the simulated backend servers and the platform, which share a process with the proxy between
	// the nodes.
	simulated time.Duration
}

// write prints the processor times as fractions of what all processors have in the duration.
func (t processorTimes) write(w io.Writer, duration time.Duration, processors int) error {
	all := duration.Seconds() * float64(processors)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "\nprocessor time of\t%% of %d processors\n", processors)
	_, _ = fmt.Fprintf(table, "load generator\t%.0f\n", 100*t.generator.Seconds()/all)
	_, _ = fmt.Fprintf(table, "nodes\t%.0f\n", 100*t.nodes.Seconds()/all)
	_, _ = fmt.Fprintf(table, "simulated servers\t%.0f\n", 100*t.simulated.Seconds()/all)
	return trace.Wrap(table.Flush())
}

// ownProcessorTime returns the processor time that this process has used; 0 if unknown.
func ownProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// generateName is the name of the command that sends the load for another hoistlab process.
const generateName = "generate"

func generateCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       generateName,
		ShortUsage: "hoistlab generate < load.json > results.json",
		ShortHelp:  "send the load that standard input describes as JSON, and write the results as JSON",
		FlagSet:    flag.NewFlagSet("hoistlab "+generateName, flag.ContinueOnError),
		Exec:       func(ctx context.Context, _ []string) error { return load.ServeProcess(ctx, os.Stdin, os.Stdout) },
	}
}
