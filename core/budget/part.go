package budget

import "knapweedstall/core/clock"

// part is an instance's part of the slack. A larger one counts only after a
// window, because an instance that has left may have used what it gave up.
type part struct {
	value float64
	next  float64    // the larger value to come
	from  clock.Time // when next counts; 0 when there is none
}

func (p *part) set(value float64, now clock.Time, window clock.Duration) {
	p.value = p.at(now)
	switch {
	case p.value == 0 || value <= p.value:
		p.value, p.from = value, 0
	case p.from == 0 || !now.Before(p.from) || value > p.next:
		p.next, p.from = value, now.Add(window)
	default:
		p.next = value
	}
}

func (p *part) at(now clock.Time) float64 {
	if p.from != 0 && !now.Before(p.from) {
		return p.next
	}
	return p.value
}
