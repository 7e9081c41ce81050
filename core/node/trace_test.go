package node_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
	"knapweedstall/core/trace"
)

var recordTrace = flag.Bool("node.record", false, "record testdata/run.trace again")

// recordedTrace is the trace of one process.
type recordedTrace struct {
	bytes.Buffer
	recorder *trace.Recorder[node.Event, node.Command]
}

// recordTraces returns a function that makes a simulation record the trace of each
// process, and the list of these traces.
func recordTraces(t *testing.T) (func(*proc) trace.Machine[node.Event, node.Command], *[]*recordedTrace) {
	var all []*recordedTrace
	return func(p *proc) trace.Machine[node.Event, node.Command] {
		r := &recordedTrace{}
		var err error
		if r.recorder, err = node.Record(&r.Buffer, p.node); err != nil {
			t.Fatal(err)
		}
		all = append(all, r)
		return r.recorder
	}, &all
}

// Guards against commands that depend on more than the events and the seed, and
// against events and commands that a trace does not record completely.
func TestReplayGivesTheSameCommands(t *testing.T) {
	wrap, all := recordTraces(t)
	sim := newSimulation(5, 4, wrap)
	sim.generateTraffic()
	for _, a := range parseActions("run.0.0.5 conflict.0.1.600 crash.2.0.30 isolate.1.1.1700 snapshot.2.0.0 retire.2.0.200 stop.3.0.600 pause.0.5.30 " +
		"storeLoses.0.1.0 leave.2.1.600 storeDown.0.1.0 leave.0.2.1700 storeDown.0.0.600 restart.2.0.3500 isolate.1.0.6000") {
		actions[a.name](sim, a.first, a.second)
		sim.run(a.wait)
	}
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
	for i, r := range *all {
		if err := r.recorder.Close(); err != nil {
			t.Fatal(err)
		}
		steps, err := node.Replay(&r.Buffer)
		if err != nil || steps != r.recorder.Steps() || steps < 100 {
			t.Errorf("trace %d: replayed %d of %d steps: %v", i, steps, r.recorder.Steps(), err)
		}
	}
	if len(*all) != 5 {
		t.Errorf("got %d traces, want 5", len(*all))
	}
}

// Guards against an event, command or message that cannot be recorded because its
// type is not registered.
func TestEveryTypeIsRegistered(t *testing.T) {
	for _, c := range []struct{ files, method, in string }{
		{"event.go", "event", "trace.go"}, {"command.go", "command", "trace.go"}, {"../message/*.go", "PeerMessage", "wire.go"},
	} {
		files, _ := filepath.Glob(c.files)
		registered, err := os.ReadFile(c.in)
		if err != nil || len(files) == 0 {
			t.Fatal(files, err)
		}
		found := 0
		for _, file := range files {
			text, _ := os.ReadFile(file)
			for _, m := range regexp.MustCompile(`(?m)^func \((?:\w+ )?(\w+)\) `+c.method+`\(\)`).FindAllSubmatch(text, -1) {
				found++
				if !regexp.MustCompile(`trace\.Register\[(message\.)?` + string(m[1]) + `\],`).Match(registered) {
					t.Errorf("%s of %s is not registered in %s", m[1], file, c.in)
				}
			}
		}
		if found < 10 {
			t.Errorf("found only %d types in %s, want at least 10", found, c.files)
		}
	}
}

// Guards against errors and messages that differ after they are encoded and
// decoded.
func TestTraceFormsRoundTrip(t *testing.T) {
	for _, err := range []error{
		nil, &ticket.FaultError{Path: "p", Code: ticket.FaultRange, Detail: "d"}, &ticket.GapError{InForce: 1, Got: 3},
		&ticket.FaultsError{Faults: []*ticket.FaultError{
			{Scope: ticket.Scope{Kind: ticket.KindZone, ID: "z"}, Path: "p", Code: ticket.FaultRange}, {Path: "q", Code: ticket.FaultMissing},
		}},
		&ticket.AlreadyFiledError{FilingID: "f", Number: 2}, &ticket.ConflictError{Number: 2, Winner: "w", WinnerOperator: "o"},
		&ticket.UnavailableError{Number: 2, Unknown: true},
	} {
		want := node.AnswerTicket{Call: 1, Ticket: ticket.Ticket{Number: 2, FilingID: "f", Operator: "o"}, Err: err}
		var got node.AnswerTicket
		if e := json.Unmarshal(encode(want), &got); e != nil || !cmp.Equal(want, got) {
			t.Errorf("%v: %s", e, cmp.Diff(want, got))
		}
	}
	want := node.PeerReceived{From: topology.InstanceRef{ID: "i", Incarnation: 7}, Bodies: []message.Body{message.Announce{}, message.CancelSub{}}}
	var got node.PeerReceived
	if e := json.Unmarshal(encode(want), &got); e != nil || !cmp.Equal(want, got) {
		t.Errorf("%v: %s", e, cmp.Diff(want, got))
	}
	var setup *node.SetupError
	other := `{"format":"knapweedstall-trace","version":1,"machine":"query"}` + "\n"
	if _, err := node.Replay(strings.NewReader(other)); !errors.As(err, &setup) {
		t.Errorf("replay of the trace of another machine returned %v", err)
	}
}

