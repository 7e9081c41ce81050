package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"knapweedstall/explain"
)

// explainCommand reports the outcome of a request from logs.
type explainCommand struct {
	printer
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "report the outcome of a request from logs" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain [flags] ID FILE...: collect the log lines of one request from the logs of several instances.

Example:
  knapweedstall explain 9c41d07be2a35f68 instance-1.log instance-2.log
` + exitCodesHelp
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		f.Usage()
		return exitUsage
	}
	report, err := explainFiles(f.Arg(0), f.Args()[1:])
	if err != nil {
		return fail(exitFailure, err)
	}
	c.print(report, func(w io.Writer) { printReport(w, report) })
	if len(report.Lines) == 0 {
		return exitFailure
	}
	return exitOK
}

func explainFiles(id string, paths []string) (explain.Report, error) {
	var logs []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return explain.Report{}, errors.WithStack(err)
		}
		defer func() { _ = file.Close() }() // the file was only read
		logs = append(logs, file)
	}
	return explain.Explain(id, logs...)
}

func printReport(w io.Writer, r explain.Report) {
	sections := []struct {
		title string
		lines []explain.Line
	}{{"request " + r.ID, r.Lines}, {"state of these instances in the 10 s before", r.Context}}
	for _, s := range sections {
		fmt.Fprintln(w, s.title)
		for _, l := range s.lines {
			fmt.Fprintf(w, "  %s %s %s%s\n", l.Time.Format("15:04:05.000"), l.Instance, l.Message, formatFields(l))
		}
	}
	for _, gap := range r.Gaps {
		fmt.Fprintln(w, "missing:", gap)
	}
}

// formatFields returns the fields of a line as key=value pairs in the order of the keys.
func formatFields(l explain.Line) string {
	pairs := make([]string, 0, len(l.Fields))
	for key, value := range l.Fields {
		if key != "id" && key != "level" {
			pairs = append(pairs, " "+key+"="+value)
		}
	}
	slices.Sort(pairs)
	return strings.Join(pairs, "")
}
