package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/report"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/scenario"
)

// overloadFlags holds the flags of the overload command.
type overloadFlags struct {
	deployments string
	scenarios   string
	previous    string
	baseline    bool
	seed        uint64
	out         string
}

func overloadCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab overload", flag.ContinueOnError)
	o := &overloadFlags{}
	flags.StringVar(&o.deployments, "deployments", scenario.LustreLimpo+","+scenario.Valokisko, "deployments, separated by commas")
	flags.StringVar(&o.scenarios, "scenarios", scenarioNames(), "scenarios, separated by commas")
	flags.StringVar(&o.previous, "previous", "", "path of an earlier build of comfreyhoist to measure as well")
	flags.BoolVar(&o.baseline, "baseline", true, "measure the naive baseline as well")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the load")
	flags.StringVar(&o.out, "out", "out", "directory for JSON and plots")
	return &ffcli.Command{
		Name:       "overload",
		ShortUsage: "hoistlab overload [-scenarios flood_least] [-previous path] [-seed 1]",
		ShortHelp:  "measure the product and the baseline in the overload scenarios",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return overload(ctx, o) },
	}
}

func scenarioNames() string {
	var names []string
	for _, s := range scenario.Scenarios {
		names = append(names, s.Name)
	}
	return strings.Join(names, ",")
}

func overload(ctx context.Context, o *overloadFlags) error {
	if err := os.MkdirAll(o.out, directoryMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	binary, err := fleet.Build(ctx, o.out)
	if err != nil {
		return trace.Wrap(err)
	}
	labBinary, err := os.Executable()
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var results []scenario.Result
	for _, config := range o.runConfigs(binary, labBinary) {
		result, err := scenario.Run(ctx, config)
		if err != nil {
			return trace.Wrap(err)
		}
		_, _ = fmt.Fprintf(os.Stderr, "%s %s %s done\n", result.Deployment, result.Scenario, result.Variant)
		results = append(results, result)
		name := strings.Join([]string{result.Deployment, result.Scenario, result.Variant}, "-") + ".png"
		if err := report.Plot(filepath.Join(o.out, name), result); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := report.WriteJSON(filepath.Join(o.out, "overload.json"), results); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(report.WriteTable(os.Stdout, results))
}

const directoryMode = 0o755

// runConfigs returns one configuration for each combination of deployment, scenario and variant. The baseline variant
// runs a command of hoistlab itself.
func (o *overloadFlags) runConfigs(binary, labBinary string) []scenario.Config {
	variants := []scenario.Variant{{Name: "product", Binary: binary}}
	if o.previous != "" {
		variants = append(variants, scenario.Variant{Name: "previous", Binary: o.previous})
	}
	if o.baseline {
		variants = append(variants, scenario.Variant{Name: "baseline", Binary: labBinary, Baseline: true})
	}
	var configs []scenario.Config
	for _, deployment := range strings.Split(o.deployments, ",") {
		for _, name := range strings.Split(o.scenarios, ",") {
			s, known := scenario.Find(name)
			d, found := scenario.Deployments()[deployment]
			if !known || !found {
				continue
			}
			for _, v := range variants {
				configs = append(configs, scenario.Config{Deployment: d, Scenario: s, Variant: v, Seed: o.seed})
			}
		}
	}
	return configs
}
