package cmd

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"knapweedstall/deployment"
	"knapweedstall/emulator/platform"
	"knapweedstall/emulator/target"
)

// emulateCommand runs an emulator of the platform or of the targets.
type emulateCommand struct {
	listen      string
	deployment  string
	maxServices int
	ticketOut   string
}

// Name implements subcommands.Command.
func (*emulateCommand) Name() string { return "emulate" }

// Synopsis implements subcommands.Command.
func (*emulateCommand) Synopsis() string { return "emulate the platform or the targets" }

// Usage implements subcommands.Command.
func (*emulateCommand) Usage() string {
	return `emulate [flags] platform | targets: run an emulator on loopback until a signal.

  platform  the object API and the instance list; PUT /faults makes it fail
  targets   all targets of a deployment on free ports, with their control
            interface on -listen; -ticket receives the ticket that describes them

Example:
  knapweedstall emulate -listen 127.0.0.1:7000 platform
  knapweedstall emulate -listen 127.0.0.1:7003 -deployment peachline -ticket first.json targets
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *emulateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "loopback address to serve on")
	f.StringVar(&c.deployment, "deployment", "peachline", "peachline or berceuse")
	f.IntVar(&c.maxServices, "services", 0, "keep at most this many services of each collection; 0 for all")
	f.StringVar(&c.ticketOut, "ticket", "", "file to write the first ticket to")
}

// Execute implements subcommands.Command.
func (c *emulateCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var err error
	switch {
	case f.NArg() == 1 && f.Arg(0) == "platform":
		err = serveUntil(ctx, c.listen, platform.NewServer())
	case f.NArg() == 1 && f.Arg(0) == "targets":
		err = c.serveTargets(ctx)
	default:
		f.Usage()
		return exitUsage
	}
	if err != nil {
		return fail(exitFailure, err)
	}
	return exitOK
}

func (c *emulateCommand) serveTargets(ctx context.Context) error {
	d, err := namedDeployment(c.deployment, deployment.WithMaxServices(c.maxServices))
	if err != nil {
		return err
	}
	fleet, err := target.StartFleet(d.Collections, d.Snapshots)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	d.Collections = fleet.Collections()
	if c.ticketOut != "" {
		if err := writeTicket(c.ticketOut, d.FirstTicket()); err != nil {
			return err
		}
	}
	return serveUntil(ctx, c.listen, fleet.ControlHandler())
}

// writeTicket writes t to the file at path.
func writeTicket(path string, t deployment.Ticket) error {
	data, err := t.Encode()
	if err != nil {
		return err
	}
	// The rename replaces the file atomically, for scripts that wait for it.
	if err := os.WriteFile(path+".tmp", data, 0o600); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.Rename(path+".tmp", path))
}

// UnknownDeploymentError reports a name that no deployment has.
type UnknownDeploymentError struct{ Name string }

// Error implements error.
func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("unknown deployment %q: expected peachline or berceuse", e.Name)
}

// namedDeployment returns the deployment with the name.
func namedDeployment(name string, opts ...deployment.Option) (deployment.Deployment, error) {
	switch name {
	case "peachline":
		return deployment.Peachline(opts...), nil
	case "berceuse":
		return deployment.Berceuse(opts...), nil
	}
	return deployment.Deployment{}, &UnknownDeploymentError{name}
}

// serveUntil serves h on address until ctx ends.
func serveUntil(ctx context.Context, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}
