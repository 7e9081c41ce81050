// The program standin runs one case of the review: it starts stand-ins for the platform's
// store, the servers and the requesters, and the project's own program as separate
// processes, and checks one rule. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// caseFunc runs a case and reports whether the rule was broken. trouble tells whether the
// disruption takes place.
type caseFunc func(rec *record, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"late-copy": lateCopy,
	"replaced":  replacedMachines,
	"holders":   twoHolders,
	"users":     lostMachines,
	"turned":    turnedAway,
	"survivors": survivors,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD TROUBLE, which is 0 for a run without the disruption")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Args[3] != "0")
	if err != nil {
		rec.note("the case could not run: %v", err)
	}
	rec.close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
