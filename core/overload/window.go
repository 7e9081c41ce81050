package overload

import "knapweedstall/core/clock"

// maxTicks is the number of ticks that a Controller remembers, 4 s. A group with few
// requests is judged by all of them.
const maxTicks = 16

// tick is the sum of what reports have told within about one ReportPeriod.
type tick struct {
	length   clock.Duration
	arrived  float64
	admitted float64
	inTime   float64
	late     float64
	failed   float64
	work     float64
}

func (t *tick) add(u tick) {
	t.length += u.length
	t.arrived += u.arrived
	t.admitted += u.admitted
	t.inTime += u.inTime
	t.late += u.late
	t.failed += u.failed
	t.work += u.work
}

// ended returns the number of admitted requests that count as evidence.
func (t tick) ended() float64 { return t.inTime + t.late + t.failed }

// bad returns the share of the ended requests that were late or failed.
func (t tick) bad() float64 {
	if t.ended() == 0 {
		return 0
	}
	return (t.late + t.failed) / t.ended()
}

// rate converts a count of the tick to a rate.
func (t tick) rate(count float64) Rate {
	return Rate(count * float64(clock.Second) / float64(max(t.length, 1)))
}

// window is the latest ticks, the newest last.
type window []tick

func (w *window) push(t tick) {
	if len(*w) == maxTicks {
		*w = append((*w)[:0], (*w)[1:]...)
	}
	*w = append(*w, t)
}

// last returns the sum of the n latest ticks, or of all if there are fewer.
func (w window) last(n int) tick {
	var sum tick
	for _, t := range w[max(0, len(w)-n):] {
		sum.add(t)
	}
	return sum
}

// evidence returns the sum of the fewest latest ticks, from two on, in which enough
// requests have ended.
func (w window) evidence(enough float64) tick {
	for n := 2; n < len(w); n++ {
		if sum := w.last(n); sum.ended() >= enough {
			return sum
		}
	}
	return w.last(len(w))
}
