package cmd

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"knapweedstall/gateway"
	"knapweedstall/io/logsink"
	"knapweedstall/io/osclock"
	"knapweedstall/settings"
)

// gatewayCommand runs one instance on the platform.
type gatewayCommand struct {
	settingsCommand
}

// Name implements subcommands.Command.
func (*gatewayCommand) Name() string { return "gateway" }

// Synopsis implements subcommands.Command.
func (*gatewayCommand) Synopsis() string { return "run one instance on the platform" }

// Usage implements subcommands.Command.
func (*gatewayCommand) Usage() string {
	return `gateway -settings FILE: run one instance on the platform until SIGTERM or an interrupt.

The first signal starts a graceful shutdown: the load balancer is informed, and
requests in progress are finished.

Example:
  knapweedstall gateway -settings settings/samples/gateway.hujson
` + exitCodesHelp
}

// Execute implements subcommands.Command.
func (c *gatewayCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.checkArgs(f) {
		return exitUsage
	}
	// SIGHUP ends a process without a handler for it, so the handler is installed
	// first.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	s, err := settings.LoadGateway(c.path)
	if err != nil {
		return fail(exitFailure, err)
	}
	sink := logsink.New(os.Stdout)
	defer sink.Flush(logFlushTimeout)
	logger := newLogger(sink, s.LogLevel).With("instance", string(s.Instance))
	g := gateway.New(s, osclock.New(), logger, gateway.WithDroppedLines(sink.Dropped))
	go c.watchSettings(ctx, g, hup, logger)
	if err := g.Serve(ctx); err != nil {
		return fail(exitFailure, err)
	}
	return exitOK
}

// logFlushTimeout is how long the process waits at its end for the last log lines to
// be written.
const logFlushTimeout = 100 * time.Millisecond

// settingsPollPeriod is how often the settings file is checked for changes, because it
// may change without a signal.
const settingsPollPeriod = 5 * time.Second

// watchSettings reloads the settings file at each SIGHUP and when it has changed.
func (c *gatewayCommand) watchSettings(ctx context.Context, g *gateway.Gateway, hup <-chan os.Signal, logger *log.Logger) {
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	last := modTime(c.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if modTime(c.path).Equal(last) {
				continue
			}
		}
		last = modTime(c.path)
		s, err := settings.LoadGateway(c.path)
		if err != nil {
			logger.Error("reloading the settings failed", "err", err)
			continue
		}
		g.Reload(s)
	}
}

// modTime returns when the file was last changed, or the zero time when that is
// unknown; reading the file then reports why.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
