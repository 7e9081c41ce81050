package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/coordinator"
	"knapweedstall/core/placing"
	"knapweedstall/core/quota"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// releaseTopic is the topic of the calls with which an instance that stops tells the
// coordinators that it has released the lease on a group of quotas.
const releaseTopic = "quota-release"

// releaseCallTimeout bounds such a call. Coordinators that miss it find the release in the
// store within seconds.
const releaseCallTimeout = 200 * clock.Millisecond

// releaseMessage names a group whose lease was released.
type releaseMessage struct {
	Group quota.Group `cbor:"1,keyasint"`
}

// warmPeriod is how often an instance checks its links to the coordinators, so that a
// request does not have to wait until one is open.
const warmPeriod = 10 * clock.Second

// quotaCoordinator is this instance's part as a coordinator of quotas.
type quotaCoordinator struct {
	mu     sync.Mutex
	owner  *quota.Owner
	leases *quota.Leases
	quotas []topology.WorkspaceID // of all workspaces that have one
	held   int                    // number of leases at the latest tick
	terms  [quota.GroupCount]quota.Term
	ring   *coordinator.Ring     // that ranks are of
	ranks  [quota.GroupCount]int // of this instance, -1 where it is no coordinator
}

// newQuotaCoordinator returns the coordinator of a process that starts now, for the limits
// of the settings.
func (g *Gateway) newQuotaCoordinator() *quotaCoordinator {
	var limits quota.Limits
	if l := g.settings.Quotas; l != nil {
		limits = quota.Limits{Window: clock.Duration(l.WindowSeconds * float64(clock.Second)), Overshoot: l.Overshoot, Slack: l.Slack}
	}
	now := g.clock.Now()
	run := topology.NewIncarnation(g.clock.UnixMillis(), g.random.Uint64())
	return &quotaCoordinator{owner: quota.NewOwner(limits, now), leases: quota.NewLeases(g.settings.Instance, run)}
}

// setQuotas sets the quotas of a configuration.
func (c *quotaCoordinator) setQuotas(workspaces []routing.Workspace) {
	quotas := map[topology.WorkspaceID]quota.Quota{}
	var ids []topology.WorkspaceID
	for i := range workspaces {
		w := &workspaces[i]
		if _, twice := quotas[w.ID]; w.RatePerSecond > 0 && !twice {
			quotas[w.ID] = quota.Quota{Rate: w.RatePerSecond, Burst: w.Burst}
			ids = append(ids, w.ID)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner.SetQuotas(quotas)
	c.quotas = ids
	clear(c.terms[:]) // new workspaces are held from the next renewal of the lease on
}

// handleCredit handles a call of an entry that asks for credit.
func (g *Gateway) handleCredit(_ context.Context, _ topology.InstanceID, payload []byte) ([]byte, error) {
	var r creditRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, errors.WithStack(err)
	}
	c, now := g.quotaCoordinator, g.clock.Now()
	c.mu.Lock()
	var out creditAnswer
	if r.Requests > 0 && c.owner.Has(r.Workspace) {
		group := quota.GroupOf(r.Workspace)
		c.leases.Asked(group, now)
		term := c.leases.Term(group, quota.Moment{Time: now, UnixMillis: g.clock.UnixMillis()})
		a := c.owner.Grant(r.Workspace, r.Requests, max(r.Returned, 0), term, now)
		out = creditAnswer{Granted: a.Granted, Final: a.Final, RetryAfter: a.RetryAfter, RetryStep: a.RetryStep}
		if !a.Final {
			out.Holder = c.leases.Holder(group)
		}
	}
	c.mu.Unlock()
	data, err := cbor.Marshal(out)
	return data, errors.WithStack(err)
}

// runQuotas seeks and renews leases and keeps links to the coordinators until ctx is done.
func (g *Gateway) runQuotas(ctx context.Context) {
	ticker := time.NewTicker(quota.TickPeriod.Std())
	defer ticker.Stop()
	var warmed *coordinator.Ring
	var warmedAt clock.Time
	silent := 0 // instances that did not answer when links were last opened
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.stopping() {
			g.endLeases(ctx)
			return
		}
		ring, now := g.currentQuotaRing(), g.clock.Now()
		if g.quotaCoordinator.inUse() {
			silentNow := g.silentInstances()
			switch {
			case ring != warmed || silentNow > silent && now.Sub(warmedAt) >= widenPeriod:
				warmed, warmedAt, silent = ring, now, silentNow
				go g.warmLinks(ctx, slices.Concat(ring.Ranked(""), g.coordinatorsAndNext()))
			case now.Sub(warmedAt) > warmPeriod:
				warmedAt = now
				go g.warmLinks(ctx, ring.Ranked(""))
			}
			g.checkLiveness()
			g.renewLeases(ctx, ring)
		}
		g.quotas.expire(now)
	}
}

