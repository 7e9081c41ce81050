package node_test

import (
	"encoding/json"
	"slices"
	"strings"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/object"
	"knapweedstall/core/topology"
)

const (
	platformTimeout = 1000 * clock.Millisecond
	storeRetry      = 200 * clock.Millisecond
	watchWait       = 1000 * clock.Millisecond
	listPeriod      = 1000 * clock.Millisecond
	idleListPeriod  = 30 * clock.Second
)

// platform simulates the platform: the store and the instance list.
type platform struct {
	sim          *simulation
	down         bool
	slow         bool
	losesReplies bool // half of the replies to writes are lost
	cutOff       map[int]bool
	objects      map[string]message.StoredObject
	revision     int64
	listLag      clock.Duration
	listed       []topology.Member
	history      []listing
	shownIndex   int // index in history of the list that is returned; never decreases
}

type listing struct {
	at      clock.Time
	members []topology.Member
}

func newPlatform(sim *simulation) *platform {
	return &platform{sim: sim, cutOff: map[int]bool{}, objects: map[string]message.StoredObject{}, history: []listing{{}}}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// reachable reports whether a host reaches the platform.
func (f *platform) reachable(host int) bool {
	return !f.down && !f.cutOff[host] && !f.sim.hostDown[host]
}

func (f *platform) put(key string, expect int64, value []byte) bool {
	if f.objects[key].Version != expect {
		return false
	}
	f.revision++
	f.objects[key] = message.StoredObject{Key: key, Version: f.revision, Value: value}
	f.sim.oracle.objectStored(key, value)
	return true
}

func (f *platform) latency() clock.Duration {
	if f.slow {
		return f.sim.randomMS(200, 2400)
	}
	return f.sim.randomMS(2, 8)
}

// request calls do at the platform, if it is reachable, and then calls reply
// exactly once. ok tells whether the platform replied in time, and sent whether
// the request may have been sent.
func (f *platform) request(p *proc, do func(), reply func(ok, sent bool)) {
	if !f.reachable(p.host) {
		refused := f.sim.oneIn(2)
		wait := platformTimeout
		if refused {
			wait = 2
		}
		f.sim.after(wait, func() { reply(false, !refused) })
		return
	}
	latency := f.latency()
	f.sim.after(latency/2, func() {
		if f.reachable(p.host) {
			do()
		}
	})
	f.sim.after(min(latency, platformTimeout), func() {
		reply(latency < platformTimeout && f.reachable(p.host), true)
	})
}

func (f *platform) read(p *proc, c node.ReadObject) {
	r := object.ReadResult{Key: c.Key}
	f.request(p, func() {
		o := f.objects[string(c.Key)]
		r.Version, r.Value = object.Version(o.Version), o.Value
	}, func(ok, _ bool) {
		r.Known = ok
		if !ok {
			r.Version, r.Value = 0, nil
		}
		p.deliver(node.ObjectRead{Op: c.Op, Result: r})
	})
}

func (f *platform) write(p *proc, c node.WriteObject) {
	r := object.WriteResult{Key: c.Key}
	f.request(p, func() {
		r.Status = object.Conflict
		if f.put(string(c.Key), int64(c.Expect), c.Value) {
			r.Status, r.Version = object.Written, object.Version(f.revision)
		}
	}, func(ok, sent bool) {
		switch {
		case !sent:
			r = object.WriteResult{Key: c.Key, Status: object.NotSent}
		case !ok || r.Status == 0 || f.losesReplies && f.sim.oneIn(2):
			r = object.WriteResult{Key: c.Key, Status: object.Unknown}
		}
		p.deliver(node.ObjectWritten{Op: c.Op, Result: r})
	})
}

func (f *platform) since(prefixes []string, revision int64) []message.StoredObject {
	var out []message.StoredObject
	for key, o := range f.objects {
		if o.Version > revision && slices.ContainsFunc(prefixes, func(s string) bool { return strings.HasPrefix(key, s) }) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b message.StoredObject) int { return int(a.Version - b.Version) })
	return out
}

func (f *platform) list(p *proc, c node.ListObjects) {
	var e node.ObjectsReceived
	f.request(p, func() {
		e = node.ObjectsReceived{Revision: f.revision, Objects: f.since(c.Prefixes, c.Since)}
	}, func(ok, _ bool) {
		if ok {
			p.deliver(e)
			return
		}
		p.deliver(node.StoreFailed{})
		f.sim.after(storeRetry, func() {
			if p.up {
				f.list(p, c)
			}
		})
	})
}

// watch makes one long poll after the other until another watch replaces it.
func (f *platform) watch(p *proc, id int, prefixes []string, since int64) {
	if !p.up || p.watchID != id {
		return
	}
	f.request(p, func() {}, func(ok, _ bool) {
		if ok {
			f.poll(p, id, prefixes, since, f.sim.now.Add(watchWait))
			return
		}
		p.deliver(node.StoreFailed{})
		f.sim.after(storeRetry, func() { f.watch(p, id, prefixes, since) })
	})
}

func (f *platform) poll(p *proc, id int, prefixes []string, since int64, until clock.Time) {
	objects := f.since(prefixes, since)
	switch {
	case !p.up || p.watchID != id:
	case !f.reachable(p.host):
		p.deliver(node.StoreFailed{})
		f.sim.after(storeRetry, func() { f.watch(p, id, prefixes, since) })
	case len(objects) > 0 || f.sim.now >= until:
		p.deliver(node.ObjectsReceived{Revision: f.revision, Objects: objects})
		f.watch(p, id, prefixes, f.revision)
	default:
		f.sim.after(20, func() { f.poll(p, id, prefixes, since, until) })
	}
}

func (f *platform) record() {
	f.history = append(f.history, listing{f.sim.now, slices.Clone(f.listed)})
}

// register adds or replaces an instance in the list.
func (f *platform) register(p *proc, state topology.MemberState) bool {
	if !f.reachable(p.host) {
		return false
	}
	m := p.member
	m.State = state
	f.listed = slices.DeleteFunc(f.listed, func(o topology.Member) bool { return o.Ref.ID == m.Ref.ID })
	f.listed = append(f.listed, m)
	f.record()
	return true
}

// deregister removes an incarnation that has ended from the list.
func (f *platform) deregister(p *proc) {
	f.listed = slices.DeleteFunc(f.listed, func(o topology.Member) bool { return o.Ref == p.member.Ref })
	f.record()
}

// instances returns the list as it was listLag ago. It never returns an older list
// than before.
func (f *platform) instances() []topology.Member {
	for f.shownIndex+1 < len(f.history) && f.history[f.shownIndex+1].at <= f.sim.now.Add(-f.listLag) {
		f.shownIndex++
	}
	return slices.Clone(f.history[f.shownIndex].members)
}

// listMembers registers the process and reads the list at intervals.
func (p *proc) listMembers(registered bool) {
	if !p.up {
		return
	}
	f := p.sim.platform
	if !registered && !p.paused {
		registered = f.register(p, topology.MemberLive)
	}
	var list []topology.Member
	f.request(p, func() { list = f.instances() }, func(ok, _ bool) {
		period := listPeriod
		if ok {
			p.deliver(node.MembersListed{Members: list})
			if !p.watching && p.node.Ready(p.sim.now) {
				period = idleListPeriod
			}
		} else {
			p.deliver(node.StoreFailed{})
		}
		p.sim.after(period, func() { p.listMembers(registered) })
	})
}
