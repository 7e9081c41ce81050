package rollout

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// Tracker is an instance's part of all orders: it selects the versions of sends, counts
// them and their answers, and follows the directives of the deciders.
type Tracker struct {
	run       topology.Incarnation
	random    *rand.Rand
	reports   uint64 // made so far
	epochs    uint64 // orders seen so far
	connected bool
	services  map[routing.ServiceName]*trackedService
}

// trackedService is what a Tracker knows about one service.
type trackedService struct {
	inFlight map[Version]int64 // sends without an outcome, also without an order
	order    *trackedOrder     // nil if there is none
	base     Version           // of the completed order that was replaced or removed last; "" for none
	// barred has the versions of orders that were rolled back, and of undecided ones
	// that were replaced or removed. The value is true for the latter: the decision may
	// not have reached this instance, so such a version is better than none.
	barred map[Version]bool
}

// NewTracker returns a Tracker without orders, of the run of an instance's process.
func NewTracker(run topology.Incarnation, random *rand.Rand) *Tracker {
	return &Tracker{run: run, random: random, connected: true, services: map[routing.ServiceName]*trackedService{}}
}

// service returns the state of a service, which it creates if needed.
func (t *Tracker) service(name routing.ServiceName) *trackedService {
	s := t.services[name]
	if s == nil {
		s = &trackedService{inFlight: map[Version]int64{}, barred: map[Version]bool{}}
		t.services[name] = s
	}
	return s
}

// SetOrders replaces the known orders by those of the copy of the store, with their
// statuses. The gateway calls it whenever the copy changes.
func (t *Tracker) SetOrders(orders []OrderState, now clock.Time) {
	listed := make(map[routing.ServiceName]bool, len(orders))
	for _, o := range orders {
		listed[o.Service] = true
		s := t.service(o.Service)
		if s.order != nil && !o.succeeds(s.order.OrderState) {
			s.order.OrderState = o.keepDecision(s.order.OrderState)
			continue
		}
		s.retire()
		delete(s.barred, o.Target)
		t.epochs++
		s.order = newTrackedOrder(o, t.epochs, now)
	}
	for name, s := range t.services {
		if !listed[name] {
			s.retire()
		}
	}
}

// retire keeps what remains in force of an order that was replaced or removed.
func (s *trackedService) retire() {
	if s.order == nil {
		return
	}
	switch state := s.order.State(); state {
	case Completed:
		s.base = s.order.Target
		delete(s.barred, s.base)
	case Running, RolledBack, "":
		s.barred[s.order.Target] = state != RolledBack
	}
	s.order = nil
}

// SetConnected tells whether the copy of the orders is up to date. An instance that is
// not connected and gets no directives can't know the decisions.
func (t *Tracker) SetConnected(connected bool) { t.connected = connected }

// Expire forgets the orders that were replaced or removed and whose version no target
// of the service has any more. The gateway calls it when the listings change.
func (t *Tracker) Expire(listed func(routing.ServiceName, Version) bool) {
	for name, s := range t.services {
		for v := range s.barred {
			if !listed(name, v) {
				delete(s.barred, v)
			}
		}
		if s.base != "" && !listed(name, s.base) {
			s.base = ""
		}
		if s.order == nil && s.base == "" && len(s.barred) == 0 && len(s.inFlight) == 0 {
			delete(t.services, name)
		}
	}
}

// Rule returns which targets a send to the service may use now. It changes nothing: the
// gateway calls it before each selection of a target, and calls Sent directly after it.
func (t *Tracker) Rule(name routing.ServiceName, route routing.RouteName, p Purpose, now clock.Time) Rule {
	s := t.services[name]
	if s == nil {
		return Rule{}
	}
	r := Rule{base: s.base}
	for v, undecided := range s.barred {
		if undecided {
			r.lastResort = append(r.lastResort, v)
		} else {
			r.barred = append(r.barred, v)
		}
	}
	if s.order == nil {
		return r
	}
	r.version = s.order.Target
	r.kind = s.order.ruleKind(route, p, now, t.random)
	undecided := !s.order.State().Decided() && s.order.reached != Back
	if r.kind == oldOnly && undecided && !t.connected && !s.order.directed(now) {
		r.lastResort = append(r.lastResort, r.version)
	}
	return r
}

// Sent counts a send, also to a service without an order, since an order may be written
// while it is in flight.
func (t *Tracker) Sent(sent Send, now clock.Time) {
	s := t.service(sent.Service)
	s.inFlight[sent.Version]++
	if s.order != nil && !s.order.State().Decided() {
		s.order.sent(sent, now, t.random)
	}
}

// Ended counts the end of a send for which Sent was called with the same value.
func (t *Tracker) Ended(sent Send, r Result) {
	s := t.service(sent.Service)
	s.inFlight[sent.Version]--
	if s.inFlight[sent.Version] == 0 {
		delete(s.inFlight, sent.Version)
	}
	if s.order != nil && !s.order.State().Decided() {
		s.order.ended(sent, r)
	}
}

// Active returns the services with undecided orders, in ascending order.
func (t *Tracker) Active() []routing.ServiceName {
	var names []routing.ServiceName
	for name, s := range t.services {
		if s.order != nil && !s.order.State().Decided() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Report returns the report about the undecided orders of the services, which have
// the same decider. The gateway sends it every ReportPeriod.
func (t *Tracker) Report(services []routing.ServiceName, now clock.Time) Report {
	t.reports++
	r := Report{Run: t.run, Number: t.reports}
	for _, name := range services {
		if s := t.services[name]; s != nil && s.order != nil && !s.order.State().Decided() {
			r.Orders = append(r.Orders, s.order.report(s.oldInFlight(), now))
		}
	}
	return r
}

// oldInFlight returns the number of sends to old targets without an outcome.
func (s *trackedService) oldInFlight() int64 {
	n := int64(0)
	for v, sends := range s.inFlight {
		if v != s.order.Target {
			n += sends
		}
	}
	return n
}

// Directed applies the decider's answer to the report that was made at sent. The
// directives are valid from that time.
func (t *Tracker) Directed(answer map[routing.ServiceName]Directive, sent, now clock.Time) {
	for name, d := range answer {
		s := t.services[name]
		if s == nil || s.order == nil || s.order.Target != d.Target || s.order.Created != d.Created {
			continue
		}
		if now.Before(sent.Add(directiveLifetime)) {
			s.order.follow(d, sent)
		}
	}
}

// compareEvidence orders the evidence of a report, so that equal counts have equal
// encodings.
func compareEvidence(a, b Evidence) int {
	if a.New != b.New {
		if a.New {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target))
}
