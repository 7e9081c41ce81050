package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"knapweedstall/settings"
)

// checkconfigCommand checks a settings file.
type checkconfigCommand struct {
	printer
}

// Name implements subcommands.Command.
func (*checkconfigCommand) Name() string { return "checkconfig" }

// Synopsis implements subcommands.Command.
func (*checkconfigCommand) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*checkconfigCommand) Usage() string {
	return `checkconfig [flags] FILE: check a settings file and print every fault with its path.

Example:
  knapweedstall checkconfig settings/samples/berceuse.hujson
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *checkconfigCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

// Execute implements subcommands.Command.
func (c *checkconfigCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return exitUsage
	}
	_, err := settings.Load(f.Arg(0))
	var faults *settings.FaultsError
	switch {
	case errors.As(err, &faults):
		c.print(faults.Faults, func(w io.Writer) { fmt.Fprintln(w, faults.Error()) })
		return exitFailure
	case err != nil:
		return fail(exitFailure, err)
	}
	c.print(map[string]bool{"valid": true}, func(w io.Writer) { fmt.Fprintln(w, "valid") })
	return exitOK
}
