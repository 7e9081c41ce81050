package ticket_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/object/objecttest"
	"knapweedstall/core/ticket"
)

// filer is a filing in progress at one replica.
type filer struct {
	*ticket.Filing
	ticket  ticket.Ticket
	call    ticket.Command // outstanding store call, or nil
	replica int
}

// simulation is a model of three replicas of the log, the store and the filings.
type simulation struct {
	now         clock.Time
	store       *objecttest.Store
	logs        [3]*ticket.Log
	highest     [3]ticket.Number // highest number applied since the replica started
	filers      []*filer
	filings     int
	accepted    map[ticket.Number]ticket.FilingID
	notFiled    map[ticket.FilingID]bool
	reference   *ticket.Log
	checkpoints [][]byte
	stored      []ticket.Ticket // decoded once; a ticket in the store never changes
}

func (sim *simulation) handle(t *rapid.T, fl *filer, commands []ticket.Command) {
	for _, c := range commands {
		finish, ok := c.(ticket.Finish)
		if !ok {
			fl.call = c
			continue
		}
		sim.filers = slices.DeleteFunc(sim.filers, func(x *filer) bool { return x == fl })
		stored := sim.filingAt(t, fl.ticket.Number)
		var conflict *ticket.ConflictError
		var unavailable *ticket.UnavailableError
		switch {
		case finish.Err == nil:
			if first, taken := sim.accepted[fl.ticket.Number]; taken && first != fl.ticket.FilingID {
				t.Fatalf("ticket %d accepted for %s and %s", fl.ticket.Number, first, fl.ticket.FilingID)
			}
			sim.accepted[fl.ticket.Number] = fl.ticket.FilingID
		case errors.As(finish.Err, &conflict):
			if conflict.Winner != stored || stored == fl.ticket.FilingID {
				t.Fatalf("%s lost to %q, but the store holds %q", fl.ticket.FilingID, conflict.Winner, stored)
			}
			sim.notFiled[fl.ticket.FilingID] = true
		case errors.As(finish.Err, &unavailable):
			sim.notFiled[fl.ticket.FilingID] = !unavailable.Unknown
		default:
			t.Fatalf("filing ended with %v", finish.Err)
		}
	}
}

func (sim *simulation) filingAt(t *rapid.T, n ticket.Number) ticket.FilingID {
	var stored struct{ FilingID ticket.FilingID }
	if value := sim.store.Get(ticket.Key(n)).Value; value != nil {
		if err := json.Unmarshal(value, &stored); err != nil {
			t.Fatalf("stored ticket %d: %v", n, err)
		}
	}
	return stored.FilingID
}

func (sim *simulation) startFiling(t *rapid.T) {
	r := rapid.IntRange(0, 2).Draw(t, "replica")
	sim.filings++
	id := ticket.FilingID(fmt.Sprintf("f%d", sim.filings))
	zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
	changes := []ticket.Change{
		{Scope: ticket.Scope{Kind: ticket.KindTuning}, Value: ticket.Tuning{MaxBatch: 1 + sim.filings%99}},
		{Scope: ticket.Scope{Kind: ticket.KindZone, ID: zone}, Value: ticket.Zone{Region: "r", State: rapid.SampledFrom([]ticket.ZoneState{"in", "out"}).Draw(t, "state")}},
	}
	draft, err := sim.logs[r].Draft(id, "ada", int64(sim.now), true, changes)
	if err != nil {
		t.Fatalf("draft: %v", err)
	}
	fl := &filer{Filing: ticket.NewFiling(draft, ticket.WithTimeout(2*clock.Second)), ticket: draft, replica: r}
	sim.filers = append(sim.filers, fl)
	sim.handle(t, fl, fl.Start(sim.now))
}

// serveCall completes one outstanding store call with a fault drawn for it.
func (sim *simulation) serveCall(t *rapid.T) {
	if len(sim.filers) == 0 {
		t.Skip("no filing")
	}
	fl := rapid.SampledFrom(sim.filers).Draw(t, "filing")
	fault := rapid.SampledFrom(objecttest.Faults).Draw(t, "fault")
	call := fl.call
	fl.call = nil
	switch c := call.(type) {
	case ticket.ReadObject:
		sim.handle(t, fl, fl.ReadDone(sim.now, sim.store.Read(c.Key, fault)))
	case ticket.WriteObject:
		sim.handle(t, fl, fl.WriteDone(sim.now, sim.store.Write(c.Key, c.Expect, c.Value, fault)))
	}
}

