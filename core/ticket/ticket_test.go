package ticket_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/message"
	"knapweedstall/core/object/objecttest"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

func TestMain(m *testing.M) { os.Exit(objecttest.Main(m, 300)) }

const (
	zoneMacon  = `{"scope":"zone/macon-yard","value":{"region":"ga-central","state":"in"}}`
	zoneWarner = `{"scope":"zone/warner-dock","value":{"region":"ga-central","state":"in"}}`
	dockdesk   = `{"scope":"collection/dockdesk","value":{"id":"dockdesk","services":[` + service + `]}}`
	service    = `{"id":"dd-0","region":"ga-central","targets":[` + target + `]}`
	target     = `{"id":"t0","address":"127.0.0.1:9001","zone":"macon-yard","slots":2,"connections":55}`
	snapshot   = `{"scope":"snapshot/dockdesk","value":[{"id":"s1","shards":{"dd-0":["a","b"]}}]}`
	workspace  = `{"scope":"tenant/acme","value":{"weight":1,"collections":["dockdesk"]}}`
	tuning     = `{"scope":"tuning","value":{"hedging":true,"maxBatch":8,"canary":false}}`
)

var base = []string{zoneMacon, zoneWarner, dockdesk, snapshot, workspace, tuning}

func ticketJSON(number int, extra string, changes ...string) string {
	return fmt.Sprintf(`{"number":%d,"filingId":"f%d","operator":"ada","at":17%s,"changes":[%s]}`,
		number, number, extra, strings.Join(changes, ","))
}

func apply(l *ticket.Log, text string) error {
	t, err := ticket.Decode([]byte(text))
	if err != nil {
		return err
	}
	return l.Apply(t)
}

func baseLog(t testing.TB) *ticket.Log {
	t.Helper()
	l := ticket.NewLog()
	if err := apply(l, ticketJSON(1, "", base...)); err != nil {
		t.Fatalf("base ticket: %v", err)
	}
	return l
}

