package rollout

import "math"

// kind is what a test is about.
type kind int

// Kinds of tests.
const (
	failures kind = iota
	slowness
	kinds // their number
)

// String returns the name of the kind.
func (k kind) String() string {
	if k == failures {
		return "failures"
	}
	return "slow answers"
}

// size returns the number of answers that a kind of test uses.
func (c counts) size(k kind) float64 {
	if k == failures {
		return c.answers
	}
	return c.timed
}

// bad returns the number of bad ones of these.
func (c counts) bad(k kind) float64 {
	if k == failures {
		return c.failures
	}
	return c.slow
}

// Rates of bad answers that the tests assume.
const (
	// minFailureRate is the least rate of failures of a good version, so that one
	// failure is not yet evidence against it.
	minFailureRate = 0.01
	// badFailureRate is the rate of a bad version, or failureRise above that of the old
	// version. About 30 answers without a failure show that a version is better.
	badFailureRate = 0.15
	failureRise    = 0.12
	// badRouteRate is badFailureRate for one route: a route that is bad fails more often
	// than all requests together, and gets fewer.
	badRouteRate = 0.25
	// lowFailureRate is the rate of a version that is bad in few answers, or three
	// times that of the old version. It takes some hundred answers.
	lowFailureRate = 0.04
	lowFactor      = 3

	minSlowRate = 0.03
	// badSlowRate is the rate of slow answers of a bad version: most of the answers of
	// one that is three times slower take twice the median.
	badSlowRate = 0.55
	slowRise    = 0.35
	// unknownSlowRate is the least rate of the old version in an interval of a surge of
	// requests in which few of its answers tell whether all are slow.
	unknownSlowRate = 0.4
	fewTimed        = 5
	maxBadRate      = 0.9

	// priorAnswers is the weight of the old version's rate over all intervals in its
	// rate in one interval.
	priorAnswers = 20
)

// rates are the rates of bad answers in an interval.
type rates struct{ good, bad, low [kinds]float64 }

// rates returns the rates for an interval in which the old version had the counts now.
func (g *groupEvidence) rates(now counts, badFailureRate float64, surge bool) rates {
	f := max(smoothed(now, g.old, failures), minFailureRate)
	s := max(smoothed(now, g.old, slowness), minSlowRate)
	if surge && now.timed < fewTimed {
		s = max(s, unknownSlowRate)
	}
	return rates{
		good: [kinds]float64{min(f, maxBadRate-failureRise), min(s, maxBadRate-failureRise)},
		bad:  [kinds]float64{min(max(badFailureRate, f+failureRise), maxBadRate), min(max(badSlowRate, s+slowRise), maxBadRate)},
		low:  [kinds]float64{min(max(lowFailureRate, lowFactor*f), maxBadRate), 0},
	}
}

// smoothed returns the rate of bad answers among c, with the rate among all as prior.
func smoothed(c, all counts, k kind) float64 {
	const priorOfAll = 20 // answers without a bad one
	prior := all.bad(k) / (all.size(k) + priorOfAll)
	return (c.bad(k) + priorAnswers*prior) / (c.size(k) + priorAnswers)
}

// scoreType is one of the ratios of a kind.
type scoreType int

const (
	totalScore  scoreType = iota // of all answers
	recentScore                  // the highest sum of the latest answers, at least 0
	lowScore                     // of all answers, for lowFailureRate
	sizeScore                    // the number of answers
	scoreTypes                   // their number
)

// scores are the logarithms of the likelihood ratios of a bad to a good version.
type scores [kinds][scoreTypes]float64

// scoresOf returns the scores of the answers of one interval.
func scoresOf(c counts, r rates) scores {
	var s scores
	for k := range kinds {
		ratio := logRatio(c, k, r.good[k], r.bad[k])
		s[k] = [scoreTypes]float64{totalScore: ratio, recentScore: ratio, sizeScore: c.size(k)}
		if r.low[k] > 0 {
			s[k][lowScore] = logRatio(c, k, r.good[k], r.low[k])
		}
	}
	return s
}

// logRatio returns the logarithm of the likelihood ratio of the rates bad and good.
func logRatio(c counts, k kind, good, bad float64) float64 {
	return c.bad(k)*math.Log(bad/good) + (c.size(k)-c.bad(k))*math.Log((1-bad)/(1-good))
}

// plus returns the scores after an interval with the scores d.
func (s scores) plus(d scores) scores {
	for k := range kinds {
		for t := range scoreTypes {
			s[k][t] += d[k][t]
		}
	}
	return s
}

// atLeastZero returns s with recent scores of at least 0: what was good before does not
// excuse what has become bad.
func (s scores) atLeastZero() scores {
	for k := range kinds {
		s[k][recentScore] = max(0, s[k][recentScore])
	}
	return s
}

// groupScore is the sum of a score over the targets of a group.
type groupScore struct {
	all  float64
	rest float64 // without the target with the highest score; equals all if one
	one  bool    // only one target of the version has answered
}

// sum returns the sum of a score over the targets of a group.
func (v *verdict) sum(g *groupEvidence, k kind, t scoreType) groupScore {
	total, worst := 0.0, math.Inf(-1)
	for _, s := range g.targets {
		total += s[k][t]
		worst = max(worst, s[k][t])
	}
	if len(v.group(group{pooled: true}).targets) < 2 {
		return groupScore{total, total, true}
	}
	if len(g.targets) == 0 {
		worst = 0
	}
	return groupScore{total, total - worst, false}
}

// exceeds reports whether the score shows that the version is bad.
func (s groupScore) exceeds(threshold float64) bool {
	if s.one {
		return s.all >= threshold+badSingle
	}
	return s.all >= threshold && s.rest >= badRest*threshold
}
