package node_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"knapweedstall/core/object/objecttest"
)

var (
	showLog  = flag.Bool("node.log", false, "print the last events of a failing case")
	logLines = flag.Int("node.loglines", 400, "how many events -node.log prints")
)

// TestMain fixes the seed. Longer runs: go test -rapid.checks=5000 -rapid.seed=7.
func TestMain(m *testing.M) { os.Exit(objecttest.Main(m, 60)) }

// testCase runs the actions and returns the first broken promise.
func testCase(seed uint64, machines int, list []action) *world {
	w := newWorld(seed, machines, nil)
	for _, a := range list {
		w.logf("%s", a)
		if w.broken == "" {
			actions[a.name](w, a.a, a.b)
			w.run(a.wait)
		}
	}
	if w.broken == "" {
		w.recover()
	}
	return w
}

// Guards against broken promises under faults, alone and together.
func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<20).Draw(t, "seed")
		machines := rapid.IntRange(3, 6).Draw(t, "machines")
		list := rapid.SliceOfN(rapid.Custom(drawAction), 1, 40).Draw(t, "actions")
		if w := testCase(seed, machines, list); w.broken != "" {
			t.Fatalf("%s\ncase: {%d, %d, %q}\n%s", w.broken, seed, machines, format(list), w.log())
		}
	})
}

// found are cases that broke a promise. The names say which failure each guards
// against.
var found = []struct {
	name     string
	seed     uint64
	machines int
	actions  string
}{}

// Guards against the return of failures that the stateful test found.
func TestFoundCases(t *testing.T) {
	for _, f := range found {
		t.Run(f.name, func(t *testing.T) {
			if w := testCase(f.seed, f.machines, parse(f.actions)); w.broken != "" {
				t.Errorf("%s\n%s", w.broken, w.log())
			}
		})
	}
}

var (
	oneSeed     = flag.Uint64("node.seed", 0, "seed of the case in -node.case")
	oneMachines = flag.Int("node.machines", 3, "instances of the case in -node.case")
	oneCase     = flag.String("node.case", "", "actions of one case to run, as a failing test prints them")
)

// TestOneCase runs the case of the flags, to look into a failure.
func TestOneCase(t *testing.T) {
	if *oneCase == "" {
		t.Skip("needs -node.case")
	}
	if w := testCase(*oneSeed, *oneMachines, parse(*oneCase)); w.broken != "" {
		t.Errorf("%s\n%s", w.broken, w.log())
	}
}
