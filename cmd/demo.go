package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"knapweedstall/demo"
)

// demoCommand demonstrates the whole tier in one process.
type demoCommand struct {
	printer
	deployment string
	instances  int
}

// demoTimeout is the time limit of the demo.
const demoTimeout = 20 * time.Second

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "demonstrate the whole tier in one process" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `demo [flags]: run emulators and several instances in this process and check the guarantees.

It runs queries, takes an availability zone out of service by a ticket, brings it
back by another, sends a non-repeatable request twice, and stops an instance. It
ends by itself in under 20 s, with exit code 1 if a guarantee was violated.

Example:
  knapweedstall demo -deployment berceuse
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.deployment, "deployment", "peachline", "peachline or berceuse")
	f.IntVar(&c.instances, "instances", 6, "instances of the tier")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		f.Usage()
		return exitUsage
	}
	d, err := namedDeployment(c.deployment)
	if err != nil {
		return fail(exitUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	progress := c.out
	if c.json {
		progress = io.Discard
	}
	report, err := demo.Run(ctx, d, c.instances, progress)
	if err != nil {
		return fail(exitFailure, err)
	}
	c.print(report, func(w io.Writer) { fmt.Fprintln(w, report.Summary()) })
	if len(report.Violations) > 0 {
		return exitFailure
	}
	return exitOK
}