func (sim *simulation) deliverWrite(t *rapid.T) {
	if sim.store.Delayed() == 0 {
		t.Skip("no delayed write")
	}
	sim.store.Deliver(rapid.IntRange(0, sim.store.Delayed()-1).Draw(t, "write"))
}

func (sim *simulation) tick(t *rapid.T) {
	sim.now = sim.now.Add(clock.Duration(rapid.IntRange(1, 700).Draw(t, "ms")))
	for _, fl := range slices.Clone(sim.filers) {
		sim.handle(t, fl, fl.Tick(sim.now))
	}
}

// sync sends one replica newer tickets from the store or from a peer, and an older
// ticket again.
func (sim *simulation) sync(t *rapid.T) {
	l := sim.logs[rapid.IntRange(0, 2).Draw(t, "replica")]
	if rapid.Bool().Draw(t, "fromPeer") {
		peer := sim.logs[rapid.IntRange(0, 2).Draw(t, "peer")]
		m, err := peer.Answer(message.TicketsRequest{After: l.Number()})
		if err == nil {
			err = l.Receive(m)
		}
		if err != nil {
			t.Fatalf("peer: %v", err)
		}
	}
	for _, n := range []ticket.Number{l.Number() / 2, l.Number() + 1} {
		if value := sim.store.Get(ticket.Key(n)).Value; value != nil && !sim.store.Down {
			if err := l.Receive(message.Tickets{Tickets: [][]byte{value}}); err != nil {
				t.Fatalf("ticket %d of the store: %v", n, err)
			}
		}
	}
}

// restart replaces a replica by one with an empty log or a checkpoint of another
// replica, and resumes one of its filings.
func (sim *simulation) restart(t *rapid.T) {
	r := rapid.IntRange(0, 2).Draw(t, "replica")
	l := ticket.NewLog()
	if data, err := ticket.EncodeCheckpoint(sim.logs[(r+1)%3].State()); err == nil && rapid.Bool().Draw(t, "checkpoint") {
		if err := l.Receive(message.Tickets{Checkpoint: data}); err != nil {
			t.Fatalf("checkpoint: %v", err)
		}
	}
	sim.logs[r] = l
	sim.highest[r] = 0
	var lost []*filer
	sim.filers = slices.DeleteFunc(sim.filers, func(fl *filer) bool {
		if fl.replica == r {
			lost = append(lost, fl)
		}
		return fl.replica == r
	})
	if len(lost) > 0 {
		fl := &filer{Filing: ticket.NewFiling(lost[0].ticket, ticket.WithTimeout(2*clock.Second)), ticket: lost[0].ticket, replica: r}
		sim.filers = append(sim.filers, fl)
		sim.handle(t, fl, fl.Resume(sim.now))
	}
}

// checkpoint encodes the state of a replica, and sends any checkpoint made so far
// to a replica.
func (sim *simulation) checkpoint(t *rapid.T) {
	data, err := ticket.EncodeCheckpoint(sim.logs[rapid.IntRange(0, 2).Draw(t, "from")].State())
	if err != nil {
		t.Fatalf("checkpoint: %v", err)
	}
	sim.checkpoints = append(sim.checkpoints, data)
	m := message.Tickets{Checkpoint: rapid.SampledFrom(sim.checkpoints).Draw(t, "checkpoint")}
	if err := sim.logs[rapid.IntRange(0, 2).Draw(t, "to")].Receive(m); err != nil {
		t.Fatalf("checkpoint: %v", err)
	}
}

// checkInvariants checks the log in the store, the reported outcomes and the
// replicas after each step.
func (sim *simulation) checkInvariants(t *rapid.T) {
	for {
		n := sim.reference.Number() + 1
		value := sim.store.Get(ticket.Key(n)).Value
		if value == nil {
			break
		}
		if err := sim.reference.Receive(message.Tickets{Tickets: [][]byte{value}}); err != nil {
			t.Fatalf("reference log: %v", err)
		}
	}
	for n, id := range sim.accepted {
		if got := sim.filingAt(t, n); got != id {
			t.Fatalf("ticket %d was accepted for %s, but the store holds %q", n, id, got)
		}
	}
	for n := ticket.Number(1); n <= sim.reference.Number(); n++ {
		if id := sim.filingAt(t, n); sim.notFiled[id] {
			t.Fatalf("%s was reported as not filed and is ticket %d", id, n)
		}
	}
	for r, l := range sim.logs {
		if l.Number() < sim.highest[r] {
			t.Fatalf("replica %d went backwards from ticket %d to %d", r, sim.highest[r], l.Number())
		}
		sim.highest[r] = l.Number()
		sim.compareWithStore(t, r, l)
	}
}