// inUse reports whether any workspace has a quota.
func (c *quotaCoordinator) inUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.quotas) > 0
}

// warmLinks opens links to the coordinators after a random time, since all instances learn
// of a change of the coordinators at the same time.
func (g *Gateway) warmLinks(ctx context.Context, coordinators []placing.Instance) {
	sleep(ctx, g.jitter(quota.TickPeriod))
	for _, in := range coordinators {
		// A failure is counted, logged and noted; a request that needs the link finds out
		// for itself.
		go func() { _, _ = g.callForCredit(in, creditRequest{}) }()
	}
}

// currentQuotaRing returns the coordinators of quotas.
func (g *Gateway) currentQuotaRing() *coordinator.Ring {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quotaRing
}

// widenPeriod is the time between two steps in which more instances are called because
// others have not answered.
const widenPeriod = clock.Second

// silentInstances returns the number of instances that have not answered the latest calls.
func (g *Gateway) silentInstances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.liveness.Silent()
}

// coordinatorsAndNext returns the coordinators of quotas, and those that come after them, as
// many as must be called to find live ones, so that the loss of most instances is found out
// in a few steps. Those of which is known whether they answer are left out.
func (g *Gateway) coordinatorsAndNext() []placing.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := coordinator.Candidates(g.liveInstances(), g.liveness.Candidates(coordinator.MaxCoordinators))
	return slices.DeleteFunc(next, func(in placing.Instance) bool { return g.liveness.Known(in.ID) })
}

// moment returns the time on both clocks.
func (g *Gateway) moment() quota.Moment {
	return quota.Moment{Time: g.clock.Now(), UnixMillis: g.clock.UnixMillis()}
}

// renewLeases starts the calls of the store that are due for the leases that this instance
// has or seeks. It does not wait for them.
func (g *Gateway) renewLeases(ctx context.Context, ring *coordinator.Ring) {
	c, now := g.quotaCoordinator, g.moment()
	c.mu.Lock()
	c.rank(ring, g.settings.Instance)
	steps := c.leases.Due(func(group quota.Group) int { return c.ranks[group] }, now)
	before := c.held
	held := c.countHeld(now)
	c.mu.Unlock()
	if before != held {
		g.log.Info("leases on quotas changed", "held", held, "before", before)
	}
	for _, step := range steps {
		go g.callForLease(ctx, step)
	}
}

// rank computes this instance's ranks if the list of coordinators has changed. mu must be
// held.
func (c *quotaCoordinator) rank(ring *coordinator.Ring, self topology.InstanceID) {
	if c.ring == ring {
		return
	}
	c.ring = ring
	for group := range quota.Group(quota.GroupCount) {
		c.ranks[group] = slices.IndexFunc(ring.Ranked(quotaKey(group)), func(in placing.Instance) bool { return in.ID == self })
	}
}

// quotaKey returns the key of the coordinators of a group.
func quotaKey(group quota.Group) string { return quotaTopic + "/" + group.String() }

// countHeld counts the leases that this instance has. mu must be held.
func (c *quotaCoordinator) countHeld(now quota.Moment) int {
	c.held = 0
	for group := range quota.Group(quota.GroupCount) {
		if c.leases.Term(group, now) != 0 {
			c.held++
		}
	}
	return c.held
}

