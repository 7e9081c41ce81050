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

// runCommand sends a request that runs at most once for its key.
type runCommand struct {
	requestCommand
	key string
}

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "send a request that runs at most once" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return `run [flags] PAYLOAD: send a request that runs at most once for its key.

Sending it again with the same key returns the recorded outcome.

Example:
  knapweedstall run -address 127.0.0.1:7001 -token dock -collection dockdesk -key intake-4711 "12 tubes"
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	c.setRequestFlags(f, "collection that receives the request")
	f.StringVar(&c.key, "key", "", "idempotency key")
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
		return c.printRefusal(refusal)
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
