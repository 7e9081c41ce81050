package source

import "knapweedstall/core/clock"

// An instance that has copies acts on what they say, so what it may do depends on how old
// they are, whatever it takes them from. When they reach its asking age, it asks the store
// itself, once. If the store does not answer it, it goes on with what it has, since it may be
// one of few that the store turns away, or the store may be away for all.
//
// The asking ages of the instances of a zone are spread, in the order of Compare, so that
// the store does not get all calls at once and later ones can follow earlier ones.

// Ages of the copies, as parts of the time within which changes are due.
const (
	minAskShare = 0.4
	maxAskShare = 0.65
	// maxActShare is the age from which an instance does not act on its copies unless the
	// store has not answered it. It is reached only by one that could not ask in time.
	maxActShare = 0.9
)

// share returns a part of the time within which changes are due.
func (c *Chooser) share(part float64) clock.Duration {
	return clock.Duration(part * float64(c.due))
}

// askAge returns the age of the copies at which the instance at a place of its zone, after
// the readers, asks the store itself.
func (c *Chooser) askAge(place int) clock.Duration {
	spread := float64(max(place-readers, 0)) / float64(max(c.zoneSize-readers, 1))
	return c.share(minAskShare + (maxAskShare-minAskShare)*spread)
}

// asked returns the number of places of the zone whose instances have asked the store when
// the copies have the age.
func (c *Chooser) asked(age clock.Duration) int {
	part := float64(age-c.share(minAskShare)) / float64(max(c.share(maxAskShare-minAskShare), 1))
	places := float64(c.zoneSize - readers)
	return readers + int(min(max(part, 0), 1)*places)
}

// AskDue reports whether the instance, whose copies have the age, asks the store itself.
func (c *Chooser) AskDue(age clock.Duration, now clock.Time) bool {
	if age < c.askAge(c.reachable()) {
		return false
	}
	return !c.denied(age, now) || now.Sub(c.deniedAt) >= maxStaleWait+c.spread()
}

// Denied reports that the store has not answered a call of the instance at now.
func (c *Chooser) Denied(now clock.Time) { c.deniedAt = now }

// Answered reports that the store has answered the instance at now, which has up-to-date
// copies of all kinds from it.
func (c *Chooser) Answered(now clock.Time) { c.answeredAt = now }

// ActUntil returns until when the instance may act on its copies, which have the age at now,
// unless it learns more.
func (c *Chooser) ActUntil(age clock.Duration, now clock.Time) clock.Time {
	if c.denied(age, now) {
		return now.Add(c.share(maxActShare))
	}
	return now.Add(c.share(maxActShare) - age)
}

// denied reports whether the store has not answered the instance since the time at which
// its copies were up to date.
func (c *Chooser) denied(age clock.Duration, now clock.Time) bool {
	return c.deniedAt != 0 && now.Sub(c.deniedAt) < age
}

// answers reports whether the store has answered the instance a moment ago.
func (c *Chooser) answers(now clock.Time) bool {
	return c.answeredAt != 0 && now.Sub(c.answeredAt) < c.share(minAskShare)
}
