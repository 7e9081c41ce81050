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

// queryCommand searches a collection.
type queryCommand struct {
	requestCommand
	limit int
}

// Name implements subcommands.Command.
func (*queryCommand) Name() string { return "query" }

// Synopsis implements subcommands.Command.
func (*queryCommand) Synopsis() string { return "search a collection" }

// Usage implements subcommands.Command.
func (*queryCommand) Usage() string {
	return `query [flags] TEXT: search a collection through one instance and print hits and coverage.

Example:
  knapweedstall query -address 127.0.0.1:7001 -token dock -collection dockdesk "pickup 17"
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *queryCommand) SetFlags(f *flag.FlagSet) {
	c.setRequestFlags(f, "collection to search")
	f.IntVar(&c.limit, "limit", 10, "maximum number of hits")
}

// Execute implements subcommands.Command.
func (c *queryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.collection == "" {
		f.Usage()
		return exitUsage
	}
	request := caller.SearchRequest{
		Collection: topology.CollectionID(c.collection), Query: f.Arg(0),
		Limit: c.limit, DeadlineMS: clock.Duration(c.deadlineMS),
	}
	var answer caller.SearchAnswer
	var refusal caller.Error
	status, err := c.post(ctx, "/v1/query", nil, request, &answer, &refusal)
	switch {
	case err != nil:
		return fail(exitFailure, err)
	case status != http.StatusOK:
		return c.printRefusal(refusal)
	}
	c.print(answer, func(w io.Writer) { printAnswer(w, answer) })
	if answer.Coverage.Answered < answer.Coverage.Total {
		return exitIncomplete
	}
	return exitOK
}

func printAnswer(w io.Writer, a caller.SearchAnswer) {
	fmt.Fprintf(w, "snapshot %s, config %d, %d ms, %d of %d shards\n",
		a.Snapshot, a.Config, a.LatencyMS, a.Coverage.Answered, a.Coverage.Total)
	for _, m := range a.Coverage.Missing {
		fmt.Fprintf(w, "  missing (%s): %v\n", m.Reason, m.Shards)
	}
	for _, h := range a.Hits {
		fmt.Fprintf(w, "  %8.4f  %s  %s\n", h.Score, h.ID, h.Text)
	}
}
