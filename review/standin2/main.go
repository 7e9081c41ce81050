//go:build review

// Standin2 plays the platform, the servers and the callers around gateway instances, for
// the cases of the second review. It starts the instances as processes of their own.
//
// Usage: standin2 CASE DIR
//
// It writes what was sent, answered and run to record.txt in DIR. It exits with 1 if the
// rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disturbance out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// outcome is the result of a case.
type outcome struct {
	broken bool
	detail string // what the rule was checked on
}

// cases holds the cases by name. A case disturbs its world only if trouble is set.
var cases = map[string]func(w *world, trouble bool) (outcome, error){
	"popular": popularRequest,
	"caller":  otherCaller,
	"runner":  killedRunner,
	"single":  singleServer,
	"pause":   longPause,
	"away":    turnedAway,
	"lost":    lostMachines,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE DIR")
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(rec)
	if err != nil {
		return fail(rec, err)
	}
	defer w.close()
	ended := make(chan int, 1)
	go func() {
		out, err := cases[args[0]](w, trouble)
		if err != nil {
			ended <- fail(rec, err)
			return
		}
		rec.log("result", "trouble", trouble, "broken", out.broken, "detail", out.detail)
		fmt.Printf("broken=%v %s\n", out.broken, out.detail)
		if out.broken {
			ended <- exitBroken
			return
		}
		ended <- exitHeld
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-ended:
		return code
	case s := <-interrupted:
		return fail(rec, &stoppedError{s.String()})
	case <-time.After(maxLength):
		return fail(rec, &stoppedError{"the time limit"})
	}
}

// maxLength bounds the time of a case.
const maxLength = 118 * time.Second

// stoppedError reports that a case was ended before its time.
type stoppedError struct{ by string }

// Error implements error.
func (e *stoppedError) Error() string { return "stopped by " + e.by }

// fail reports that the case could not run.
func fail(rec *record, err error) int {
	rec.log("failed", "err", err)
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
