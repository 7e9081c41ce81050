// Command standin3 plays the cases 11 to 15 of the review with processes of the system
// under review and with stand-ins of its clients, its servers and its platform.
//
//	standin3 CASE ROOT RECORD
//
// ROOT is the root of the repository and RECORD the file that gets what was sent, answered
// and run. With TROUBLE=0 in the environment, the case is played without the disruption.
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is what a case starts.
type world struct {
	root, dir string
	rec       *record
	trouble   bool
	store     *store
	instances []*instance
	// newInstance returns an instance that has not been started.
	newInstance func(name, zone string) *instance
}

// errNotRun tells why a case could not run.
type errNotRun struct{ detail string }

func (e errNotRun) Error() string { return e.detail }

// check ends the case as not run if err is not nil.
func check(err error) {
	if err != nil {
		panic(errNotRun{err.Error()})
	}
}

// cases returns whether the rule held.
var cases = map[string]func(w *world) bool{
	"cold":     coldCase,
	"restart":  restartCase,
	"limits":   limitsCase,
	"poison":   poisonCase,
	"replaced": replacedCase,
	"cut":      cutCase,
}

func main() {
	runtime.LockOSThread() // instances end with the thread that has started them
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE ROOT RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("kept", dir)
		}
	}()
	w := &world{root: os.Args[2], dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	w.newInstance = func(name, zone string) *instance {
		return newInstance(w.root, w.dir, name, zone, w.store.address())
	}
	defer func() {
		for _, in := range w.instances {
			in.kill()
		}
		if cause := recover(); cause != nil {
			notRun, ok := cause.(errNotRun)
			if !ok {
				panic(cause)
			}
			w.say("the case could not run: %v", notRun)
			code = exitNotRun
		}
	}()
	if cases[os.Args[1]](w) {
		w.say("the rule held")
		return exitHeld
	}
	w.say("the rule was broken")
	return exitBroken
}

// say writes a line to the record and to the standard output.
func (w *world) say(format string, args ...any) {
	w.rec.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// maxSeeds is the number of machines that the settings name as seeds.
const maxSeeds = 3

// startInstances starts one instance in each zone, as at the first start of the system, and
// waits until all are ready.
func (w *world) startInstances(zones ...string) {
	var seeds []string
	for n, zone := range zones {
		in := w.newInstance(fmt.Sprintf("frontend-%s-%d", zone, n+1), zone)
		w.instances = append(w.instances, in)
		seeds = append(seeds, in.peers)
	}
	seeds = seeds[:min(len(seeds), maxSeeds)]
	for _, in := range w.instances {
		check(in.start(seeds, true))
	}
	for _, in := range w.instances {
		if !in.awaitReady(15 * time.Second) {
			panic(errNotRun{"instance " + in.name + " is not ready"})
		}
	}
}
