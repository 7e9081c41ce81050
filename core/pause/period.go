// Package pause predicts the pauses of targets that pause at nearly regular intervals,
// each at its own time, from the sends that stalled there. It asks targets nothing.
//
// The targets of one service run the same program, so they share the length of the
// period and each has its own phase. A prediction is a hint for the choice among
// targets: a wrong one only sends a request to another target.
package pause

import "knapweedstall/core/clock"

// Parameters of the estimate of a period.
const (
	// minPeriod and maxPeriod bound the period. The longest is less than twice the
	// shortest, so that no multiple of a period is in the range.
	minPeriod  = 3300 * clock.Millisecond
	maxPeriod  = 6500 * clock.Millisecond
	periodStep = 20 * clock.Millisecond
	// maxGap is the longest time between two stalls that is used. Over more periods,
	// the error of each adds up to more than gapTolerance.
	maxGap = 20 * clock.Second
	// gapTolerance is how far the time between two stalls may be from a multiple of the
	// period: a send may meet any part of a pause of 150 to 250 ms.
	gapTolerance = 150 * clock.Millisecond
	gapCount     = 24 // latest gaps that the estimate is computed from
	// minFit and minFitShare are the least fit of a period, and the least mean fit of a
	// gap. Gaps between stalls that were no pauses have a mean fit of 0.03.
	minFit      = 2.2
	minFitShare = 0.25
)

// Period is the estimate of the time between two pauses of a target, common to the
// targets of a service.
type Period struct {
	gaps   [gapCount]clock.Duration // times between two stalls of a target
	count  int                      // gaps observed so far
	length clock.Duration           // 0 when not known
}

// Length returns the time between two pauses of a target, or 0 when it is not known.
func (p *Period) Length() clock.Duration { return p.length }

// observe adds a time between two stalls of one target.
func (p *Period) observe(gap clock.Duration) {
	if gap < minPeriod-gapTolerance || gap > maxGap {
		return
	}
	p.gaps[p.count%gapCount] = gap
	p.count++
}

// estimate computes the length from the gaps.
func (p *Period) estimate() {
	gaps := p.gaps[:min(p.count, gapCount)]
	p.length = 0
	best := 0.0
	for length := minPeriod; length <= maxPeriod; length += periodStep {
		if f := fit(gaps, length); f > best && f >= minFit && f >= minFitShare*float64(len(gaps)) {
			best, p.length = f, length
		}
	}
	if p.length != 0 {
		p.length = refine(gaps, p.length)
	}
}

// refine returns the length that fits the gaps near multiples of length best, by least
// squares.
func refine(gaps []clock.Duration, length clock.Duration) clock.Duration {
	total, squares := clock.Duration(0), clock.Duration(0)
	for _, gap := range gaps {
		if n, off := fold(gap, length); max(off, -off) < gapTolerance {
			total += n * gap
			squares += n * n
		}
	}
	return (total + squares/2) / squares
}

// fit returns how well the gaps fit length: the sum of 1 for each gap that is a multiple
// of it, less in proportion to the deviation.
func fit(gaps []clock.Duration, length clock.Duration) float64 {
	total := clock.Duration(0)
	for _, gap := range gaps {
		_, off := fold(gap, length)
		total += max(0, gapTolerance-max(off, -off))
	}
	return float64(total) / float64(gapTolerance)
}

// fold returns the number of periods of the length that is nearest to d, and the rest,
// which may be negative.
func fold(d, length clock.Duration) (periods, off clock.Duration) {
	half := length / 2
	if d < 0 {
		half = -half
	}
	periods = (d + half) / length
	return periods, d - periods*length
}
