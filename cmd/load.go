package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/experiment"
	"knapweedstall/load"
)

// loadCommand generates load or runs an experiment.
type loadCommand struct {
	printer
	options    experiment.Options
	durationMS int64
	out        string
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "generate load, or measure a policy against a baseline" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	text := `load [flags] plan FILE | experiment NAME

  plan FILE        send the open-loop load of a plan (JSON) to running instances
  experiment NAME  start a deployment in this process and measure one policy

Experiments:
`
	for _, e := range experiment.All() {
		text += fmt.Sprintf("  %-11s %s\n", e.Name, e.Synopsis)
	}
	return text + `
Example:
  knapweedstall load -deployment berceuse experiment stragglers
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.options.Deployment, "deployment", "peachline", "peachline or berceuse")
	f.IntVar(&c.options.Instances, "instances", 6, "instances of the tier")
	f.Int64Var(&c.durationMS, "duration", 9000, "recorded time of each run, in ms")
	f.Float64Var(&c.options.RatePerSec, "rate", 0, "queries per second; 0 for the default of the experiment")
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of arrivals and queries")
	f.StringVar(&c.out, "out", "", "folder for the results and plots of a plan")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case f.NArg() == 2 && f.Arg(0) == "plan":
		return c.runPlan(ctx, f.Arg(1))
	case f.NArg() == 2 && f.Arg(0) == "experiment":
		return c.runExperiment(ctx, f.Arg(1))
	default:
		f.Usage()
		return exitUsage
	}
}

func (c *loadCommand) runPlan(ctx context.Context, path string) subcommands.ExitStatus {
	data, err := os.ReadFile(path)
	if err != nil {
		return fail(exitFailure, errors.WithStack(err))
	}
	var p load.Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return fail(exitUsage, errors.WithStack(err))
	}
	result, err := load.Run(ctx, p)
	if err != nil {
		return fail(exitUsage, err)
	}
	if c.out != "" {
		if err := result.Save(c.out); err != nil {
			return fail(exitFailure, err)
		}
	}
	c.print(result, func(w io.Writer) { _ = result.WriteTable(w) }) // fails only when standard output is closed
	return exitOK
}

func (c *loadCommand) runExperiment(ctx context.Context, name string) subcommands.ExitStatus {
	if _, err := namedDeployment(c.options.Deployment); err != nil {
		return fail(exitUsage, err)
	}
	c.options.DurationMS = clock.Duration(c.durationMS)
	report, err := experiment.Run(ctx, name, c.options)
	if err != nil {
		return fail(exitFailure, err)
	}
	c.print(report, func(w io.Writer) { _ = report.WriteTable(w) }) // fails only when standard output is closed
	if !report.GoalsMet() {
		return exitFailure
	}
	return exitOK
}
