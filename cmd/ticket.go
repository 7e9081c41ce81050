package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"knapweedstall/io/operator"
)

// ticketCommand files and reads change tickets.
type ticketCommand struct {
	printer
	client
	from  uint64
	limit int
}

// Name implements subcommands.Command.
func (*ticketCommand) Name() string { return "ticket" }

// Synopsis implements subcommands.Command.
func (*ticketCommand) Synopsis() string { return "file, list, show and audit change tickets" }

// Usage implements subcommands.Command.
func (*ticketCommand) Usage() string {
	return `ticket [flags] file FILE | list | show | audit NUMBER

  file FILE     file the ticket in FILE ("-" for standard input)
  list          list accepted tickets, see -from and -limit
  show          show the configuration in force
  audit NUMBER  show the changes of ticket NUMBER with the values before and after

Example:
  knapweedstall ticket -address 127.0.0.1:7002 -token admin file zone-out.json
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *ticketCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.address, "address", "127.0.0.1:7002", "operator address of an instance")
	f.StringVar(&c.token, "token", "", "admin token")
	f.Uint64Var(&c.from, "from", 1, "first ticket to list")
	f.IntVar(&c.limit, "limit", 100, "tickets to list")
}

// Execute implements subcommands.Command.
func (c *ticketCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case f.Arg(0) == "file" && f.NArg() == 2:
		return c.fileTicket(ctx, f.Arg(1))
	case f.Arg(0) == "list" && f.NArg() == 1:
		return c.getAndPrint(ctx, fmt.Sprintf("/v1/tickets?from=%d&limit=%d", c.from, c.limit))
	case f.Arg(0) == "show" && f.NArg() == 1:
		return c.getAndPrint(ctx, "/v1/state")
	case f.Arg(0) == "audit" && f.NArg() == 2:
		return c.getAndPrint(ctx, "/v1/tickets/"+f.Arg(1))
	default:
		f.Usage()
		return exitUsage
	}
}

func (c *ticketCommand) fileTicket(ctx context.Context, path string) subcommands.ExitStatus {
	body, err := readInput(path)
	if err != nil {
		return fail(exitFailure, err)
	}
	status, data, err := c.call(ctx, http.MethodPost, "/v1/tickets", nil, body)
	if err != nil {
		return fail(exitUnknown, err)
	}
	if status == http.StatusCreated {
		var accepted operator.Accepted
		if err := json.Unmarshal(data, &accepted); err != nil {
			return fail(exitUnknown, err)
		}
		c.print(accepted, func(w io.Writer) { fmt.Fprintf(w, "ticket %d accepted\n", accepted.Number) })
		return exitOK
	}
	return c.printTicketRefusal(data)
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errors.WithStack(err)
	}
	data, err := os.ReadFile(path)
	return data, errors.WithStack(err)
}

// printTicketRefusal prints a refusal and returns its exit code.
func (c *ticketCommand) printTicketRefusal(data []byte) subcommands.ExitStatus {
	var e operator.Error
	if err := json.Unmarshal(data, &e); err != nil {
		return fail(exitFailure, err)
	}
	c.print(e, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s\n", e.Code, e.Message)
		for _, fault := range e.Faults {
			fmt.Fprintln(w, "  "+fault)
		}
	})
	switch e.Code {
	case operator.CodeConflict:
		return exitConflict
	case operator.CodeUnknownOutcome:
		return exitUnknown
	default:
		return exitRefused
	}
}

// getAndPrint gets path and prints the reply, which is JSON with and without -json,
// with indentation.
func (c *client) getAndPrint(ctx context.Context, path string) subcommands.ExitStatus {
	status, data, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return fail(exitFailure, err)
	}
	var out bytes.Buffer
	if json.Indent(&out, data, "", "  ") != nil {
		out.Write(data)
	}
	fmt.Println(out.String())
	if status != http.StatusOK {
		return exitFailure
	}
	return exitOK
}
