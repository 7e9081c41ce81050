package rollout

import (
	"math"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
)

const (
	// evaluationPeriod is the time between two computations of the shares.
	evaluationPeriod = 100 * clock.Millisecond
	// horizon is the time for which the share is planned: a directive takes up to a
	// report period to arrive, and as long until its effect is reported.
	horizon = clock.Second
	// slackShare is the part of the slack that is planned. The rest is for sends that
	// are not yet reported, and for the stage Move.
	slackShare = 0.5
	// maxShare is the highest share. The rest of the sends shows how the old version
	// does at the same time. A new target then carries what an old one carried besides
	// the canary.
	maxShare = 0.9
	// firstAnswers is the number of good answers until which the version gets only
	// firstSends requests in a second.
	firstAnswers = 5
	firstSends   = 10
	// gatherShare is the highest share of a decider that may not know all sends yet.
	gatherShare = 0.05
	// burst is the factor by which the rate may rise before that is reported.
	burst = 2
	// unreportedTime is the time from a directive until the next report arrives.
	unreportedTime = 350 * clock.Millisecond
	// revertTime is the time from the last sends that are reported until the directive to
	// end the stage Move arrives at all instances.
	revertTime = 650 * clock.Millisecond

	// loadTime is the length of the stage Load as a share of the duration.
	loadTime = 0.045
	// minLoadRounds is the least number of reports during Load if the exposure
	// suffices; less is accepted from loadLate on.
	minLoadRounds = 2
	loadLate      = 0.62
	loadMargin    = 1.1
	minLoadShare  = 0.3
	// settleTime is the time after which the answers of the stage Load are reported.
	settleTime = 2 * ReportPeriod

	// routeAnswers is the number of answers of the new version that each route should
	// get before the stage Move.
	routeAnswers = 36
	// minRouteAnswers is the number that it should get before the stage Load.
	minRouteAnswers = goodRouteAnswers + 1
	// goodShare is the share after Load if the version is good. The rest of the limit
	// is for the stage Move.
	goodShare = 0.02
)

// exposure controls how many requests the new version gets.
type exposure struct {
	updated    clock.Time
	share      float64
	routes     map[routing.RouteName]float64
	mean       float64 // share of all sends that results from share and routes
	loaded     bool    // the stage Load is over
	loadedAt   clock.Time
	loadRounds int
	loadShare  float64
}

// left returns how many requests the version may get now.
func (e *exposure) left(j *judgement) float64 {
	l, t := j.decider.limits, j.reporters.totals
	return l.Share*float64(t.sends) + slackShare*l.Slack*j.heardShare() - float64(t.newSends) - j.reporters.granted
}

// usedUp reports whether a version in the stage Move would get more than it may get if
// the stage ended now.
func (e *exposure) usedUp(j *judgement, now clock.Time) bool {
	const certain = 0.5 // part of the requests until the deadline that is sure to come
	l, t := j.decider.limits, j.reporters.totals
	left := max(0, j.startedAt.Add(j.known.Duration).Sub(now)).Std().Seconds()
	sends := float64(t.sends) + certain*left*j.reporters.rate
	coming := j.reporters.rate * revertTime.Std().Seconds()
	return float64(t.newSends)+coming+math.Sqrt(coming) > l.Share*sends+l.Slack
}

// update computes the shares of the stage Canary.
func (e *exposure) update(j *judgement, now clock.Time) {
	e.updated = now
	l, rate, left := j.decider.limits, max(j.reporters.rate, 1), e.left(j)
	share := (e.planned(j, now) - float64(j.reporters.totals.newSends)) / (rate * horizon.Std().Seconds())
	pooled := j.verdict.group(group{pooled: true}).new
	first := pooled.answers-pooled.failures < firstAnswers
	if first {
		share = min(share, firstSends/rate)
	}
	if !j.gathered(now) {
		share = min(share, gatherShare)
	}
	if share > l.Share { // more than what the requests themselves add to the limit
		share = min(share, max(l.Share, left/(burst*rate)))
	}
	if left <= 0 {
		share = 0
	}
	e.share = min(max(share, 0), maxShare)
	e.routes, e.mean = nil, e.share
	if !first && left > 0 && j.gathered(now) {
		e.updateRoutes(j, left, now)
	}
}

// planned returns how many requests the version should have got one horizon from now.
// The requests are spread evenly over the stage Canary, less those that Load needs.
func (e *exposure) planned(j *judgement, now clock.Time) float64 {
	l, t, rate := j.decider.limits, j.reporters.totals, j.reporters.rate
	canary := loadFrom * float64(j.known.Duration)
	age := float64(now.Sub(j.startedAt))
	limit := func(sends float64) float64 { return l.Share*sends + slackShare*l.Slack*j.heardShare() }
	if e.loaded {
		if _, good := j.verdict.shows(beforeEnd); good {
			return float64(t.newSends) + goodShare*rate
		}
		return limit(float64(t.sends))
	}
	if age >= canary {
		return limit(float64(t.sends)) - e.loadSends(j, fullLoadRounds(j))
	}
	atEnd := limit(float64(t.sends) + rate*(canary-age)/float64(clock.Second))
	atEnd = max(atEnd-e.loadSends(j, fullLoadRounds(j)), e.leastCanary(j, atEnd))
	return atEnd * min(1, (age+float64(horizon))/canary)
}

