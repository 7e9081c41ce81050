package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
	"knapweedstall/io/operator"
)

const (
	// drainLimit is the time after which what operators have taken out receives
	// no new work (P4 and P8).
	drainLimit = 3 * time.Second
	// spreadLimit is the time within which an accepted ticket is in force
	// everywhere (P10).
	spreadLimit = 5 * time.Second
)

// newTicket returns the JSON form of a ticket.
func (c *cluster) newTicket(n int, filing, by string, changes ...ticket.Change) []byte {
	c.t.Helper()
	body, err := json.Marshal(ticket.Ticket{
		Number: ticket.Number(n), FilingID: ticket.FilingID(filing), Operator: ticket.Operator(by), Changes: changes,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return body
}

func (c *cluster) zoneTicket(n int, filing, zone string, state ticket.ZoneState) []byte {
	return c.newTicket(n, filing, "operator", ticket.Change{
		Scope: ticket.Scope{Kind: ticket.KindZone, ID: zone},
		Value: ticket.Zone{Region: "ga-central", State: state},
	})
}

func (c *cluster) tuningTicket(n int, filing, by string, maxBatch int) []byte {
	tuning := ticket.DefaultTuning()
	tuning.MaxBatch = maxBatch
	return c.newTicket(n, filing, by, ticket.Change{Scope: ticket.Scope{Kind: ticket.KindTuning}, Value: tuning})
}

// accept files a ticket that has to be accepted, and returns the time at which
// it was.
func (c *cluster) accept(m *member, body []byte) time.Time {
	c.t.Helper()
	status, _, e := c.file(m, body)
	if status != http.StatusCreated {
		c.t.Fatalf("status %d, %+v", status, e)
	}
	return time.Now()
}

// inForce reports whether ticket n is in force at the members.
func (c *cluster) inForce(n uint64, members ...*member) bool {
	for _, m := range members {
		var status struct {
			Config uint64 `json:"config"`
		}
		code, data, err := c.call(http.MethodGet, m.operator, "/v1/status", adminToken, nil)
		if err != nil || code != http.StatusOK || json.Unmarshal(data, &status) != nil || status.Config < n {
			return false
		}
	}
	return true
}

// record is what the audit trail says of one change.
type record struct {
	Number   uint64 `json:"number"`
	FilingID string `json:"filingId"`
	Operator string `json:"operator"`
}

// audit returns the records of the tickets from 2 on that m knows.
func (c *cluster) audit(m *member) []record {
	c.t.Helper()
	var out []record
	code, data, err := c.call(http.MethodGet, m.operator, "/v1/tickets?from=2", adminToken, nil)
	if err != nil || code != http.StatusOK || json.Unmarshal(data, &out) != nil {
		c.t.Fatalf("%s lists no tickets: status %d, %v", m.id, code, err)
	}
	return out
}

// Guards against work that still reaches a zone which operators have taken out,
// coverage that is lost by the move, and a zone that stays out.
func TestZoneOutAndBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3)
	c.setUp()
	tr := c.sendThrough(c.members...)
	time.Sleep(time.Second)
	if len(c.calls("zone="+zones[0], time.Time{})) == 0 {
		t.Fatal("the zone is not in use")
	}
	out := c.accept(c.members[1], c.zoneTicket(2, "out", zones[0], ticket.ZoneOut))
	eventually(t, spreadLimit, "the zone is out everywhere", func() bool { return c.inForce(2, c.members...) })
	time.Sleep(time.Until(out.Add(drainLimit + 3*time.Second)))
	if late := c.calls("zone="+zones[0], out.Add(drainLimit)); len(late) > 0 {
		t.Errorf("%d calls after %v, the first: %+v", len(late), drainLimit, late[0])
	}
	in := c.accept(c.members[2], c.zoneTicket(3, "in", zones[0], ticket.ZoneIn))
	eventually(t, spreadLimit+settleLimit, "the zone is in use again", func() bool { return len(c.calls("zone="+zones[0], in)) > 0 })
	time.Sleep(time.Second)
	require(t, "complete throughout", tr.results(time.Time{}, time.Time{}), sample.complete)
	c.requireNoOverload()
}

// Guards against two accepted tickets with one number, a conflict that does not
// name the winner, and instances that differ in which one is in force.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	const last = 12
	c := newCluster(t, 3, 1)
	c.setUp()
	var want []record
	for n := 2; n <= last; n++ {
		want = append(want, c.race(n))
	}
	eventually(t, spreadLimit, "the last ticket is in force everywhere", func() bool { return c.inForce(last, c.members...) })
	for _, m := range c.members {
		if diff := cmp.Diff(want, c.audit(m)); diff != "" {
			t.Errorf("%s: %s", m.id, diff)
		}
	}
}

// race files ticket n through two members at the same time and returns the
// winner.
func (c *cluster) race(n int) record {
	c.t.Helper()
	var status [2]int
	var refusal [2]operator.Error
	var filed [2]record
	var wait sync.WaitGroup
	for i := range 2 {
		filed[i] = record{uint64(n), fmt.Sprintf("filing-%d-%d", n, i), fmt.Sprintf("operator-%d", i)}
		body := c.tuningTicket(n, filed[i].FilingID, filed[i].Operator, n+i)
		wait.Go(func() { status[i], _, refusal[i] = c.file(c.members[(n+i)%len(c.members)], body) })
	}
	wait.Wait()
	winner, loser := 0, 1
	if status[1] == http.StatusCreated {
		winner, loser = 1, 0
	}
	e := refusal[loser]
	if status[winner] != http.StatusCreated || status[loser] != http.StatusConflict || e.Code != operator.CodeConflict ||
		e.Winner != filed[winner].Operator || e.WinnerFiling != filed[winner].FilingID {
		c.t.Fatalf("ticket %d: status %v, refusals %+v", n, status, refusal)
	}
	return filed[winner]
}

// Guards against a target that operators are removing and that still gets work.
func TestLeavingTargets(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3)
	c.setUp()
	tr := c.sendThrough(c.members...)
	time.Sleep(time.Second)
	first, err := ticket.Decode(c.ticket)
	if err != nil {
		t.Fatal(err)
	}
	var change ticket.Change
	for _, f := range first.Changes {
		if f.Scope == (ticket.Scope{Kind: ticket.KindCollection, ID: "dockdesk"}) {
			change = f
		}
	}
	for _, s := range change.Value.(ticket.Collection).Services {
		for i := range s.Targets {
			s.Targets[i].Leaving = s.Targets[i].Zone == topology.ZoneID(zones[1])
		}
	}
	left := c.accept(c.members[0], c.newTicket(2, "leave", "operator", change))
	time.Sleep(drainLimit + 3*time.Second)
	selection := "collection=dockdesk&zone=" + zones[1]
	if len(c.calls(selection, time.Time{})) == 0 {
		t.Error("the targets were never in use")
	}
	if late := c.calls(selection, left.Add(drainLimit)); len(late) > 0 {
		t.Errorf("%d calls after %v, the first: %+v", len(late), drainLimit, late[0])
	}
	require(t, "complete throughout", tr.results(time.Time{}, time.Time{}), sample.complete)
	c.requireNoOverload()
}
