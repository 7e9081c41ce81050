package rollout

import (
	"math"
	"slices"

	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

const (
	// slowFactor is the latency relative to the route's median from which an answer is
	// slow. Bad versions are several times slower.
	slowFactor = 2
	// maxBad bounds the failures, and the slow answers, of one target that count in one
	// period. A pause of a target makes all its sends at that moment bad, which tells no
	// more than one or two of them. The other answers of the target in that period count
	// less in proportion, so that its rate of bad answers stays the same.
	maxBad = 2
)

// side is a target as part of a version.
type side struct {
	isNew  bool
	target topology.TargetID
}

// cellKey identifies the answers of a target to requests of a route.
type cellKey struct {
	side
	route routing.RouteName
}

// counts are numbers of answers. They have fractions because of maxBad.
type counts struct{ answers, failures, timed, slow float64 }

// plus returns c+d, with the answers and failures of d weighted by f and the timed ones
// by s.
func (c counts) plus(d counts, f, s float64) counts {
	return counts{c.answers + f*d.answers, c.failures + f*d.failures, c.timed + s*d.timed, c.slow + s*d.slow}
}

// countsOf returns the counts of one send. It returns false if its end tells nothing
// about the version.
func countsOf(s Send, r Result) (counts, bool) {
	warm, slow := !s.Cold && r.Slowness > 0, r.Slowness >= slowFactor
	switch r.Outcome {
	case Failed:
		return counts{answers: 1, failures: 1}, true
	case Answered:
		c := counts{answers: 1}
		if warm {
			c.timed = 1
		}
		if warm && slow {
			c.slow = 1
		}
		return c, true
	case Abandoned:
		return counts{timed: 1, slow: 1}, warm && slow
	case Unknown, NotSent:
	}
	return counts{}, false
}

// weights returns the weights of the answers and of the timed answers of a target with
// the counts c, such that at most limit failures and slow answers count.
func (c counts) weights(limit float64) (answers, timed float64) {
	return min(1, limit/max(c.failures, limit)), min(1, limit/max(c.slow, limit))
}

// cell has the counts of one target and route.
type cell struct {
	counted counts // until the last report
	pending counts // since then
}

// evidence has the cells of an instance's part of an order.
type evidence map[cellKey]*cell

// add adds counts to a cell.
func (e evidence) add(k cellKey, c counts) {
	if e[k] == nil {
		e[k] = &cell{}
	}
	e[k].pending = e[k].pending.plus(c, 1, 1)
}

// counted moves the pending counts to the counted ones and returns these.
func (e evidence) counted() []Evidence {
	pending := map[side]counts{}
	for k, c := range e {
		pending[k.side] = pending[k.side].plus(c.pending, 1, 1)
	}
	list := make([]Evidence, 0, len(e))
	for k, c := range e {
		answers, timed := pending[k.side].weights(maxBad)
		c.counted, c.pending = c.counted.plus(c.pending, answers, timed), counts{}
		list = append(list, Evidence{
			New: k.isNew, Route: k.route, Target: k.target,
			Answers: whole(c.counted.answers), Failures: whole(c.counted.failures),
			Timed: whole(c.counted.timed), Slow: whole(c.counted.slow),
		})
	}
	slices.SortFunc(list, compareEvidence)
	return list
}

// whole returns the integer part of a sum of fractions.
func whole(x float64) int64 {
	const roundingError = 1e-6
	return int64(math.Floor(x + roundingError))
}

// counts returns the counts of the evidence.
func (e Evidence) counts() counts {
	return counts{float64(e.Answers), float64(e.Failures), float64(e.Timed), float64(e.Slow)}
}

// key returns the cell of the evidence.
func (e Evidence) key() cellKey { return cellKey{side{e.New, e.Target}, e.Route} }