// TestFaults guards against a fault that passes validation or is reported with the
// wrong scope, path or code.
func TestFaults(t *testing.T) {
	sub := func(text, old, replacement string) string {
		out := strings.Replace(text, old, replacement, 1)
		if out == text {
			t.Fatalf("%q is not in %q", old, text)
		}
		return out
	}
	out := func(zone string) string { return sub(zone, `"in"`, `"out"`) }
	second := sub(sub(target, "t0", "t1"), "9001", "9002")
	other := sub(sub(dockdesk, "collection/dockdesk", "collection/x"), `"id":"dockdesk"`, `"id":"x"`)
	tests := []struct {
		name, ticket, scope, path string
		code                      ticket.FaultCode
	}{
		{"not JSON", `{`, "", "", ticket.FaultSyntax},
		{"trailing data", ticketJSON(2, "", tuning) + "1", "", "", ticket.FaultSyntax},
		{"unknown ticket field", ticketJSON(2, `,"note":1`, tuning), "", "note", ticket.FaultUnknownField},
		{"no changes", ticketJSON(2, ""), "", "changes", ticket.FaultMissing},
		{"no filing id", sub(ticketJSON(2, "", tuning), `"f2"`, `""`), "", "filingId", ticket.FaultMissing},
		{"no operator", sub(ticketJSON(2, "", tuning), "ada", ""), "", "operator", ticket.FaultMissing},
		{"unknown scope", ticketJSON(2, "", `{"scope":"moon/x","value":null}`), "", "changes[0].scope", ticket.FaultUnknownField},
		{"scope without id", ticketJSON(2, "", `{"scope":"zone/","value":null}`), "", "changes[0].scope", ticket.FaultSyntax},
		{"no value", ticketJSON(2, "", `{"scope":"tuning"}`), "tuning", "changes[0].value", ticket.FaultMissing},
		{"unknown value field", ticketJSON(2, "", sub(zoneMacon, "state", "stat")), "zone/macon-yard", "changes[0].value.state", ticket.FaultMissing},
		{"extra value field", ticketJSON(2, "", sub(zoneMacon, `"state"`, `"x":1,"state"`)), "zone/macon-yard", "changes[0].value.x", ticket.FaultUnknownField},
		{"partial tuning", ticketJSON(2, "", sub(tuning, `"hedging":true,`, "")), "tuning", "changes[0].value.hedging", ticket.FaultMissing},
		{"repeated key", ticketJSON(2, "", sub(snapshot, `"dd-0"`, `"dd-0":["c"],"dd-0"`)), "", "changes[0].value[0].shards.dd-0", ticket.FaultDuplicate},
		{"repeated key in another case", ticketJSON(2, "", sub(dockdesk, `"slots":2`, `"slots":2,"Slots":9`)), "", "changes[0].value.services[0].targets[0].Slots", ticket.FaultDuplicate},
		{"deep nesting", strings.Repeat("[", 99), "", strings.Repeat("[0]", 16), ticket.FaultSyntax},
		{"repeated scope", ticketJSON(2, "", tuning, tuning), "tuning", "changes[1].scope", ticket.FaultDuplicate},
		{"zone state", ticketJSON(2, "", sub(zoneMacon, `"in"`, `"half"`)), "zone/macon-yard", "value.state", ticket.FaultRange},
		{"batch size", ticketJSON(2, "", sub(tuning, "8", "0")), "tuning", "value.maxBatch", ticket.FaultRange},
		{"weight", ticketJSON(2, "", sub(workspace, `"weight":1`, `"weight":0`)), "tenant/acme", "value.weight", ticket.FaultRange},
		{"workspace's collection", ticketJSON(2, "", sub(workspace, "dockdesk", "nope")), "tenant/acme", "value.collections[0]", ticket.FaultNotFound},
		{"workspace's collection twice", ticketJSON(2, "", sub(workspace, `"dockdesk"`, `"dockdesk","dockdesk"`)), "tenant/acme", "value.collections[1]", ticket.FaultDuplicate},
		{"collection id", ticketJSON(2, "", sub(dockdesk, `"id":"dockdesk"`, `"id":"x"`)), "collection/dockdesk", "value.id", ticket.FaultMismatch},
		{"service twice", ticketJSON(2, "", sub(dockdesk, service, service+","+service)), "collection/dockdesk", "value.services[1].id", ticket.FaultDuplicate},
		{"service in two collections", ticketJSON(2, "", other), "collection/x", "value.services[0].id", ticket.FaultDuplicate},
		{"target twice", ticketJSON(2, "", sub(dockdesk, target, target+","+sub(second, "t1", "t0"))), "collection/dockdesk", "value.services[0].targets[1].id", ticket.FaultDuplicate},
		{"address twice", ticketJSON(2, "", sub(dockdesk, target, target+","+sub(second, "9002", "9001"))), "collection/dockdesk", "value.services[0].targets[1].address", ticket.FaultDuplicate},
		{"address", ticketJSON(2, "", sub(dockdesk, "127.0.0.1", "host")), "collection/dockdesk", "value.services[0].targets[0].address", ticket.FaultSyntax},
		{"slots", ticketJSON(2, "", sub(dockdesk, `"slots":2`, `"slots":0`)), "collection/dockdesk", "value.services[0].targets[0].slots", ticket.FaultRange},
		{"connections", ticketJSON(2, "", sub(dockdesk, "55", "1")), "collection/dockdesk", "value.services[0].targets[0].connections", ticket.FaultRange},
		{"zone of target", ticketJSON(2, "", sub(dockdesk, "macon-yard", "nowhere")), "collection/dockdesk", "value.services[0].targets[0].zone", ticket.FaultNotFound},
		{"region of target", ticketJSON(2, "", sub(dockdesk, "ga-central", "bzh-west")), "collection/dockdesk", "value.services[0].targets[0].zone", ticket.FaultMismatch},
		{"removal of a zone in use", ticketJSON(2, "", `{"scope":"zone/macon-yard","value":null}`), "collection/dockdesk", "value.services[0].targets[0].zone", ticket.FaultNotFound},
		{"snapshot twice", ticketJSON(2, "", sub(snapshot, "}]}", `},{"id":"s1","shards":{"dd-0":["a"]}}]}`)), "snapshot/dockdesk", "value[1].id", ticket.FaultDuplicate},
		{"shard twice", ticketJSON(2, "", sub(snapshot, `"b"`, `"a"`)), "snapshot/dockdesk", "value[0].shards.dd-0[1]", ticket.FaultDuplicate},
		{"service of snapshot", ticketJSON(2, "", sub(snapshot, "dd-0", "dd-9")), "snapshot/dockdesk", "value[0].shards.dd-9", ticket.FaultNotFound},
		{"service without shards", ticketJSON(2, "", sub(snapshot, `"a","b"`, "")), "snapshot/dockdesk", "value[0].shards.dd-0", ticket.FaultMissing},
		{"snapshot of no collection", ticketJSON(2, "", sub(snapshot, "dockdesk", "x")), "snapshot/x", "scope", ticket.FaultNotFound},
		{"last zone", ticketJSON(2, "", out(zoneMacon), out(zoneWarner)), "zone/macon-yard", "changes[0]", ticket.FaultForce},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := baseLog(t)
			var fault *ticket.FaultError
			if err := apply(l, tt.ticket); !errors.As(err, &fault) {
				t.Fatalf("got %v, want a fault", err)
			}
			got := []string{fault.Scope.String(), fault.Path, string(fault.Code)}
			if diff := cmp.Diff([]string{tt.scope, tt.path, string(tt.code)}, got); diff != "" {
				t.Errorf("fault %v (-want +got):\n%s", fault, diff)
			}
			if l.Number() != 1 {
				t.Errorf("number in force is %d after a faulty ticket", l.Number())
			}
		})
	}
}

