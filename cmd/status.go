package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// statusCommand prints the state of an instance and its view of the other instances.
type statusCommand struct {
	printer
	client
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string {
	return "show the state of an instance and its view of the other instances"
}

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `status [flags]: print an instance's members, configuration number, holdings and counters as JSON.

Example:
  knapweedstall status -address 127.0.0.1:7002 -token admin
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.address, "address", "127.0.0.1:7002", "operator address of an instance")
	f.StringVar(&c.token, "token", "", "admin token")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		f.Usage()
		return exitUsage
	}
	return c.getAndPrint(ctx, "/v1/status")
}