// recordScenario returns the trace of a single instance: queries before and after
// the crash of both targets of a service, a run request and its resend, tickets,
// and a run request while the store is down.
func recordScenario(t *testing.T) []byte {
	wrap, all := recordTraces(t)
	sim := newSimulation(3, 1, wrap)
	sim.search(0, 0, "first")
	sim.run(100)
	sim.targets[0].crash()
	sim.targets[1].crash()
	sim.search(0, 1, "crashed")
	sim.run(3 * clock.Second)
	sim.submitRun(0, 0, 1)
	sim.run(300)
	sim.submitRun(0, 0, 1)
	sim.run(100)
	sim.fileTicket(0, 0, zoneChange(0, ticket.ZoneOut))
	sim.run(200)
	sim.fileTicket(0, 2, zoneChange(1, ticket.ZoneOut))
	sim.run(200)
	sim.search(0, 1, "after the zone went out")
	sim.run(100)
	sim.platform.down = true
	sim.submitRun(0, 0, 2)
	sim.run(1200)
	if sim.violation != "" || (*all)[0].recorder.Close() != nil {
		t.Fatal(sim.violation, (*all)[0].recorder.Err())
	}
	return (*all)[0].Bytes()
}

// Guards against changes in the commands that an instance returns for the events
// of a recorded scenario. After an intended change, -node.record records the
// trace again; the outcomes must stay the same.
func TestRecordedTraceKeepsItsOutcomes(t *testing.T) {
	path := filepath.Join("testdata", "run.trace")
	if *recordTrace {
		if err := os.WriteFile(path, recordScenario(t), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if steps, err := node.Replay(bytes.NewReader(data)); err != nil || steps < 100 {
		t.Errorf("replayed %d steps, want at least 100: %v", steps, err)
	}
	want := []string{
		"1 answered 6 of 6 from v1, missing []",
		"2 answered 4 of 6 from v1, missing [{[sh2 sh4] shed}]",
		"3 run answered receipt b run1, recorded false",
		"4 run answered receipt b run1, recorded true",
		"5 ticket 2: <nil>",
		"6 ticket 2: ticket 2 was filed by op0 as f1",
		"7 answered 6 of 6 from v1, missing []",
		"8 run notRun , recorded false",
	}
	if diff := cmp.Diff(want, outcomes(t, data)); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// outcomes returns descriptions of the answers to callers and operators.
func outcomes(t *testing.T, data []byte) (out []string) {
	types, err := node.NewRegistry()
	if err != nil {
		t.Fatal(err)
	}
	r, err := trace.NewReader(bytes.NewReader(data), types)
	if err != nil {
		t.Fatal(err)
	}
	for {
		step, err := r.Next()
		if err == io.EOF {
			return slices.Clip(out)
		}
		if err != nil {
			t.Fatal(err)
		}
		commands, err := r.Commands(step)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range commands {
			switch c := c.(type) {
			case node.AnswerSearch:
				v := c.Answer.Coverage
				out = append(out, fmt.Sprintf("%d %s %d of %d from %s, missing %v", c.Call, c.Answer.Outcome, v.Answered, v.Total, c.Answer.Snapshot, v.Missing))
			case node.AnswerRun:
				out = append(out, fmt.Sprintf("%d run %s %s, recorded %v", c.Call, c.Outcome, c.Receipt, c.Recorded))
			case node.AnswerTicket:
				out = append(out, fmt.Sprintf("%d ticket %d: %v", c.Call, c.Ticket.Number, c.Err))
			case node.RefuseCall:
				out = append(out, fmt.Sprintf("%d refused %s", c.Call, c.Refusal))
			}
		}
	}
}