// TestAllFaults guards against a check that reports only the first fault of a
// ticket, so that an operator learns of the next one only after correcting it.
func TestAllFaults(t *testing.T) {
	bad := strings.NewReplacer(`"slots":2`, `"slots":0`, "127.0.0.1", "host", `"in"`, `"half"`)
	err := apply(baseLog(t), ticketJSON(2, "", bad.Replace(zoneMacon), bad.Replace(dockdesk)))
	var got []string
	for _, fault := range ticket.FaultsOf(err) {
		got = append(got, fault.Scope.String()+" "+fault.Path)
	}
	want := []string{
		"collection/dockdesk value.services[0].targets[0].address",
		"collection/dockdesk value.services[0].targets[0].slots",
		"zone/macon-yard value.state",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("faults of %v (-want +got):\n%s", err, diff)
	}
	if got := ticket.FaultsOf(&ticket.GapError{}); len(got) > 0 {
		t.Errorf("another error has the faults %v", got)
	}
}

// TestForceTakesLastZoneOutOfService guards against an operator who cannot take a
// whole region out of service on purpose.
func TestForceTakesLastZoneOutOfService(t *testing.T) {
	l := baseLog(t)
	out := strings.Replace(zoneMacon+","+zoneWarner, `"in"`, `"out"`, 2)
	if err := apply(l, ticketJSON(2, `,"force":true`, out)); err != nil {
		t.Errorf("with force: %v", err)
	}
}

