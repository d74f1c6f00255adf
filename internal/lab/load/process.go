package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/gravitational/trace"
)

// RunProcess runs the load in a process of its own, so that the generator doesn't wait for the goroutines of the system that
// it measures. The command reads a Config from its standard input and writes the results to its standard output, as
// ServeProcess does. RunProcess also returns the processor time that the process used.
func RunProcess(ctx context.Context, command []string, config Config) ([]Result, time.Duration, error) {
	input, err := json.Marshal(config)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	process := exec.CommandContext(ctx, command[0], command[1:]...)
	process.Stdin, process.Stderr = bytes.NewReader(input), os.Stderr
	output, err := process.Output()
	if err != nil {
		return nil, 0, trace.Wrap(err, "the load generator %s", command)
	}
	var results []Result
	if err := json.Unmarshal(output, &results); err != nil {
		return nil, 0, trace.Wrap(err, "the results of the load generator")
	}
	return results, process.ProcessState.UserTime() + process.ProcessState.SystemTime(), nil
}

// ServeProcess runs the load that is described on r, as JSON of a Config, and writes the results to w.
func ServeProcess(ctx context.Context, r io.Reader, w io.Writer) error {
	var config Config
	if err := json.NewDecoder(r).Decode(&config); err != nil {
		return trace.BadParameter("the configuration of the load is no JSON of one: %v", err)
	}
	return trace.Wrap(json.NewEncoder(w).Encode(Run(ctx, config)))
}
