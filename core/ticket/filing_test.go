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

type filer struct {
	*ticket.Filing
	ticket  ticket.Ticket
	call    ticket.Command // outstanding, or nil
	replica int
}

type fleet struct {
	now         clock.Time
	store       *objecttest.Store
	logs        [3]*ticket.Log
	floor       [3]ticket.Number // highest number seen in force since the replica started
	filers      []*filer
	filings     int
	accepted    map[ticket.Number]ticket.FilingID
	notFiled    map[ticket.FilingID]bool
	reference   *ticket.Log
	checkpoints [][]byte
	stored      []ticket.Ticket // decoded once; a ticket in the store never changes
}

func (f *fleet) handle(t *rapid.T, fl *filer, commands []ticket.Command) {
	for _, c := range commands {
		finish, ok := c.(ticket.Finish)
		if !ok {
			fl.call = c
			continue
		}
		f.filers = slices.DeleteFunc(f.filers, func(x *filer) bool { return x == fl })
		stored := f.filingAt(t, fl.ticket.Number)
		var conflict *ticket.ConflictError
		var unavailable *ticket.UnavailableError
		switch {
		case finish.Err == nil:
			if first, taken := f.accepted[fl.ticket.Number]; taken && first != fl.ticket.FilingID {
				t.Fatalf("ticket %d accepted for %s and %s", fl.ticket.Number, first, fl.ticket.FilingID)
			}
			f.accepted[fl.ticket.Number] = fl.ticket.FilingID
		case errors.As(finish.Err, &conflict):
			if conflict.Winner != stored || stored == fl.ticket.FilingID {
				t.Fatalf("%s lost to %q, but the store holds %q", fl.ticket.FilingID, conflict.Winner, stored)
			}
			f.notFiled[fl.ticket.FilingID] = true
		case errors.As(finish.Err, &unavailable):
			f.notFiled[fl.ticket.FilingID] = !unavailable.Unknown
		default:
			t.Fatalf("filing ended with %v", finish.Err)
		}
	}
}

func (f *fleet) filingAt(t *rapid.T, n ticket.Number) ticket.FilingID {
	var stored struct{ FilingID ticket.FilingID }
	if value := f.store.Get(ticket.Key(n)).Value; value != nil {
		if err := json.Unmarshal(value, &stored); err != nil {
			t.Fatalf("stored ticket %d: %v", n, err)
		}
	}
	return stored.FilingID
}

func (f *fleet) file(t *rapid.T) {
	r := rapid.IntRange(0, 2).Draw(t, "replica")
	f.filings++
	id := ticket.FilingID(fmt.Sprintf("f%d", f.filings))
	zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
	changes := []ticket.Change{
		{Scope: ticket.Scope{Kind: ticket.KindTuning}, Value: ticket.Tuning{MaxBatch: 1 + f.filings%99}},
		{Scope: ticket.Scope{Kind: ticket.KindZone, ID: zone}, Value: ticket.Zone{Region: "r", State: rapid.SampledFrom([]ticket.ZoneState{"in", "out"}).Draw(t, "state")}},
	}
	draft, err := f.logs[r].Draft(id, "ada", int64(f.now), true, changes)
	if err != nil {
		t.Fatalf("draft: %v", err)
	}
	fl := &filer{Filing: ticket.NewFiling(draft, ticket.WithTimeout(2*clock.Second)), ticket: draft, replica: r}
	f.filers = append(f.filers, fl)
	f.handle(t, fl, fl.Start(f.now))
}

// settle completes one outstanding call with a fault of its own.
func (f *fleet) settle(t *rapid.T) {
	if len(f.filers) == 0 {
		t.Skip("no filing")
	}
	fl := rapid.SampledFrom(f.filers).Draw(t, "filing")
	fault := rapid.SampledFrom(objecttest.Faults).Draw(t, "fault")
	call := fl.call
	fl.call = nil
	switch c := call.(type) {
	case ticket.ReadObject:
		f.handle(t, fl, fl.ReadDone(f.now, f.store.Read(c.Key, fault)))
	case ticket.WriteObject:
		f.handle(t, fl, fl.WriteDone(f.now, f.store.Write(c.Key, c.Expect, c.Value, fault)))
	}
}

func (f *fleet) land(t *rapid.T) {
	if f.store.Delayed() == 0 {
		t.Skip("nothing under way")
	}
	f.store.Deliver(rapid.IntRange(0, f.store.Delayed()-1).Draw(t, "write"))
}

func (f *fleet) tick(t *rapid.T) {
	f.now = f.now.Add(clock.Duration(rapid.IntRange(1, 700).Draw(t, "ms")))
	for _, fl := range slices.Clone(f.filers) {
		f.handle(t, fl, fl.Tick(f.now))
	}
}

// sync brings one replica forward from the store or from a peer, and delivers
// an older ticket again.
func (f *fleet) sync(t *rapid.T) {
	l := f.logs[rapid.IntRange(0, 2).Draw(t, "replica")]
	if rapid.Bool().Draw(t, "fromPeer") {
		peer := f.logs[rapid.IntRange(0, 2).Draw(t, "peer")]
		m, err := peer.Answer(message.TicketsRequest{After: l.Number()})
		if err == nil {
			err = l.Receive(m)
		}
		if err != nil {
			t.Fatalf("peer: %v", err)
		}
	}
	for _, n := range []ticket.Number{l.Number() / 2, l.Number() + 1} {
		if value := f.store.Get(ticket.Key(n)).Value; value != nil && !f.store.Down {
			if err := l.Receive(message.Tickets{Tickets: [][]byte{value}}); err != nil {
				t.Fatalf("ticket %d of the store: %v", n, err)
			}
		}
	}
}