// TestSizeLimit guards against a ticket or a checkpoint that is too large for the
// store.
func TestSizeLimit(t *testing.T) {
	l := baseLog(t)
	value := ticket.Zone{Region: topology.RegionID(strings.Repeat("r", ticket.MaxObjectSize/2)), State: ticket.ZoneIn}
	change := func(id string) ticket.Change {
		return ticket.Change{Scope: ticket.Scope{Kind: ticket.KindZone, ID: id}, Value: value}
	}
	var fault *ticket.FaultError
	_, err := l.Draft("f2", "ada", 1, false, []ticket.Change{change("a"), change("b")})
	if !errors.As(err, &fault) || fault.Code != ticket.FaultSize {
		t.Errorf("oversized ticket: got %v, want a size fault", err)
	}
	for n, id := range []string{"a", "b"} {
		if err := l.Apply(ticket.Ticket{Number: ticket.Number(n + 2), FilingID: "f", Operator: "ada", Changes: []ticket.Change{change(id)}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err = ticket.EncodeCheckpoint(l.State()); !errors.As(err, &fault) || fault.Code != ticket.FaultSize {
		t.Errorf("oversized checkpoint: got %v, want a size fault", err)
	}
}

// TestAuditAndCheckpoint guards against an audit trail without the replaced values,
// and against a checkpoint that lacks a value or the number of a scope.
func TestAuditAndCheckpoint(t *testing.T) {
	l := baseLog(t)
	if err := apply(l, ticketJSON(3, "", tuning)); !errors.As(err, new(*ticket.GapError)) {
		t.Errorf("ticket 3 after 1: got %v, want a GapError", err)
	}
	if err := apply(l, ticketJSON(2, "", `{"scope":"tuning","value":null}`)); err != nil {
		t.Fatal(err)
	}
	audit := l.AuditRecords()
	want := ticket.AuditRecord{
		Number: 2, FilingID: "f2", Operator: "ada", At: 17, Scope: ticket.Scope{Kind: ticket.KindTuning},
		Before: ticket.Tuning{Hedging: true, MaxBatch: 8},
	}
	if diff := cmp.Diff(want, audit[len(audit)-1]); diff != "" {
		t.Errorf("audit record (-want +got):\n%s", diff)
	}
	data, err := ticket.EncodeCheckpoint(l.State())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ticket.DecodeCheckpoint(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(l.State(), s, cmp.AllowUnexported(ticket.State{})); diff != "" {
		t.Errorf("decoded checkpoint (-want +got):\n%s", diff)
	}
	if _, err := ticket.DecodeCheckpoint([]byte(strings.Replace(string(data), `"slots":2`, `"slots":0`, 1))); !errors.As(err, new(*ticket.FaultError)) {
		t.Errorf("checkpoint with a fault: got %v, want a fault", err)
	}
}

// TestPeerFarBehind guards against a lagging peer that gets tickets it cannot apply,
// a filing that is accepted twice after its operator retried, and an audit trail
// that depends on the tickets that a log retains.
func TestPeerFarBehind(t *testing.T) {
	l := baseLog(t)
	tickets := []ticket.Ticket{}
	for n := range 300 {
		draft, err := l.Draft(ticket.FilingID(fmt.Sprint("g", n)), "ada", 17, false, []ticket.Change{
			{Scope: ticket.Scope{Kind: ticket.KindTuning}, Value: ticket.Tuning{MaxBatch: 1 + n%9}},
		})
		if err == nil {
			err = l.Apply(draft)
		}
		if err != nil {
			t.Fatal(err)
		}
		tickets = append(tickets, draft)
	}
	var filed *ticket.AlreadyFiledError
	if _, err := l.Draft("g299", "ada", 17, false, tickets[0].Changes); !errors.As(err, &filed) || filed.Number != 301 {
		t.Errorf("second draft of a filing: %v", err)
	}
	m, err := l.Answer(message.TicketsRequest{After: 1})
	if err != nil || len(m.Checkpoint) == 0 {
		t.Fatalf("answer to a peer far behind: %+v, %v", m, err)
	}
	peer := baseLog(t)
	if err := peer.Receive(m); err != nil || peer.Number() != 301 || !l.CheckpointDue(251) || l.CheckpointDue(252) {
		t.Errorf("peer at ticket %d, %v", peer.Number(), err)
	}
	if diff := cmp.Diff(l.State(), peer.State(), cmp.AllowUnexported(ticket.State{})); diff != "" {
		t.Errorf("peer's state (-want +got):\n%s", diff)
	}
	trail, err := ticket.AuditTrail(baseLog(t).State(), tickets)
	if retained := l.AuditRecords(); err != nil || len(trail) != 300 || !cmp.Equal(retained, trail[len(trail)-len(retained):]) {
		t.Errorf("trail has %d records, %v", len(trail), err)
	}
}

// TestStateAccessors guards against accessors that return the value of another
// scope, or no tuning before one is set.
func TestStateAccessors(t *testing.T) {
	if got := ticket.NewState().Tuning(); got != ticket.DefaultTuning() {
		t.Errorf("tuning before any ticket: %+v", got)
	}
	s := baseLog(t).State()
	zone, _ := s.Zone("macon-yard")
	collection, _ := s.Collection("dockdesk")
	workspace, _ := s.Workspace("acme")
	got := []any{zone.Region, collection.Services[0].ID, len(s.Collections()), s.Snapshots("dockdesk")[0].ID, workspace.Weight, s.Tuning().Canary}
	want := []any{topology.RegionID("ga-central"), topology.ServiceID("dd-0"), 1, topology.SnapshotID("s1"), 1, false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("values (-want +got):\n%s", diff)
	}
}

// BenchmarkApply applies a tuning ticket to states of up to the design size: 3,900
// targets in 1,500 services, with 3 snapshots.
func BenchmarkApply(b *testing.B) {
	for _, services := range []int{150, 500, 1500} {
		b.Run(fmt.Sprintf("servers=%d", 3900*services/1500), func(b *testing.B) { benchmarkApply(b, services) })
	}
}

func benchmarkApply(b *testing.B, services int) {
	l := baseLog(b)
	c := ticket.Collection{Collection: topology.Collection{ID: "big"}}
	shards := map[topology.ServiceID][]topology.ShardID{}
	n := 0
	for i := range services {
		s := topology.Service{ID: topology.ServiceID(fmt.Sprintf("svc-%04d", i)), Region: "ga-central"}
		for n*1500 < 3900*(i+1) {
			address := fmt.Sprintf("10.0.%d.%d:80", n/250, n%250)
			s.Targets = append(s.Targets, topology.Target{ID: topology.TargetID(fmt.Sprintf("t%04d", n)), Address: address, Zone: "macon-yard", Slots: 2, Connections: 55})
			n++
		}
		c.Services = append(c.Services, s)
		shards[s.ID] = []topology.ShardID{topology.ShardID(fmt.Sprintf("sh-%d", i))}
	}
	snapshots := ticket.Snapshots{{ID: "s3", Shards: shards}, {ID: "s2", Shards: shards}, {ID: "s1", Shards: shards}}
	big := []ticket.Change{{Scope: ticket.Scope{Kind: ticket.KindCollection, ID: "big"}, Value: c}, {Scope: ticket.Scope{Kind: ticket.KindSnapshot, ID: "big"}, Value: snapshots}}
	tune := []ticket.Change{{Scope: ticket.Scope{Kind: ticket.KindTuning}, Value: ticket.DefaultTuning()}}
	for number, changes := range [][]ticket.Change{big, tune} {
		if err := l.Apply(ticket.Ticket{Number: ticket.Number(number + 2), FilingID: "f", Operator: "o", Changes: changes}); err != nil {
			b.Fatal(err)
		}
	}
	data, err := ticket.EncodeCheckpoint(l.State())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := l.Apply(ticket.Ticket{Number: l.Number() + 1, FilingID: "f", Operator: "o", Changes: tune}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "checkpoint-B")
	for i, name := range []string{"collection-ticket-B", "snapshot-ticket-B"} {
		encoded, err := json.Marshal(ticket.Ticket{Number: 2, FilingID: "f", Operator: "o", Changes: big[i : i+1]})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(encoded)), name)
	}
}
