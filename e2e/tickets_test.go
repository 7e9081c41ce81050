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
	// drainLimit is the time after which a zone or target that an operator has taken
	// out of service must get no new calls (guarantees P4 and P8).
	drainLimit = 3 * time.Second
	// propagationLimit is the time within which an accepted ticket must be in force
	// at every instance (guarantee P10).
	propagationLimit = 5 * time.Second
)

// encodeTicket returns the JSON encoding of a ticket.
func (c *cluster) encodeTicket(n int, filingID, operatorName string, changes ...ticket.Change) []byte {
	c.t.Helper()
	body, err := json.Marshal(ticket.Ticket{
		Number: ticket.Number(n), FilingID: ticket.FilingID(filingID), Operator: ticket.Operator(operatorName), Changes: changes,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return body
}

func (c *cluster) zoneTicket(n int, filingID, zone string, state ticket.ZoneState) []byte {
	return c.encodeTicket(n, filingID, "operator", ticket.Change{
		Scope: ticket.Scope{Kind: ticket.KindZone, ID: zone},
		Value: ticket.Zone{Region: "ga-central", State: state},
	})
}

func (c *cluster) tuningTicket(n int, filingID, operatorName string, maxBatch int) []byte {
	tuning := ticket.DefaultTuning()
	tuning.MaxBatch = maxBatch
	return c.encodeTicket(n, filingID, operatorName, ticket.Change{Scope: ticket.Scope{Kind: ticket.KindTuning}, Value: tuning})
}

// mustFileTicket files a ticket, fails the test if it is not accepted, and returns the
// time of acceptance.
func (c *cluster) mustFileTicket(inst *instance, body []byte) time.Time {
	c.t.Helper()
	status, _, e := c.fileTicket(inst, body)
	if status != http.StatusCreated {
		c.t.Fatalf("ticket not accepted: status %d, %+v", status, e)
	}
	return time.Now()
}

// inForce reports whether ticket n or a later one is in force at all given instances.
func (c *cluster) inForce(n uint64, instances ...*instance) bool {
	for _, inst := range instances {
		var status struct {
			Config uint64 `json:"config"`
		}
		code, data, err := c.sendHTTP(http.MethodGet, inst.operatorAddr, "/v1/status", adminToken, nil)
		if err != nil || code != http.StatusOK || json.Unmarshal(data, &status) != nil || status.Config < n {
			return false
		}
	}
	return true
}

// auditRecord is the entry of a ticket in the audit log.
type auditRecord struct {
	Number   uint64 `json:"number"`
	FilingID string `json:"filingId"`
	Operator string `json:"operator"`
}

// auditRecords returns the audit records that inst lists, from ticket 2 on.
func (c *cluster) auditRecords(inst *instance) []auditRecord {
	c.t.Helper()
	var out []auditRecord
	code, data, err := c.sendHTTP(http.MethodGet, inst.operatorAddr, "/v1/tickets?from=2", adminToken, nil)
	if err != nil || code != http.StatusOK || json.Unmarshal(data, &out) != nil {
		c.t.Fatalf("%s did not list its tickets: status %d, %v", inst.id, code, err)
	}
	return out
}

// Guards against calls that still reach a zone after operators take it out of service,
// coverage that is lost by the change, and a zone that stays out of use after it is put
// back.
func TestZoneOutAndBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3)
	c.setUp()
	tr := c.startTrafficThrough(c.instances...)
	time.Sleep(time.Second)
	if len(c.targetCalls("zone="+zones[0], time.Time{})) == 0 {
		t.Fatal("the zone gets no calls")
	}
	outAt := c.mustFileTicket(c.instances[1], c.zoneTicket(2, "out", zones[0], ticket.ZoneOut))
	eventually(t, propagationLimit, "the zone is out everywhere", func() bool { return c.inForce(2, c.instances...) })
	time.Sleep(time.Until(outAt.Add(drainLimit + 3*time.Second)))
	if late := c.targetCalls("zone="+zones[0], outAt.Add(drainLimit)); len(late) > 0 {
		t.Errorf("%d calls later than %v, first: %+v", len(late), drainLimit, late[0])
	}
	inAt := c.mustFileTicket(c.instances[2], c.zoneTicket(3, "in", zones[0], ticket.ZoneIn))
	eventually(t, propagationLimit+recoveryLimit, "the zone gets calls again", func() bool { return len(c.targetCalls("zone="+zones[0], inAt)) > 0 })
	time.Sleep(time.Second)
	requireAll(t, "complete throughout", tr.stopAndSelect(time.Time{}, time.Time{}), queryResult.complete)
	c.requireNoOverload()
}

// Guards against two accepted tickets with the same number, a conflict error that does
// not name the winner, and instances that disagree on which ticket is in force.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	const last = 12
	c := newCluster(t, 3, 1)
	c.setUp()
	var want []auditRecord
	for n := 2; n <= last; n++ {
		want = append(want, c.raceOperators(n))
	}
	eventually(t, propagationLimit, "the last ticket is in force everywhere", func() bool { return c.inForce(last, c.instances...) })
	for _, inst := range c.instances {
		if diff := cmp.Diff(want, c.auditRecords(inst)); diff != "" {
			t.Errorf("wrong tickets listed by %s (-want +got): %s", inst.id, diff)
		}
	}
}

// raceOperators files two versions of ticket n through two instances at the same time
// and returns the accepted one.
func (c *cluster) raceOperators(n int) auditRecord {
	c.t.Helper()
	var status [2]int
	var refusal [2]operator.Error
	var filed [2]auditRecord
	var wait sync.WaitGroup
	for i := range 2 {
		filed[i] = auditRecord{uint64(n), fmt.Sprintf("filing-%d-%d", n, i), fmt.Sprintf("operator-%d", i)}
		body := c.tuningTicket(n, filed[i].FilingID, filed[i].Operator, n+i)
		wait.Go(func() { status[i], _, refusal[i] = c.fileTicket(c.instances[(n+i)%len(c.instances)], body) })
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

// Guards against targets that still get calls while operators remove them.
func TestLeavingTargets(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3)
	c.setUp()
	tr := c.startTrafficThrough(c.instances...)
	time.Sleep(time.Second)
	first, err := ticket.Decode(c.firstTicket)
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
	leavingAt := c.mustFileTicket(c.instances[0], c.encodeTicket(2, "leave", "operator", change))
	time.Sleep(drainLimit + 3*time.Second)
	selection := "collection=dockdesk&zone=" + zones[1]
	if len(c.targetCalls(selection, time.Time{})) == 0 {
		t.Error("the targets never got a call")
	}
	if late := c.targetCalls(selection, leavingAt.Add(drainLimit)); len(late) > 0 {
		t.Errorf("%d calls later than %v, first: %+v", len(late), drainLimit, late[0])
	}
	requireAll(t, "complete throughout", tr.stopAndSelect(time.Time{}, time.Time{}), queryResult.complete)
	c.requireNoOverload()
}
