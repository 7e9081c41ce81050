package e2e

import (
	"net/http"
	"testing"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/emulator/target"
)

const (
	// silenceLimit is the time without a byte after which a peer connection is
	// abandoned (docs/design.md section 11).
	silenceLimit = 1500 * time.Millisecond
	// dialLimit is settings.Timeouts.PeerDialMS.
	dialLimit = 500 * time.Millisecond
	// maxDeadline is the longest deadline of a query, within which a read that
	// waits on a silent connection can still go to the other holder.
	maxDeadline = 2 * clock.Second
)

// Guards against a half-open connection between two instances that stays in
// use, and against reads that wait on it until their deadline although the
// other holder could answer.
func TestSilentPeerConnections(t *testing.T) {
	t.Parallel()
	c, forwarders := newForwardedPair(t)
	c.warmUp()
	tr := c.send(maxDeadline, knownTexts, func() []*member { return c.members })
	time.Sleep(time.Second)
	silent := time.Now()
	c.silencePeers(forwarders)
	time.Sleep(3 * time.Second)
	require(t, "complete throughout", tr.results(time.Time{}, time.Time{}), sample.complete)
	moved := tr.results(silent.Add(silenceLimit+dialLimit), time.Time{})
	require(t, "no wait on the silent connection", moved, func(s sample) bool { return s.end.Sub(s.start) < silenceLimit })
	c.requireNoOverload()
}

// Guards against queries that need a canary and stay without an answer after a
// half-open peer connection was noticed. The next instance by hash has to know
// of a canary before it starts (docs/design.md section 10); here it is the
// silent one, so until then such queries get their final answer without hits.
func TestSilentPeerConnectionsAndCanaries(t *testing.T) {
	t.Parallel()
	c, forwarders := newForwardedPair(t)
	tr := c.send(maxDeadline, mixedTexts, func() []*member { return c.members })
	time.Sleep(time.Second)
	silent := time.Now()
	c.silencePeers(forwarders)
	time.Sleep(3 * time.Second)
	require(t, "final answer", tr.results(time.Time{}, time.Time{}), sample.final)
	require(t, "complete on the new connection", tr.results(silent.Add(silenceLimit+dialLimit), time.Time{}), sample.complete)
	c.requireNoOverload()
}

// Guards against queries that need a canary and are lost while a peer connection
// is half-open, although both instances and the targets work.
func TestSilentPeerConnectionsKeepNewQueries(t *testing.T) {
	t.Parallel()
	c, forwarders := newForwardedPair(t)
	c.warmUp() // earns tokens for the second attempts, as in TestSilentPeerConnections
	tr := c.send(maxDeadline, mixedTexts, func() []*member { return c.members })
	time.Sleep(time.Second)
	c.silencePeers(forwarders)
	time.Sleep(3 * time.Second)
	require(t, "complete or refused", tr.results(time.Time{}, time.Time{}), sample.completeOrNotRun)
}

// newForwardedPair returns two members that reach each other through forwarders
// only.
func newForwardedPair(t *testing.T) (*cluster, []*forwarder) {
	t.Helper()
	c := newStandIns(t, 4)
	var forwarders []*forwarder
	for range 2 {
		m := c.addMember()
		f := newForwarder(t, m.peers)
		m.reach = f.address()
		forwarders = append(forwarders, f)
		c.run(m)
	}
	c.setUp()
	return c, forwarders
}

// silencePeers makes all peer connections half-open, which were in use, and
// waits until a new one is opened.
func (c *cluster) silencePeers(forwarders []*forwarder) {
	c.t.Helper()
	var pairs []*pair
	for _, f := range forwarders {
		pairs = append(pairs, f.silence()...)
	}
	eventually(c.t, silenceLimit+dialLimit, "a new peer connection is opened", func() bool {
		n := 0
		for _, f := range forwarders {
			n += f.opened()
		}
		return n > 0
	})
	if swallowed(pairs) == 0 {
		c.t.Error("the silent connections were not in use")
	}
}

// Guards against half-open connections to the platform that stop the
// configuration or the queries.
func TestSilentPlatformConnections(t *testing.T) {
	t.Parallel()
	c := newStandIns(t, 3)
	f := newForwarder(t, c.platform)
	c.store = f.address()
	for range 3 {
		c.run(c.addMember())
	}
	c.setUp()
	tr := c.sendThrough(c.members...)
	time.Sleep(time.Second)
	pairs := f.silence()
	body := c.zoneTicket(2, "silent-2", zones[0], "in")
	eventually(t, settleLimit, "a ticket is accepted over a new connection", func() bool {
		status, a, _ := c.file(c.members[0], body)
		return status == http.StatusCreated && a.Number == 2
	})
	eventually(t, settleLimit, "the ticket is in force everywhere", func() bool { return c.inForce(2, c.members...) })
	if swallowed(pairs) == 0 {
		t.Error("the silent connections were not in use")
	}
	require(t, "complete throughout", tr.results(time.Time{}, time.Time{}), sample.complete)
	c.requireNoOverload()
}

// Guards against silent target connections that stay in use. One replica of
// every service is affected.
func TestSilentTargetConnections(t *testing.T) {
	t.Parallel()
	// A call on a silent connection ends at the deadline of its query, and the
	// connection is closed then.
	const limit = 2 * time.Second
	c := newCluster(t, 3, 3)
	c.setUp()
	tr := c.sendThrough(c.members...)
	time.Sleep(time.Second)
	silent := time.Now()
	c.controlTargets(http.MethodPut, "/faults?zone="+zones[0], target.Faults{Silence: target.SilenceOpen}, nil)
	time.Sleep(limit + 3*time.Second)
	require(t, "final answer", tr.results(time.Time{}, time.Time{}), sample.final)
	require(t, "complete after the deadline", tr.results(silent.Add(limit), time.Time{}), sample.complete)
	if len(c.calls("collection=dockdesk&zone="+zones[0], silent.Add(limit))) == 0 {
		t.Error("the targets are not used over new connections")
	}
	c.requireNoOverload()
}