// restart loses a replica's memory; one of its filings is resumed.
func (f *fleet) restart(t *rapid.T) {
	r := rapid.IntRange(0, 2).Draw(t, "replica")
	l := ticket.NewLog()
	if data, err := ticket.EncodeCheckpoint(f.logs[(r+1)%3].State()); err == nil && rapid.Bool().Draw(t, "checkpoint") {
		if err := l.Receive(message.Tickets{Checkpoint: data}); err != nil {
			t.Fatalf("checkpoint: %v", err)
		}
	}
	f.logs[r] = l
	f.floor[r] = 0
	var lost []*filer
	f.filers = slices.DeleteFunc(f.filers, func(fl *filer) bool {
		if fl.replica == r {
			lost = append(lost, fl)
		}
		return fl.replica == r
	})
	if len(lost) > 0 {
		fl := &filer{Filing: ticket.NewFiling(lost[0].ticket, ticket.WithTimeout(2*clock.Second)), ticket: lost[0].ticket, replica: r}
		f.filers = append(f.filers, fl)
		f.handle(t, fl, fl.Resume(f.now))
	}
}

// checkpoint stores a replica's state, and gives any earlier checkpoint to one.
func (f *fleet) checkpoint(t *rapid.T) {
	data, err := ticket.EncodeCheckpoint(f.logs[rapid.IntRange(0, 2).Draw(t, "from")].State())
	if err != nil {
		t.Fatalf("checkpoint: %v", err)
	}
	f.checkpoints = append(f.checkpoints, data)
	m := message.Tickets{Checkpoint: rapid.SampledFrom(f.checkpoints).Draw(t, "checkpoint")}
	if err := f.logs[rapid.IntRange(0, 2).Draw(t, "to")].Receive(m); err != nil {
		t.Fatalf("checkpoint: %v", err)
	}
}

func (f *fleet) check(t *rapid.T) {
	for {
		n := f.reference.Number() + 1
		value := f.store.Get(ticket.Key(n)).Value
		if value == nil {
			break
		}
		if err := f.reference.Receive(message.Tickets{Tickets: [][]byte{value}}); err != nil {
			t.Fatalf("reference fold: %v", err)
		}
	}
	for n, id := range f.accepted {
		if got := f.filingAt(t, n); got != id {
			t.Fatalf("ticket %d was accepted for %s, but the store holds %q", n, id, got)
		}
	}
	for n := ticket.Number(1); n <= f.reference.Number(); n++ {
		if id := f.filingAt(t, n); f.notFiled[id] {
			t.Fatalf("%s was reported as not filed and is ticket %d", id, n)
		}
	}
	for r, l := range f.logs {
		if l.Number() < f.floor[r] {
			t.Fatalf("replica %d went back from ticket %d to %d", r, f.floor[r], l.Number())
		}
		f.floor[r] = l.Number()
		f.compare(t, r, l)
	}
}

// compare folds the store's tickets independently of Log.
func (f *fleet) compare(t *rapid.T, r int, l *ticket.Log) {
	want := map[string]ticket.Value{}
	numbers := map[string]ticket.Number{}
	for n := ticket.Number(1); n <= l.Number(); n++ {
		if int(n) > len(f.stored) {
			stored, err := ticket.Decode(f.store.Get(ticket.Key(n)).Value)
			if err != nil {
				t.Fatalf("replica %d is at ticket %d, and ticket %d is: %v", r, l.Number(), n, err)
			}
			f.stored = append(f.stored, stored)
		}
		for _, c := range f.stored[n-1].Changes {
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

// Guards against two accepted tickets with one number, an accepted ticket that
// is not in the log, a loser that is told the wrong winner, a ticket reported
// as not filed that is in the log, and replicas that differ or go back.
func TestFilingsAndReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			now: 1, store: objecttest.NewStore(), accepted: map[ticket.Number]ticket.FilingID{},
			notFiled: map[ticket.FilingID]bool{}, reference: ticket.NewLog(),
		}
		for r := range f.logs {
			f.logs[r] = ticket.NewLog()
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        f.check,
			"file":    f.file,
			"settle":  f.settle,
			"settle2": f.settle,
			"settle3": f.settle,
			"land":    f.land,
			"tick":    f.tick,
			"sync":    f.sync,
			"sync2":   f.sync,
			"restart": f.restart,
			"stale":   f.checkpoint,
			"store":   func(*rapid.T) { f.store.Down = !f.store.Down },
		})
		f.finishAll(t)
	})
}

// finishAll lets every delayed write arrive and every filing end.
func (f *fleet) finishAll(t *rapid.T) {
	for _, fl := range f.filers {
		if wake := fl.NextWake(); wake == 0 || wake > f.now.Add(2*clock.Second) {
			t.Fatalf("%s: the next tick is at %d, now is %d", fl.ticket.FilingID, wake, f.now)
		}
	}
	for f.store.Delayed() > 0 {
		f.store.Deliver(0)
	}
	f.check(t)
	f.now = f.now.Add(clock.Minute)
	for _, fl := range slices.Clone(f.filers) {
		f.handle(t, fl, fl.Tick(f.now))
	}
	if len(f.filers) > 0 {
		t.Fatalf("%d filings did not end at their deadline", len(f.filers))
	}
	f.check(t)
}

// Guards against a store value of another kind being taken for a winner's name.
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
