package cmd

import (
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"knapweedstall/io/caller"
)

// requestCommand holds the common fields of the verbs that send a request as a caller.
type requestCommand struct {
	printer
	client
	collection string
	deadlineMS int64
}

// setRequestFlags defines the common flags. collection is the help text of the flag of
// that name.
func (c *requestCommand) setRequestFlags(f *flag.FlagSet, collection string) {
	c.setFlags(f)
	f.StringVar(&c.address, "address", "127.0.0.1:7001", "caller address of an instance")
	f.StringVar(&c.token, "token", "", "bearer token of the workspace")
	f.StringVar(&c.collection, "collection", "", collection)
	f.Int64Var(&c.deadlineMS, "deadline", 1000, "time allowed, in ms")
}

// printRefusal prints a refusal and returns its exit code.
func (c *requestCommand) printRefusal(e caller.Error) subcommands.ExitStatus {
	c.print(e, func(w io.Writer) {
		fmt.Fprintf(w, "%s (%s): %s\n", e.Code, e.Outcome, e.Message)
		if e.RetryAfterMS > 0 {
			fmt.Fprintf(w, "  retry after %d ms\n", e.RetryAfterMS)
		}
	})
	if e.Outcome == caller.OutcomeNotRun {
		return exitRefused
	}
	return exitUnknown
}