// callForLease makes a call of the store about a lease, through another coordinator if this
// instance can't reach the store.
func (g *Gateway) callForLease(ctx context.Context, step quota.Step) {
	sent, name := g.moment(), step.Group.String()
	first := sent
	object, found, err := g.readOrWriteLease(ctx, step, sent.UnixMillis)
	if err != nil && step.Action == quota.Write && step.Revision.Number() != 0 && !isConflict(err) {
		g.log.Debug("renewing a lease on quotas through another instance", "group", name, "err", err)
		sent = g.moment()
		object, err = g.writeLeaseThrough(ctx, step, sent.UnixMillis)
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		object, err = conflict.Object, nil
		if wroteLease(step, object, first) { // and the answer was lost
			sent = first
		} else {
			step.Action = quota.Read // the answer shows the object as a read does
		}
	}
	c, now := g.quotaCoordinator, g.moment()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		g.log.Debug("call for a lease on quotas failed", "group", name, "err", err)
		c.leases.Failed(step.Group, now.Time)
		return
	}
	if step.Action == quota.Write {
		c.leases.Acquired(step, object.Revision, sent, now)
		c.hold(step.Group, now)
		if step.Lease.Holder == "" {
			go g.notifyReleased(step.Group)
		}
		return
	}
	var lease quota.Lease
	if found {
		if lease, _, err = platform.ParseQuotaLease(name, object.Spec); err != nil {
			// It is replaced when nobody has renewed it for the lifetime of a lease.
			g.log.Warn("invalid lease on quotas taken for that of another instance", "group", name, "err", err)
			lease.Holder = "(unknown)"
		}
	}
	c.leases.Observed(step.Group, lease, object.Revision, now.Time)
}

// readOrWriteLease makes a call of the store about a lease. found is false if there is no
// object; the revision of object has the store's era then too.
func (g *Gateway) readOrWriteLease(ctx context.Context, step quota.Step, unixMillis int64) (object view.Object, found bool, err error) {
	name := step.Group.String()
	if step.Action != quota.Write {
		return g.store.Get(ctx, platform.KindQuotas, name, step.Action == quota.ReadStale)
	}
	object, err = g.store.PutIf(ctx, platform.KindQuotas, name, step.Revision, platform.QuotaLeaseObject(step.Lease, unixMillis))
	return object, true, err
}

// wroteLease reports whether an object is what the step has written at sent.
func wroteLease(step quota.Step, object view.Object, sent quota.Moment) bool {
	lease, unixMillis, err := platform.ParseQuotaLease(step.Group.String(), object.Spec)
	return err == nil && lease == step.Lease && unixMillis == sent.UnixMillis
}

// isConflict reports whether the store has refused a write because of its condition.
func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// hold begins to fill the buckets of a group's workspaces if its lease is new. mu must be
// held.
func (c *quotaCoordinator) hold(group quota.Group, now quota.Moment) {
	term := c.leases.Term(group, now)
	if term == c.terms[group] {
		return
	}
	c.terms[group] = term
	for _, id := range c.quotas {
		if quota.GroupOf(id) == group {
			c.owner.Hold(id, term, now.Time)
		}
	}
}

// endLeases ends the leases of an instance that stops, so that other coordinators can have
// them at once.
func (g *Gateway) endLeases(ctx context.Context) {
	c := g.quotaCoordinator
	c.mu.Lock()
	c.leases.End()
	steps := c.leases.Due(func(quota.Group) int { return -1 }, g.moment())
	c.mu.Unlock()
	for _, step := range steps {
		go g.callForLease(ctx, step)
	}
}

// notifyReleased tells the coordinators of a group that its lease was released.
func (g *Gateway) notifyReleased(group quota.Group) {
	payload, err := cbor.Marshal(releaseMessage{group})
	if err != nil {
		g.log.Error("encoding a message failed", "topic", releaseTopic, "err", err)
		return
	}
	for _, in := range g.quotaCoordinators(quotaKey(group)) {
		if in.ID == g.settings.Instance {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseCallTimeout.Std())
			defer cancel()
			if _, err := g.call(ctx, in, releaseTopic, payload); err != nil {
				g.log.Debug("telling a coordinator of a released lease failed", "coordinator", in.ID, "err", err)
			}
		}()
	}
}

// handleReleased handles a message that a lease was released.
func (g *Gateway) handleReleased(_ context.Context, _ topology.InstanceID, payload []byte) ([]byte, error) {
	var m releaseMessage
	if err := cbor.Unmarshal(payload, &m); err != nil {
		return nil, errors.WithStack(err)
	}
	c := g.quotaCoordinator
	c.mu.Lock()
	c.leases.Released(m.Group, g.clock.Now())
	c.mu.Unlock()
	ring := g.currentQuotaRing()
	for range 2 { // reads the object, then writes it
		g.renewLeases(context.Background(), ring)
		sleep(context.Background(), releaseStepDelay)
	}
	return nil, nil
}

// releaseStepDelay is the time for a call of the store, which takes some milliseconds.
const releaseStepDelay = 15 * clock.Millisecond
