package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"

	"github.com/google/subcommands"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/io/caller"
)

// runCommand sends a request that may not be repeated.
type runCommand struct {
	printer
	client
	collection string
	key        string
	deadlineMS int64
}

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "send a request that may not be repeated" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return `run [flags] PAYLOAD: send a request that runs at most once for its key.

A repetition with the same key returns the recorded outcome.

Example:
  knapweedstall run -address 127.0.0.1:7001 -token dock -collection dockdesk -key intake-4711 "12 tubes"
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.address, "address", "127.0.0.1:7001", "caller address of an instance")
	f.StringVar(&c.token, "token", "", "bearer token of the tenant")
	f.StringVar(&c.collection, "collection", "", "collection that takes the request")
	f.StringVar(&c.key, "key", "", "idempotency key")
	f.Int64Var(&c.deadlineMS, "deadline", 1000, "time allowed, in ms")
}

// Execute implements subcommands.Command.
func (c *runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.collection == "" || c.key == "" {
		f.Usage()
		return exitUsage
	}
	request := caller.RunRequest{
		Collection: topology.CollectionID(c.collection), Payload: f.Arg(0), DeadlineMS: clock.Duration(c.deadlineMS),
	}
	header := http.Header{"Idempotency-Key": {c.key}}
	var answer caller.RunAnswer
	var refusal caller.Error
	status, err := c.post(ctx, "/v1/run", header, request, &answer, &refusal)
	switch {
	case err != nil:
		return fail(exitUnknown, err)
	case status != http.StatusOK:
		return c.refused(refusal)
	}
	c.print(answer, func(w io.Writer) {
		fmt.Fprintf(w, "%s, receipt %s\n", answer.Outcome, answer.Receipt)
	})
	switch answer.Outcome {
	case caller.OutcomeAnswered:
		return exitOK
	case caller.OutcomeNotRun:
		return exitRefused
	default:
		return exitUnknown
	}
}
