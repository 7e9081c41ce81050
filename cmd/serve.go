package cmd

import (
	"context"
	"flag"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"knapweedstall/core/topology"
	"knapweedstall/instance"
	"knapweedstall/settings"
)

// serveCommand runs one instance.
type serveCommand struct {
	settingsCommand
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run one instance of the tier" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `serve -settings FILE: run one instance until SIGTERM or an interrupt.

The first signal starts a graceful shutdown: requests in progress are finished and
the shares of the targets are handed over to other instances.

Example:
  knapweedstall serve -settings settings/samples/peachline.hujson
` + exitCodesHelp
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.checkArgs(f) {
		return exitUsage
	}
	s, err := settings.Load(c.path)
	if err != nil {
		return fail(exitFailure, err)
	}
	logger := newLogger(os.Stderr, s.LogLevel).With("instance", string(s.Instance))
	incarnation := topology.NewIncarnation(time.Now().UnixMilli(), rand.Uint64())
	if err := instance.New(s, incarnation, logger).Serve(ctx); err != nil {
		return fail(exitFailure, err)
	}
	return exitOK
}

// newLogger returns a logger that writes each record to out as one line in logfmt.
func newLogger(out io.Writer, level settings.LogLevel) *log.Logger {
	logger := log.NewWithOptions(out, log.Options{
		ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter,
	})
	if parsed, err := log.ParseLevel(string(level)); err == nil {
		logger.SetLevel(parsed)
	}
	return logger
}
