package rollout

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
)

const (
	// reporterLifetime is the time since its last report after which an instance is
	// disconnected: its directive is no longer valid.
	reporterLifetime = 2 * clock.Second
	// gatherTime is the time after the first report, or after a pause of the decider,
	// until the reports of all instances have arrived.
	gatherTime = clock.Second
	// maxPause is the time without a call of Due after which the decider was paused,
	// and others may have decided instead.
	maxPause = clock.Second
	// writeTimeout is the time after which a write is repeated although its end has not
	// been reported.
	writeTimeout = 3 * clock.Second
	// writeBackoff is the time between a write that failed and its repetition.
	writeBackoff = 250 * clock.Millisecond
)

// Write is a write of an order's status. The store must accept it only if the object
// has the Revision.
type Write struct {
	Service  routing.ServiceName
	Revision view.Revision
	Status   Status
	Reason   string // for the log
}

// Decider judges the orders whose reports this instance receives.
type Decider struct {
	limits    Limits
	instances int // listed; 0 if not known
	orders    map[routing.ServiceName]*judgement
	dueAt     clock.Time // last call of Due; 0 before the first
	awakeAt   clock.Time // end of the last pause
}

// NewDecider returns a Decider without orders.
func NewDecider(limits Limits) *Decider {
	return &Decider{limits: limits, orders: map[routing.ServiceName]*judgement{}}
}

// SetInstances sets the number of listed instances. A decider that hears fewer than
// half of them does not complete orders and uses only their part of the slack.
func (d *Decider) SetInstances(n int) { d.instances = n }

// SetOrders replaces the known orders by those of the copy of the store.
func (d *Decider) SetOrders(orders []OrderState, now clock.Time) {
	listed := make(map[routing.ServiceName]bool, len(orders))
	for _, o := range orders {
		listed[o.Service] = true
		d.observe(o, false, now)
	}
	for name := range d.orders {
		if !listed[name] {
			delete(d.orders, name)
		}
	}
}

// observe notes a state of an order that a copy shows, or the store itself.
func (d *Decider) observe(o OrderState, store bool, now clock.Time) {
	j := d.orders[o.Service]
	switch {
	case j == nil:
		d.orders[o.Service] = newJudgement(d, o, now)
	case !store && j.outdated(o):
	case o.succeeds(j.known):
		d.orders[o.Service] = newJudgement(d, o, now)
	default:
		j.observe(o)
	}
}

// Receive merges the report of an instance and returns the directives for the orders in
// it, which the gateway sends back as the answer. There is none for an order that this
// instance does not know or knows in another version.
func (d *Decider) Receive(from topology.InstanceID, r Report, now clock.Time) map[routing.ServiceName]Directive {
	d.notePause(now)
	answer := make(map[routing.ServiceName]Directive, len(r.Orders))
	for _, o := range r.Orders {
		j := d.orders[o.Service]
		if j == nil || j.known.Target != o.Target || j.known.Created != o.Created {
			continue
		}
		source := j.receive(from, r, o, now)
		j.advance(now)
		answer[o.Service] = j.direct(source, now)
	}
	return answer
}

// notePause notes when the decider was paused until now.
func (d *Decider) notePause(now clock.Time) {
	if d.dueAt != 0 && now.Sub(d.dueAt) > maxPause {
		d.awakeAt = now
	}
}

// Due returns the writes to make now. The gateway calls it every 50 to 100 ms, makes
// each write once, and reports its end with Answered, Removed or Failed. A write is
// returned again until the store shows it.
func (d *Decider) Due(now clock.Time) []Write {
	d.notePause(now)
	d.dueAt = now
	var writes []Write
	for _, j := range d.orders {
		j.advance(now)
		if w, ok := j.write(now); ok {
			writes = append(writes, w)
		}
	}
	return writes
}

// Answered notes the object that the store returned for a write, whether it accepted the
// write or refused it because of a conflict.
func (d *Decider) Answered(w Write, current OrderState, now clock.Time) {
	if j := d.orders[w.Service]; j != nil {
		j.writeAt = now
	}
	d.observe(current, true, now)
}

// Removed notes that the store has no order of the service.
func (d *Decider) Removed(w Write) { delete(d.orders, w.Service) }

// Failed notes that the result of a write is unknown. It is repeated with the same
// revision.
func (d *Decider) Failed(w Write, now clock.Time) {
	if j := d.orders[w.Service]; j != nil {
		j.writeAt = now.Add(writeBackoff)
	}
}
