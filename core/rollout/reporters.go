package rollout

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// rateWeight is the weight of the latest report in an instance's rate of sends, so that
// one covers about a second.
const rateWeight = 0.3

// reporter is what an instance has reported about one order.
type reporter struct {
	run    topology.Incarnation
	epoch  uint64
	number uint64
	last   OrderReport
	at     clock.Time // when last arrived

	connected bool    // it has reported within reporterLifetime
	rate      float64 // sends to the service in a second
	granted   float64 // sends to the new version until the next report beyond the limit's share of the sends
	loads     int     // directives of the stage Load
}

// totals are sums over instances.
type totals struct{ sends, newSends, bad int64 }

// add adds the totals of a report, n times.
func (t *totals) add(o OrderReport, n int64) {
	t.sends += n * o.Sends
	t.newSends += n * o.NewSends
	t.bad += n * o.Bad
}

// reporters merges the reports of all instances. The counts of the earlier runs of an
// instance stay included.
type reporters struct {
	byID      map[topology.InstanceID]*reporter
	totals    totals
	connected int     // instances
	rate      float64 // sends of the connected instances in a second
	granted   float64 // sum over the instances
	expiredAt clock.Time
}

func newReporters() reporters { return reporters{byID: map[topology.InstanceID]*reporter{}} }

// delta is what a report adds to the previous one.
type delta struct {
	evidence []Evidence
	span     clock.Duration // between the reports
}

// receive merges a report. A report that is not later than the last one of the same run
// adds nothing, and neither does one of an earlier run, unless the later one has been silent
// for reporterLifetime: the order of runs follows the clock of the day, which may have been
// set back before the process was started again.
func (rs *reporters) receive(from topology.InstanceID, r Report, o OrderReport, now clock.Time) (*reporter, delta) {
	s := rs.byID[from]
	if s == nil {
		s = &reporter{}
		rs.byID[from] = s
	}
	first := s.run != r.Run || s.epoch != o.Epoch
	earlier := r.Run < s.run && now.Sub(s.at) <= reporterLifetime
	if earlier || !first && r.Number <= s.number || r.Run == s.run && o.Epoch < s.epoch {
		return s, delta{}
	}
	d := delta{evidence: o.Evidence, span: max(o.Age, ReportPeriod)}
	sends := o.Sends
	if !first {
		rs.totals.add(s.last, -1)
		d = delta{evidence: added(s.last.Evidence, o.Evidence), span: max(now.Sub(s.at), 1)}
		sends = max(0, sends-s.last.Sends)
	}
	rs.totals.add(o, 1)
	rs.setRate(s, float64(sends)*float64(clock.Second)/float64(d.span), first)
	rs.grant(s, 0)
	s.run, s.epoch, s.number, s.last, s.at = r.Run, o.Epoch, r.Number, o, now
	return s, d
}

// setRate updates the rate of a connected instance.
func (rs *reporters) setRate(s *reporter, rate float64, first bool) {
	if !s.connected {
		s.connected = true
		rs.connected++
		s.rate = 0
	}
	if !first {
		rate = (1-rateWeight)*s.rate + rateWeight*rate
	}
	rs.rate += rate - s.rate
	s.rate = rate
}

// grant notes the sends to the new version that a directive allows until the next
// report.
func (rs *reporters) grant(s *reporter, sends float64) {
	rs.granted += sends - s.granted
	s.granted = sends
}

// expire notes the instances that are no longer connected.
func (rs *reporters) expire(now clock.Time) {
	if now.Before(rs.expiredAt.Add(ReportPeriod)) {
		return
	}
	rs.expiredAt = now
	for _, s := range rs.byID {
		if s.connected && now.Sub(s.at) > reporterLifetime {
			s.connected = false
			rs.connected--
			rs.rate -= s.rate
		}
	}
}

// allMoved reports whether all connected instances have moved and have no sends in
// progress at old targets.
func (rs *reporters) allMoved(now clock.Time) bool {
	for _, s := range rs.byID {
		if now.Sub(s.at) <= reporterLifetime && (!s.last.Moved || s.last.OldInFlight > 0) {
			return false
		}
	}
	return true
}

// haveLoaded reports whether instances with half of the sends have been in the stage Load.
func (rs *reporters) haveLoaded() bool {
	loaded := 0.0
	for _, s := range rs.byID {
		if s.connected && s.last.Stage >= Load {
			loaded += s.rate
		}
	}
	return rs.rate > 0 && loaded >= rs.rate/2
}

// added returns the evidence that was added between two reports of one run.
func added(before, after []Evidence) []Evidence {
	known := make(map[cellKey]Evidence, len(before))
	for _, e := range before {
		known[e.key()] = e
	}
	list := make([]Evidence, 0, len(after))
	for _, e := range after {
		b := known[e.key()]
		e.Answers -= b.Answers
		e.Failures -= b.Failures
		e.Timed -= b.Timed
		e.Slow -= b.Slow
		if e.Answers > 0 || e.Timed > 0 {
			list = append(list, e)
		}
	}
	return list
}
