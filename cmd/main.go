// Package cmd implements the command line, with one file for each verb.
package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/google/subcommands"
)

// Exit codes of all verbs.
const (
	exitOK         = subcommands.ExitSuccess    // 0
	exitFailure    = subcommands.ExitFailure    // 1: the verb failed, or the demo saw a guarantee violated
	exitUsage      = subcommands.ExitUsageError // 2: the arguments are wrong
	exitRefused    = subcommands.ExitStatus(3)  // refused; nothing was run
	exitIncomplete = subcommands.ExitStatus(4)  // answered, but shards are missing
	exitConflict   = subcommands.ExitStatus(5)  // another ticket has the number
	exitUnknown    = subcommands.ExitStatus(6)  // the outcome is unknown
)

const exitCodesHelp = `
Exit codes: 0 success, 1 failure, 2 wrong usage, 3 refused and not run,
4 answered with shards missing, 5 ticket conflict, 6 outcome unknown.
`

// Main runs the verb that args names and returns the exit code. SIGTERM and an
// interrupt stop the verb gracefully.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	flags := flag.NewFlagSet(filepath.Base(args[0]), flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, filepath.Base(args[0]))
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&serveCommand{}, "running")
	commander.Register(&gatewayCommand{}, "running")
	commander.Register(&emulateCommand{}, "running")
	commander.Register(&demoCommand{}, "running")
	commander.Register(&loadCommand{}, "measuring")
	commander.Register(&queryCommand{}, "callers")
	commander.Register(&runCommand{}, "callers")
	commander.Register(&ticketCommand{}, "operators")
	commander.Register(&statusCommand{}, "operators")
	commander.Register(&explainCommand{}, "operators")
	commander.Register(&checkconfigCommand{}, "operators")
	if err := flags.Parse(args[1:]); err != nil {
		return int(exitUsage)
	}
	return int(commander.Execute(ctx))
}

// printer writes the result of a verb as text or as JSON.
type printer struct {
	json bool
	out  io.Writer
}

func (p *printer) setFlags(f *flag.FlagSet) {
	f.BoolVar(&p.json, "json", false, "print JSON")
	p.out = os.Stdout
}

// print writes v as JSON, or calls text when JSON was not asked for.
func (p *printer) print(v any, text func(w io.Writer)) {
	if !p.json {
		text(p.out)
		return
	}
	enc := json.NewEncoder(p.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // fails only when standard output is closed
}

// fail reports err on standard error and returns status.
func fail(status subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "knapweedstall:", err)
	return status
}
