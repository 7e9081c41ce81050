package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"knapweedstall/core/clock"
	"knapweedstall/gateway"
	"knapweedstall/settings"
)

// gatewayCommand runs one instance on the platform.
type gatewayCommand struct {
	path string
}

// Name implements subcommands.Command.
func (*gatewayCommand) Name() string { return "gateway" }

// Synopsis implements subcommands.Command.
func (*gatewayCommand) Synopsis() string { return "run one instance on the platform" }

// Usage implements subcommands.Command.
func (*gatewayCommand) Usage() string {
	return `gateway -settings FILE: run one instance on the platform until SIGTERM or an interrupt.

The first signal begins a graceful stop: the balancer is told, and requests in
progress are finished.

Example:
  knapweedstall gateway -settings settings/samples/gateway.hujson
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file, JSON with comments")
}

// Execute implements subcommands.Command.
func (c *gatewayCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 || c.path == "" {
		f.Usage()
		return exitUsage
	}
	s, err := settings.LoadGateway(c.path)
	if err != nil {
		return fail(exitFailure, err)
	}
	logger := newLogger(s.LogLevel).With("instance", string(s.Instance))
	if err := gateway.New(s, clock.NewSystem(), logger).Serve(ctx); err != nil {
		return fail(exitFailure, err)
	}
	return exitOK
}
