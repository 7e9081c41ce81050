package gateway

import (
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/overload"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/platform"
)

// maxGroups bounds the groups for which this instance admits requests, and those that it
// coordinates. A configuration has a few.
const maxGroups = 256

// overloadControl is the instance's part of admission control: it admits the requests of
// callers, reports to the coordinators of their groups, and coordinates groups.
type overloadControl struct {
	g       *Gateway
	process uint64        // distinguishes processes with the same instance id
	early   chan struct{} // signals that requests fail; holds one signal

	mu     sync.Mutex
	random *rand.Rand
	// groups are the groups of the routes that had requests, of one version of the
	// configuration.
	groups  map[overload.GroupKey]*gatedGroup
	keys    map[routing.RouteName]overload.GroupKey
	version routing.Version
	refused int // refusals, for sampling log lines
	// coordinated are the groups whose instances report to this one.
	coordinated map[overload.GroupKey]*overload.Controller
	excluded    map[topology.InstanceID]exclusion // instances that have not answered
}

// gatedGroup is a group for which this instance admits requests.
type gatedGroup struct {
	gate  *overload.Gate
	alone bool // no coordinator has answered for DivisionValidity
}

func newOverloadControl(g *Gateway) *overloadControl {
	return &overloadControl{
		g: g, process: rand.Uint64(), early: make(chan struct{}, 1),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		groups:      map[overload.GroupKey]*gatedGroup{},
		keys:        map[routing.RouteName]overload.GroupKey{},
		coordinated: map[overload.GroupKey]*overload.Controller{},
		excluded:    map[topology.InstanceID]exclusion{},
	}
}

// admission is a request that was admitted at this instance. Its methods accept a nil
// admission, which is that of a deployment without admission control.
type admission struct {
	control *overloadControl
	gate    *overload.Gate
	ended   bool
}

// end counts the result of the request, once.
func (a *admission) end(result overload.Result) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.control.end(a.gate, result)
}

// admit reports whether a caller's request may start. If not, it has refused it. Without
// workspaces in the configuration, all requests may start.
func (g *Gateway) admit(w http.ResponseWriter, table *routing.Table, route *routing.Route, owner *routing.Workspace) (*admission, bool) {
	if len(table.Config.Workspaces) == 0 {
		return nil, true
	}
	gate, retryAfter, ok := g.overload.admit(table.Config.Version, route, owner, g.clock.Now())
	if ok {
		return &admission{control: g.overload, gate: gate}, true
	}
	g.metrics.refusals.Inc(1)
	g.metrics.overloadRefused.Inc(1)
	platform.SetRetryAfter(w.Header(), retryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
	return nil, false
}

// admit reports whether a request on the route may start, and otherwise when the caller
// should come back.
func (c *overloadControl) admit(version routing.Version, route *routing.Route, owner *routing.Workspace, now clock.Time) (gate *overload.Gate, retryAfter clock.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	group := c.group(version, route)
	if group == nil {
		return nil, 0, true
	}
	class := classOf(route, owner)
	if retryAfter, ok = group.gate.Admit(class, now); ok {
		return group.gate, 0, true
	}
	c.refused++
	if c.refused%sampleEvery == 1 {
		c.g.log.Info("requests refused because of overload", "route", route.Name, "workspace", class.Workspace, "retryAfterMs", int64(retryAfter),
			"limitPerSecond", float64(group.gate.Limit(now)), "alone", !group.gate.Coordinated(now), "refusedSoFar", c.refused)
	}
	return group.gate, retryAfter, false
}

// classOf returns the class of a request. A request on a public route has no workspace;
// the priority of the route takes the place of the workspace's.
func classOf(route *routing.Route, owner *routing.Workspace) overload.Class {
	if owner == nil {
		return overload.Class{Level: overload.Level{Workspace: route.Priority, Route: route.Priority}}
	}
	return overload.Class{Level: overload.Level{Workspace: owner.Priority, Route: route.Priority}, Workspace: owner.ID}
}

// group returns the group of a route, or nil if there are too many. mu must be held.
func (c *overloadControl) group(version routing.Version, route *routing.Route) *gatedGroup {
	if version != c.version {
		c.version = version
		clear(c.keys) // routes may have other services now
	}
	key, known := c.keys[route.Name]
	if !known {
		key = groupKey(route)
		c.keys[route.Name] = key
	}
	group := c.groups[key]
	if group == nil && len(c.groups) < maxGroups {
		group = &gatedGroup{}
		group.gate = overload.NewGate(c.g.settings.Instance, c.process, rand.New(rand.NewPCG(c.random.Uint64(), keySeed(key))), func(e overload.Event) {
			if !group.gate.Coordinated(c.g.clock.Now()) {
				c.logEvent(key, e, 1, true)
			}
		})
		c.groups[key] = group
	}
	return group
}

// groupKey returns the key of a route's group.
func groupKey(route *routing.Route) overload.GroupKey {
	services := route.Shards
	for _, s := range route.Split {
		services = append(services[:len(services):len(services)], s.Service)
	}
	return overload.KeyOf(services)
}

// keySeed returns a number that differs between groups.
func keySeed(key overload.GroupKey) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never returns an error
	return h.Sum64()
}

// end counts the result of a request that the gate has admitted.
func (c *overloadControl) end(gate *overload.Gate, result overload.Result) {
	if gate == nil {
		return
	}
	c.mu.Lock()
	gate.End(result)
	c.mu.Unlock()
	if result == overload.Failed {
		select {
		case c.early <- struct{}{}:
		default: // a signal is waiting
		}
	}
}

// worked counts an answered send of a request that this instance runs.
func (c *overloadControl) worked(q *request) {
	if !q.controlled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if group := c.group(q.version, q.route); group != nil {
		group.gate.Worked(len(q.services), c.g.clock.Now())
	}
}

// limits returns the number of groups with a limit in force at this instance, and the
// lowest of the limits, 0 for none.
func (c *overloadControl) limits() (groups int, lowest overload.Rate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.clock.Now()
	for _, group := range c.groups {
		if limit := group.gate.Limit(now); limit > 0 {
			groups++
			if lowest == 0 || limit < lowest {
				lowest = limit
			}
		}
	}
	return groups, lowest
}

// endAdmission counts the result of the request for admission control.
func (q *request) endAdmission(state fanout.State, lacksCapacity bool) {
	q.admitted.end(q.result(state, lacksCapacity))
}

// result returns what a final state means for admission control. lacksCapacity tells
// whether shards lack an answer because their targets have too much to do.
func (q *request) result(state fanout.State, lacksCapacity bool) overload.Result {
	switch {
	case state == fanout.Complete || state == fanout.Partial:
		objective := q.route.LatencyObjective
		if objective > 0 && q.g.clock.Now().Sub(q.arrived) > objective {
			return overload.Late
		}
		return overload.InTime
	case state != fanout.Abandoned && lacksCapacity:
		return overload.Failed
	default:
		return overload.Other
	}
}

// lacksCapacity reports whether services have not answered because their targets have
// too much to do.
func (q *request) lacksCapacity() bool {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return q.call != nil && q.call.LacksCapacity()
}