// leastCanary returns how many requests are for the stage Canary even if too few remain
// for the full stage Load. Where it can, it leaves enough for a stage Move in which the
// version is found bad.
func (e *exposure) leastCanary(j *judgement, limit float64) float64 {
	const (
		part     = 0.25 // of the limit
		requests = 60   // that suffice to find a version that is bad without load
		moveTime = 750 * clock.Millisecond
	)
	l, rate := j.decider.limits, j.reporters.rate
	total := l.Share*rate*j.known.Duration.Std().Seconds() + l.Slack
	left := total - e.loadSends(j, fullLoadRounds(j)) - rate*moveTime.Std().Seconds()
	return min(part*limit, max(requests, left))
}

// updateRoutes raises the shares of routes that would get too few requests, and lowers
// those of the others.
func (e *exposure) updateRoutes(j *judgement, left float64, now clock.Time) {
	age := max(now.Sub(j.startedAt).Std().Seconds(), 1)
	remaining := max(loadFrom*j.known.Duration.Std().Seconds()-age, 1)
	load := 0.0 // seconds of all requests that the stage Load adds
	if !e.loaded {
		load = maxShare * float64(fullLoadRounds(j)) * ReportPeriod.Std().Seconds()
	}
	wanted := map[routing.RouteName]float64{}
	requests, toNew := 0.0, 0.0 // of these routes in a second
	for name, g := range j.verdict.groups {
		rate := (g.old.answers + g.new.answers) / age
		missing := max(routeAnswers-rate*load, minRouteAnswers) - g.new.answers
		if name.pooled || missing <= e.share*rate*remaining || rate == 0 {
			continue
		}
		wanted[name.route] = min(missing/(rate*remaining), maxShare)
		requests += rate
		toNew += wanted[name.route] * rate
	}
	if len(wanted) == 0 {
		return
	}
	const most = 0.25 // of what is left, in a second, beyond the plan
	rate := max(j.reporters.rate, 1)
	planned := e.share * rate
	scale := min(1, (planned+most*left)/toNew)
	for route, share := range wanted {
		wanted[route] = share * scale
	}
	toNew *= scale
	others := max(rate-requests, 1)
	e.routes = wanted
	e.share = min(max(0, (planned-toNew)/others), e.share)
	e.mean = min((toNew+e.share*others)/rate, maxShare)
}

// fullLoadRounds returns the planned number of reports during Load.
func fullLoadRounds(j *judgement) int {
	return max(minLoadRounds, int(math.Round(loadTime*float64(j.known.Duration)/float64(ReportPeriod))))
}

// loadSends returns how many requests the version gets in a number of rounds of Load.
func (e *exposure) loadSends(j *judgement, rounds int) float64 {
	n := maxShare * j.reporters.rate * float64(rounds) * ReportPeriod.Std().Seconds()
	return loadMargin*n + math.Sqrt(n)
}

// reserveLoad reports whether Load can begin, and plans it.
func (e *exposure) reserveLoad(j *judgement, now clock.Time) bool {
	left := e.left(j)
	e.loadShare = maxShare
	for e.loadRounds = fullLoadRounds(j); e.loadRounds > 0; e.loadRounds-- {
		if e.loadSends(j, e.loadRounds) <= left {
			return true
		}
		if e.loadRounds <= minLoadRounds && j.share(now) < loadLate {
			return false // the limit grows with the requests
		}
	}
	e.loadRounds, e.loadShare = 1, maxShare*left/max(e.loadSends(j, 1), 1e-9)
	return left > 0 && e.loadShare >= minLoadShare
}

// loadEnded reports whether all instances have had their rounds of Load.
func (e *exposure) loadEnded(j *judgement, now clock.Time) bool {
	length := ReportPeriod*clock.Duration(e.loadRounds) + settleTime
	if now.Sub(j.started) < length {
		return false
	}
	e.loadedAt = now
	return true
}

// settled reports whether the answers of the stage Load have been reported.
func (e *exposure) settled(now clock.Time) bool {
	return !e.loaded || now.Sub(e.loadedAt) >= settleTime
}

// direct sets the share of an instance that has just reported.
func (e *exposure) direct(j *judgement, r *reporter, d *Directive, now clock.Time) {
	d.Stage, d.Share, d.Routes = Canary, e.share, e.routes
	mean := e.mean
	if j.stage == Load && r.loads < e.loadRounds {
		grant := beyond(e.loadShare, j, r)
		if e.left(j)+r.granted >= grant && e.loadable(j, now) {
			d.Stage, d.Share, d.Routes = Load, e.loadShare, nil
			mean = e.loadShare
			r.loads++
		}
	}
	j.reporters.grant(r, beyond(mean, j, r))
}

// loadable reports whether an instance may still begin a round of Load.
func (e *exposure) loadable(j *judgement, now clock.Time) bool {
	return now.Sub(j.started) < ReportPeriod*clock.Duration(e.loadRounds+1)
}

// beyond returns how many sends of an instance go to the new version until the next
// report, beyond those that its sends add to the limit.
func beyond(share float64, j *judgement, r *reporter) float64 {
	return max(0, share-j.decider.limits.Share) * r.rate * unreportedTime.Std().Seconds()
}
