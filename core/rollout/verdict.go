package rollout

import (
	"fmt"
	"math"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

const (
	// intervalLength is the length of the intervals in which the versions are compared.
	// In an interval, both versions meet the same load and disturbances. It has one
	// report of each instance.
	intervalLength = ReportPeriod
	// gatingAnswers is the number of answers from which a route must itself show that
	// the version is good. With fewer, nothing can be shown, and a route that is hardly
	// used must not prevent all rollouts.
	gatingAnswers = 16
)

// Thresholds of the tests, as natural logarithms of likelihood ratios.
const (
	// badRatio is where a version is bad: with 0.5 per mille of false alarms in the
	// tests of 50 answers. It grows with the logarithm of the answers, since each may
	// begin a false alarm.
	badRatio        = 7.6
	badRatioAnswers = 50
	// badSlowRatio applies to slow answers instead. Pauses make several answers slow
	// together, and most answers of a slow version are.
	badSlowRatio = 12
	// badRest is the part of the ratio that must remain without the worst target.
	badRest = 0.75
	// badSingle is added if only one target has answered: another target may show that
	// this one alone is bad.
	badSingle = 12
	// goodRatio and goodAnswers are where a version is good. Less than 1 in 100 versions
	// that fail in badFailureRate of the answers get there, with no failure in goodAnswers
	// or one in 40.
	goodRatio   = -3.3
	goodAnswers = 28
	// goodRouteRatio and goodRouteAnswers apply to a single route. The least number is
	// what a route with two requests a second can show in 12 s: a version that fails in
	// 0.3 of its answers gets there 14 times in 1,000, and one that fails in 0.5 less
	// than once. Routes with more requests show more, see routeAnswers.
	goodRouteRatio   = -2.5
	goodRouteAnswers = 12
	// goodTimed and goodRouteTimed are the answers whose latency must count.
	goodTimed      = 10
	goodRouteTimed = 7
	// favorableRatio is where the evidence speaks for the version, so that more may be
	// collected in the stage Move.
	favorableRatio = -1
	// recentRatio bounds what recent answers say against a good version: about one
	// failure.
	recentRatio     = 4
	recentSlowRatio = 7 // two pauses
	// loadRouteRatio is the most ratio of a route before the stage Load.
	loadRouteRatio = 2.5
	// rareRatio bounds the ratio of a route with too few answers: one failure of 13.
	rareRatio = 0
	// hardStop is the number of bad answers from which badRatio applies whatever the
	// number of answers: well below the 50 that a bad version may give.
	hardStop = 25
)

// group is a part of the evidence that is tested by itself: a route, or all.
type group struct {
	pooled bool
	route  routing.RouteName // "" if pooled
}

// groupEvidence is the evidence about one group.
type groupEvidence struct {
	old, new counts
	targets  map[topology.TargetID]*scores // of the new version
}

// verdict compares the versions by sequential tests.
type verdict struct {
	interval map[cellKey]counts // answers since closedAt
	span     clock.Duration     // longest time that a report in interval covers
	closedAt clock.Time
	groups   map[group]*groupEvidence
}

func newVerdict() verdict {
	return verdict{interval: map[cellKey]counts{}, groups: map[group]*groupEvidence{}}
}

// add adds evidence of one report, which covers the span.
func (v *verdict) add(list []Evidence, span clock.Duration) {
	for _, e := range list {
		v.interval[e.key()] = v.interval[e.key()].plus(e.counts(), 1, 1)
		v.span = max(v.span, span)
	}
}

// evaluate closes the interval if it is over, and reports whether it was. surge tells
// whether the rate of requests is higher than before.
func (v *verdict) evaluate(surge bool, now clock.Time) bool {
	if now.Before(v.closedAt.Add(intervalLength)) {
		return false
	}
	v.closedAt = now
	v.limitBad()
	v.compare(surge)
	clear(v.interval)
	v.span = 0
	return true
}

// limitBad applies maxBad to each target. An interval with a first report covers more
// time, in which more bad answers count.
func (v *verdict) limitBad() {
	limit := maxBad * max(1, float64(v.span)/float64(intervalLength))
	sums := map[side]counts{}
	for k, c := range v.interval {
		sums[k.side] = sums[k.side].plus(c, 1, 1)
	}
	for k, c := range v.interval {
		answers, timed := sums[k.side].weights(limit)
		v.interval[k] = counts{}.plus(c, answers, timed)
	}
}

// compare tests the answers of the interval.
func (v *verdict) compare(surge bool) {
	old := map[routing.RouteName]counts{}
	for k, c := range v.interval {
		if !k.isNew {
			old[k.route] = old[k.route].plus(c, 1, 1)
		}
	}
	for route, c := range old {
		v.group(group{pooled: true}).addOld(c)
		v.group(group{route: route}).addOld(c)
	}
	all := v.group(group{pooled: true})
	pooled := map[topology.TargetID]scores{}
	for k, c := range v.interval {
		if !k.isNew {
			continue
		}
		g := v.group(group{route: k.route})
		g.addNew(k.target, c, scoresOf(c, g.rates(old[k.route], badRouteRate, surge)))
		// The rates of the route count, since each route has its own.
		pooled[k.target] = pooled[k.target].plus(scoresOf(c, g.rates(old[k.route], badFailureRate, surge)))
		all.new = all.new.plus(c, 1, 1)
	}
	for target, s := range pooled {
		all.addNew(target, counts{}, s)
	}
}

// group returns the evidence of a group.
func (v *verdict) group(g group) *groupEvidence {
	e := v.groups[g]
	if e == nil {
		e = &groupEvidence{targets: map[topology.TargetID]*scores{}}
		v.groups[g] = e
	}
	return e
}

// addOld adds answers of the old version.
func (g *groupEvidence) addOld(c counts) { g.old = g.old.plus(c, 1, 1) }

// addNew adds answers of a target of the new version with their scores.
func (g *groupEvidence) addNew(target topology.TargetID, c counts, s scores) {
	g.new = g.new.plus(c, 1, 1)
	if g.targets[target] == nil {
		g.targets[target] = &scores{}
	}
	*g.targets[target] = g.targets[target].plus(s).atLeastZero()
}

// gating reports whether the group itself must show that the version is good.
func (g *groupEvidence) gating() bool { return g.old.answers+g.new.answers >= gatingAnswers }

// bad reports whether the version is bad, and why. badAnswers is their number.
func (v *verdict) bad(badAnswers int64) (reason string, bad bool) {
	for name, g := range v.groups {
		for kind := range kinds {
			threshold := float64(badRatio)
			if kind == slowness {
				threshold = badSlowRatio
			}
			threshold += math.Log(max(1, g.new.size(kind)/badRatioAnswers))
			recent := v.sum(g, kind, recentScore)
			stop := kind == failures && name.pooled && badAnswers >= hardStop && recent.rest >= badRest*badRatio
			if stop || recent.exceeds(threshold) || v.sum(g, kind, lowScore).exceeds(threshold) {
				return fmt.Sprintf("bad: %s of %s: %s", kind, name, v.describe(g, kind)), true
			}
		}
	}
	return "", false
}

// proof is what the evidence must show about a kind of bad answers.
type proof struct {
	ratio   float64 // most of all answers
	answers float64 // their least number
	recent  float64 // most ratio of recent answers without the worst target
}

// proofs are what the evidence must show about all answers and about those of each route.
type proofs struct{ pooled, route [kinds]proof }

// What the evidence must show before each step.
var (
	beforeLoad = proofs{
		pooled: [kinds]proof{{0, 1, recentRatio}, {0, 1, recentSlowRatio}},
		route:  [kinds]proof{{loadRouteRatio, 0, recentRatio}, {loadRouteRatio, 0, recentSlowRatio}},
	}
	beforeMove = proofs{
		pooled: [kinds]proof{{favorableRatio, 1, recentRatio}, {favorableRatio, 1, recentSlowRatio}},
		route:  [kinds]proof{{favorableRatio, 1, recentRatio}, {favorableRatio, 1, recentSlowRatio}},
	}
	beforeEnd = proofs{
		pooled: [kinds]proof{{goodRatio, goodAnswers, recentRatio}, {goodRatio, goodTimed, recentSlowRatio}},
		route:  [kinds]proof{{goodRouteRatio, goodRouteAnswers, recentRatio}, {goodRouteRatio, goodRouteTimed, recentSlowRatio}},
	}
)

// shows reports whether the evidence shows what p asks for, and what is missing.
func (v *verdict) shows(p proofs) (missing string, ok bool) {
	if v.groups[group{pooled: true}] == nil {
		return "no answers", false
	}
	for name, g := range v.groups {
		asked := p.route
		if name.pooled {
			asked = p.pooled
		}
		for kind := range kinds {
			if !name.pooled && !g.gating() {
				if !v.rarePasses(g, kind) {
					return fmt.Sprintf("%s of rare %s", kind, name), false
				}
			} else if !v.showsKind(g, kind, asked[kind]) {
				return fmt.Sprintf("%s of %s: %s", kind, name, v.describe(g, kind)), false
			}
		}
	}
	return "", true
}

// showsKind reports whether the evidence about a group shows what p asks for. It may do
// so without the worst target if that one is bad by itself.
func (v *verdict) showsKind(g *groupEvidence, k kind, p proof) bool {
	if max(v.sum(g, k, recentScore).rest, v.sum(g, k, lowScore).rest) > p.recent {
		return false
	}
	total, size := v.sum(g, k, totalScore), v.sum(g, k, sizeScore)
	if total.all <= p.ratio && size.all >= p.answers {
		return true
	}
	return v.oneBad(k) && total.rest <= p.ratio && size.rest >= p.answers
}

// oneBad reports whether the worst target is bad by itself.
func (v *verdict) oneBad(k kind) bool {
	total := v.sum(v.group(group{pooled: true}), k, totalScore)
	return total.all-total.rest >= badRatio
}

// describe returns the state of a test for a log line.
func (v *verdict) describe(g *groupEvidence, k kind) string {
	total, latest := v.sum(g, k, totalScore), v.sum(g, k, recentScore)
	return fmt.Sprintf("ratio %.1f, %.1f without the worst target, recently %.1f and %.1f, low ratio %.1f, %.0f answers",
		total.all, total.rest, latest.all, latest.rest, v.sum(g, k, lowScore).all, g.new.size(k))
}

// rarePasses reports whether a route with few requests has reached the version, and
// little speaks against it.
func (v *verdict) rarePasses(g *groupEvidence, k kind) bool {
	const fewAnswers = 3 // the version need not have answered a route with fewer
	if g.new.answers == 0 {
		return g.old.answers < fewAnswers
	}
	total := v.sum(g, k, totalScore)
	return total.all <= rareRatio || v.oneBad(k) && total.rest <= rareRatio
}

// String returns the state of the tests of all answers.
func (v *verdict) String() string {
	g := v.group(group{pooled: true})
	return fmt.Sprintf("failure ratio %.1f of %.0f answers, slowness ratio %.1f of %.0f",
		v.sum(g, failures, totalScore).all, g.new.answers, v.sum(g, slowness, totalScore).all, g.new.timed)
}

// String returns the name of the group.
func (g group) String() string {
	if g.pooled {
		return "all routes"
	}
	return "route " + string(g.route)
}
