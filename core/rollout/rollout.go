// Package rollout replaces the version of a service's targets. An operator's order
// names the new version. Each instance has a Tracker, which selects the version of its
// sends and counts them and their answers. The Decider of one instance, the coordinator
// of the order, merges the reports of all trackers, tells each tracker which share of
// the sends goes to the new version, compares the versions, and decides to complete the
// order or to roll it back.
//
// The order and its status in the store are the only persistent state, and a
// conditional write of the status is the only decision. Reports and directives may be
// lost, delayed or duplicated. The package does no input or output.
//
// In this package, the new version is the one that the order names. Targets of all
// other versions are old.
package rollout

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/view"
)

// ReportPeriod is the time between two reports of an instance.
const ReportPeriod = 250 * clock.Millisecond

// directiveLifetime is how long an instance follows a directive: as long as five
// further reports, so that a decider that crashed can be replaced meanwhile.
const directiveLifetime = 1500 * clock.Millisecond

// Version is the version of a target's software.
type Version string

// State is the state of an order.
type State string

// States of orders. An order has none until the first status is written.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Decided reports whether the state is final.
func (s State) Decided() bool { return s == Completed || s == RolledBack }

// Order is an operator's order to replace the version of a service.
type Order struct {
	Service  routing.ServiceName
	Target   Version        // the new version
	Duration clock.Duration // time from the order until the decision is due; greater than 0
	Created  view.Revision  // revision of the object's creation, which tells a recreated order from a deleted one
}

// Status is what the tier has written about an order.
type Status struct {
	State  State
	Target Version // of the order that State belongs to
}

// OrderState is an order with its status, as the store shows it.
type OrderState struct {
	Order
	Status   Status
	Revision view.Revision // of the object; each change increases it
}

// State returns the state of the order. The status of an earlier order, which names
// another version, does not count.
func (o OrderState) State() State {
	if o.Status.Target != o.Target {
		return ""
	}
	return o.Status.State
}

// sameOrder reports whether both are states of one order.
func (o OrderState) sameOrder(p OrderState) bool {
	return o.Service == p.Service && o.Target == p.Target && o.Created == p.Created
}

// succeeds reports whether o is a later order than p: another one, or one that was
// written again after other orders. The state of an order that is the same is lost only
// if the status named another version meanwhile, or if the store was restored to an
// older state, which has a lower revision.
func (o OrderState) succeeds(p OrderState) bool {
	return !o.sameOrder(p) || p.State() != "" && o.State() == "" && o.Revision > p.Revision
}

// keepDecision returns o with the status of p if p is decided and o, which is a state
// of the same order, is not: the store was restored to an older state.
func (o OrderState) keepDecision(p OrderState) OrderState {
	if p.State().Decided() && !o.State().Decided() {
		o.Status, o.Revision = p.Status, max(o.Revision, p.Revision)
	}
	return o
}

// Limits bound what a version gets before it is known to be good.
type Limits struct {
	Share    float64        // of the requests that reach the service, 0 to 1
	Slack    float64        // requests in addition
	Rollback clock.Duration // from the 50th bad answer until the version gets no requests
}

// Stage is a stage of an order. A later stage has a higher number, and instances report
// the highest one that they have seen, so that a new decider continues from there.
type Stage int

// Stages of an order.
const (
	NoStage Stage = iota // no send goes to the new version
	Canary               // a share of the first sends goes to the new version
	Load                 // most first sends do, so that the new targets carry real load
	Move                 // all sends do
	Back                 // the version is bad: no send does, and the order is rolled back
)

// Directive tells an instance how to handle an order. It is valid for 1.5 s.
type Directive struct {
	Stage Stage   `cbor:"1,keyasint"`
	Share float64 `cbor:"2,keyasint"` // of the first sends that go to the new version in the stages Canary and Load, 0 to 1
	// Routes has the shares of single routes that differ from Share, so that routes
	// with few requests are tried too.
	Routes map[routing.RouteName]float64 `cbor:"3,keyasint,omitempty"`
	// Target and Created identify the order.
	Target  Version       `cbor:"4,keyasint"`
	Created view.Revision `cbor:"5,keyasint"`
}

// share returns the share of the first sends of the route.
func (d Directive) share(route routing.RouteName) float64 {
	if share, ok := d.Routes[route]; ok {
		return share
	}
	return d.Share
}