// compareWithStore applies the tickets in the store independently of Log and
// compares the result with the state of a replica.
func (sim *simulation) compareWithStore(t *rapid.T, r int, l *ticket.Log) {
	want := map[string]ticket.Value{}
	numbers := map[string]ticket.Number{}
	for n := ticket.Number(1); n <= l.Number(); n++ {
		if int(n) > len(sim.stored) {
			stored, err := ticket.Decode(sim.store.Get(ticket.Key(n)).Value)
			if err != nil {
				t.Fatalf("replica %d is at ticket %d, and ticket %d is: %v", r, l.Number(), n, err)
			}
			sim.stored = append(sim.stored, stored)
		}
		for _, c := range sim.stored[n-1].Changes {
			want[c.Scope.String()] = c.Value
			numbers[c.Scope.String()] = n
		}
	}
	got := map[string]ticket.Value{}
	gotNumbers := map[string]ticket.Number{}
	for _, scope := range l.State().Scopes() {
		got[scope.String()] = l.State().Value(scope)
		gotNumbers[scope.String()] = l.State().ScopeNumber(scope)
	}
	if !reflect.DeepEqual(want, got) || !reflect.DeepEqual(numbers, gotNumbers) {
		t.Fatalf("replica %d at ticket %d (-store +replica):\n%s", r, l.Number(), cmp.Diff(want, got)+cmp.Diff(numbers, gotNumbers))
	}
}

// TestFilingsAndReplicas guards against two accepted tickets with one number, an
// accepted ticket that is not in the log, a conflict reported with the wrong winner,
// a ticket reported as not filed that is in the log, and replicas that differ or go
// backwards.
func TestFilingsAndReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{
			now: 1, store: objecttest.NewStore(), accepted: map[ticket.Number]ticket.FilingID{},
			notFiled: map[ticket.FilingID]bool{}, reference: ticket.NewLog(),
		}
		for r := range sim.logs {
			sim.logs[r] = ticket.NewLog()
		}
		t.Repeat(map[string]func(*rapid.T){
			"":                sim.checkInvariants,
			"file":            sim.startFiling,
			"serveCall":       sim.serveCall,
			"serveCall2":      sim.serveCall,
			"serveCall3":      sim.serveCall,
			"lateWrite":       sim.deliverWrite,
			"tick":            sim.tick,
			"sync":            sim.sync,
			"sync2":           sim.sync,
			"restart":         sim.restart,
			"staleCheckpoint": sim.checkpoint,
			"store":           func(*rapid.T) { sim.store.Down = !sim.store.Down },
		})
		sim.finishAll(t)
	})
}

// finishAll lets every delayed write arrive and every filing end.
func (sim *simulation) finishAll(t *rapid.T) {
	for _, fl := range sim.filers {
		if wake := fl.NextWake(); wake == 0 || wake > sim.now.Add(2*clock.Second) {
			t.Fatalf("%s: the next tick is at %d, now is %d", fl.ticket.FilingID, wake, sim.now)
		}
	}
	for sim.store.Delayed() > 0 {
		sim.store.Deliver(0)
	}
	sim.checkInvariants(t)
	sim.now = sim.now.Add(clock.Minute)
	for _, fl := range slices.Clone(sim.filers) {
		sim.handle(t, fl, fl.Tick(sim.now))
	}
	if len(sim.filers) > 0 {
		t.Fatalf("%d filings did not end at their deadline", len(sim.filers))
	}
	sim.checkInvariants(t)
}

// TestConflictWithUnreadableTicket guards against a conflict that reports a winner
// although the stored value is not a ticket.
func TestConflictWithUnreadableTicket(t *testing.T) {
	f := ticket.NewFiling(ticket.Ticket{Number: 4, FilingID: "mine"})
	f.Start(1)
	f.WriteDone(2, object.WriteResult{Status: object.Conflict})
	got := f.ReadDone(3, object.ReadResult{Known: true, Version: 1, Value: []byte("x")})
	want := []ticket.Command{ticket.Finish{Ticket: ticket.Ticket{Number: 4, FilingID: "mine"}, Err: &ticket.ConflictError{Number: 4}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("commands (-want +got):\n%s", diff)
	}
}
