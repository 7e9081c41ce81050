package pause

import "knapweedstall/core/clock"

// Parameters of the prediction for a target.
const (
	stallCount = 5 // latest stalls of a target that are used
	// mergeTime is the longest time between the starts of two sends that the same pause
	// delayed.
	mergeTime = 300 * clock.Millisecond
	// phaseTolerance is how far apart the middles of stalls may be that come from
	// pauses of the same phase.
	phaseTolerance = 130 * clock.Millisecond
	// leadTime is the time before an expected pause in which the target is avoided: a
	// request that runs when the pause begins is answered after it.
	leadTime = 15 * clock.Millisecond
	// minWindow and maxWindow bound an expected pause. Pauses take 150 to 250 ms; a
	// canceled send doesn't tell when its pause ended, and the error of the period adds
	// up.
	minWindow = 250 * clock.Millisecond
	maxWindow = 350 * clock.Millisecond
	// maxUnconfirmed is the number of periods for which a target is avoided without a
	// new stall. A target then gets requests in the next pause, if there is one, which
	// renew the prediction. A remote target gets few requests, so its stalls are rare.
	maxUnconfirmed = 14
)

// refuteMargin is how far from the ends of an expected pause an answer must lie that
// refutes it. A window is up to twice as long as the pause.
const refuteMargin = 40 * clock.Millisecond

// stall is a time in which a target gave no answer.
type stall struct{ from, to clock.Time }

func (s stall) middle() clock.Time { return s.from + (s.to-s.from)/2 }

// Target predicts the pauses of one target.
type Target struct {
	period *Period
	stalls [stallCount]stall
	count  int // stalls so far
	// next is the next expected pause or the one that has begun; zero when none is
	// expected.
	next    stall
	expires clock.Time // when the prediction ends without a further stall
}

// NewTarget returns the Target of a service with the period.
func NewTarget(period *Period) *Target { return &Target{period: period} }

// Expected reports whether a request that is sent at now will probably meet a pause.
func (t *Target) Expected(now clock.Time) bool {
	if now.Before(t.next.from) || t.next.to == 0 {
		return false
	}
	if now.Before(t.next.to) {
		return true
	}
	t.advance(now)
	return t.next.to != 0 && !now.Before(t.next.from)
}

// Predicted reports whether a pause of the target is expected.
func (t *Target) Predicted(now clock.Time) bool {
	return t.next.to != 0 && t.period.length != 0 && now.Before(t.expires)
}

// advance moves the expected pause to the first one that ends after now.
func (t *Target) advance(now clock.Time) {
	length := t.period.length
	if length == 0 || !now.Before(t.expires) {
		t.next = stall{}
		return
	}
	n := (now.Sub(t.next.to) + length) / length
	t.next.from, t.next.to = t.next.from.Add(n*length), t.next.to.Add(n*length)
}

// ObserveStall notes that a send from one time to another met a pause, probably.
func (t *Target) ObserveStall(from, to clock.Time) {
	if t.count > 0 {
		last := &t.stalls[(t.count-1)%stallCount]
		if from.Sub(last.from) < mergeTime {
			last.from, last.to = min(last.from, from), max(last.to, to)
			t.predict(to)
			return
		}
	}
	s := stall{from, to}
	for i := max(0, t.count-3); i < t.count; i++ {
		t.period.observe(s.middle().Sub(t.stalls[i%stallCount].middle()))
	}
	t.stalls[t.count%stallCount] = s
	t.count++
	t.period.estimate()
	t.predict(to)
}

// ObserveAnswer notes that a request was answered without delay. If it was sent in an
// expected pause, no further one is expected until the next stall.
func (t *Target) ObserveAnswer(from, to clock.Time) {
	if t.next.to != 0 && t.next.from.Add(refuteMargin).Before(from) && to.Before(t.next.to.Add(-refuteMargin)) {
		t.next = stall{}
	}
}

// predict computes the next expected pause: the parts of a period in which the largest
// number of stalls of the same phase lay.
func (t *Target) predict(now clock.Time) {
	length := t.period.length
	if length == 0 {
		t.next = stall{}
		return
	}
	stalls := t.stalls[:min(t.count, stallCount)]
	var window stall
	most, last := 0, clock.Time(0)
	for i := range stalls {
		// Of two phases with as many stalls, the one with the later stall is taken.
		w, n, end := samePhase(stalls, stalls[i], length)
		if n > most || n == most && last.Before(end) {
			window, most, last = w, n, end
		}
	}
	if over := window.to.Sub(window.from) - maxWindow; over > 0 {
		window.from, window.to = window.from.Add(over/2), window.to.Add(-over/2)
	}
	window.to = max(window.to, window.from.Add(minWindow))
	window.from = window.from.Add(-leadTime)
	t.next, t.expires = window, last.Add(maxUnconfirmed*length)
	if !now.Before(window.to) {
		t.advance(now)
	}
}

// samePhase returns the part of a period, placed at the time of ref, in which the stalls
// of the same phase as ref lie, their number, and the end of the latest of them.
func samePhase(stalls []stall, ref stall, length clock.Duration) (window stall, n int, end clock.Time) {
	window = ref
	for _, s := range stalls {
		periods, off := fold(ref.middle().Sub(s.middle()), length)
		if max(off, -off) > phaseTolerance {
			continue
		}
		window.from, window.to = min(window.from, s.from.Add(periods*length)), max(window.to, s.to.Add(periods*length))
		n, end = n+1, max(end, s.to)
	}
	return window, n, end
}
