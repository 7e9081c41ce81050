package replica_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

const (
	// limitWindow is the period in which the requests to a limited target are counted.
	limitWindow = 4 * clock.Second
	// toldDelay is the time after which an instance that was told a limit has to keep
	// to it.
	toldDelay = clock.Second / 2
	// limitStart is the time after the first statement of a limit from which on it
	// binds.
	limitStart = 4 * clock.Second
	// playStart is when the load starts.
	playStart clock.Time = 10_000
)

// allowedInWindow returns how many requests a target that limits its requests bears
// in limitWindow.
func allowedInWindow(limit replica.RequestRate) int {
	return int(1.5*float64(limit)*float64(limitWindow)/float64(clock.Second)) + 5
}

// limitedLoad is a load on the targets of one service, of which some limit their
// requests.
type limitedLoad struct {
	instances int
	shares    []float64 // share of the searches that each instance runs; nil for equal shares
	perSecond float64   // requests to the service from all instances together
	limit     replica.RequestRate
	targets   int // of the service; the first one is limited
	known     int // instances that each instance knows of; 0 for all
}

// instance returns the number of the instance that gets a request.
func (l *limitedLoad) instance(random *rand.Rand) int {
	if l.shares == nil {
		return random.IntN(l.instances)
	}
	at := random.Float64()
	for i, share := range l.shares {
		if at -= share; at < 0 {
			return i
		}
	}
	return l.instances - 1
}

// newSets returns the targets as each instance sees them.
func (l *limitedLoad) newSets() []*replica.Set {
	var listings []replica.Listing
	for i := range l.targets {
		listings = append(listings, listing(topology.TargetID(fmt.Sprintf("t%d", i)), "z1"))
	}
	var sets []*replica.Set
	for i := range l.instances {
		s := replica.NewSet("z1", rand.New(rand.NewPCG(uint64(i), 7)))
		s.Update(listings, 1)
		share := 0.0
		if l.shares != nil {
			share = l.shares[i]
		}
		s.SetShards(func(routing.ServiceName) bool { return l.shares != nil })
		known := l.known
		if known == 0 {
			known = l.instances
		}
		s.SetInstances(known, share, anySender)
		sets = append(sets, s)
	}
	return sets
}

// play sends the load for the duration and returns when the limited target got requests
// of instances that it had told its limit, and how many requests got no target. Each
// answer of the limited target states the limit.
func (l *limitedLoad) play(duration clock.Duration) (sent []clock.Time, refused int) {
	sets := l.newSets()
	told := map[*replica.Set]clock.Time{} // when an instance got the first answer that states the limit
	random := rand.New(rand.NewPCG(5, 6))
	at := float64(playStart)
	for end := at + float64(duration); at < end; at += random.ExpFloat64() * float64(clock.Second) / l.perSecond {
		now := clock.Time(at)
		s := sets[l.instance(random)]
		c := s.Pick("s", defaultService, nil, replica.First, now)
		if c.Target == nil {
			refused++
			continue
		}
		s.Done(c.Target, replica.Result{Outcome: replica.Answered}, now)
		stated := replica.StatedLimit{Kind: replica.LimitNone}
		if c.Target.ID == "t0" {
			if since, ok := told[s]; !ok {
				told[s] = now
			} else if now.Sub(since) >= toldDelay {
				sent = append(sent, now)
			}
			stated = replica.StatedLimit{Kind: replica.LimitStated, Rate: l.limit}
		}
		s.ObserveLimit(c.Target, stated, now, now)
	}
	return sent, refused
}

// mostInWindow returns the largest number of times within limitWindow, from a time on.
func mostInWindow(times []clock.Time, from clock.Time) int {
	times = slices.DeleteFunc(times, func(at clock.Time) bool { return at.Before(from) })
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// largeAndSmall returns the shares of the searches of n instances, of which the first
// few are large and run most of them.
func largeAndSmall(n, large int) []float64 {
	const largeShare = 0.8
	shares := make([]float64, n)
	for i := range shares {
		if i < large {
			shares[i] = largeShare / float64(large)
		} else {
			shares[i] = (1 - largeShare) / float64(n-large)
		}
	}
	return shares
}

// TestLimitedTargetGetsNoMoreThanItStates guards against instances that together send
// more requests to a target than the limit that it states.
func TestLimitedTargetGetsNoMoreThanItStates(t *testing.T) {
	const duration = 60 * clock.Second
	for name, l := range map[string]limitedLoad{
		"one instance":                     {instances: 1, perSecond: 60, limit: 20, targets: 2},
		"14 instances":                     {instances: 14, perSecond: 90, limit: 21, targets: 2},
		"14 instances, a low limit":        {instances: 14, perSecond: 90, limit: 1.5, targets: 2},
		"14 instances, a limit of none":    {instances: 14, perSecond: 90, limit: 0, targets: 2},
		"14 instances, the only target":    {instances: 14, perSecond: 90, limit: 21, targets: 1},
		"14 instances that know of 12":     {instances: 14, known: 12, perSecond: 90, limit: 21, targets: 2},
		"30 instances, a burst":            {instances: 30, perSecond: 900, limit: 21, targets: 2},
		"300 instances":                    {instances: 300, perSecond: 300, limit: 21, targets: 1},
		"300 instances, a low limit":       {instances: 300, perSecond: 300, limit: 2, targets: 1},
		"300 instances, of which 20 large": {instances: 300, shares: largeAndSmall(300, 20), perSecond: 90, limit: 21, targets: 2},
		"1000 instances":                   {instances: 1000, perSecond: 500, limit: 21, targets: 2},
	} {
		t.Run(name, func(t *testing.T) {
			sent, _ := l.play(duration)
			t.Logf("%.1f requests per second", float64(len(sent))*float64(clock.Second)/float64(duration))
			if got, allowed := mostInWindow(sent, playStart.Add(limitStart)), allowedInWindow(l.limit); got > allowed {
				t.Errorf("%d requests in %d ms, want at most %d", got, limitWindow, allowed)
			}
		})
	}
}

// TestLimitIsUsed guards against a limited target that gets much less than it takes, so
// that requests are refused without need.
func TestLimitIsUsed(t *testing.T) {
	const duration = 60 * clock.Second
	for name, l := range map[string]limitedLoad{
		"twice the limit":                  {instances: 14, perSecond: 42, limit: 21, targets: 1},
		"30 instances":                     {instances: 30, perSecond: 60, limit: 21, targets: 1},
		"100 instances, of which 10 large": {instances: 100, shares: largeAndSmall(100, 10), perSecond: 90, limit: 21, targets: 1},
	} {
		t.Run(name, func(t *testing.T) {
			sent, refused := l.play(duration)
			want := int(0.5 * float64(l.limit) * float64(duration) / float64(clock.Second))
			if len(sent) < want {
				t.Errorf("the target got %d requests and %d were refused; it takes at least twice %d", len(sent), refused, want)
			}
		})
	}
}

// TestLimitEnds guards against a target that states no limit any more and still gets
// only the requests that its earlier limit allowed, and against a late answer from the
// time before the limit that lifts it.
func TestLimitEnds(t *testing.T) {
	const stated, ended = clock.Time(1000), clock.Time(2000)
	for name, c := range map[string]struct {
		sent clock.Time // when the request was sent whose answer states no limit
		want bool       // the target is limited afterwards
	}{
		"an answer to a later request":    {stated + 10, false},
		"an answer to an earlier request": {stated - 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSet(1, listing("a", "z1"))
			choice := s.Pick("s", defaultService, nil, replica.First, stated)
			s.ObserveLimit(choice.Target, replica.StatedLimit{Kind: replica.LimitStated, Rate: 1}, stated, stated)
			s.ObserveLimit(choice.Target, replica.StatedLimit{Kind: replica.LimitNone}, c.sent, ended)
			if diff := cmp.Diff(c.want, s.LimitedTargets() == 1); diff != "" {
				t.Errorf("limited (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLimitBeyondAllNumbers guards against a limit so high that the times of its slots
// can't be computed, after which lower limits had no effect.
func TestLimitBeyondAllNumbers(t *testing.T) {
	s := newSet(1, listing("a", "z1"))
	s.SetInstances(1, 0, anySender)
	sent := 0
	now := clock.Time(10_000)
	for i := range 400 {
		now = now.Add(10)
		c := s.Pick("s", defaultService, nil, replica.First, now)
		if c.Target == nil {
			continue
		}
		s.Done(c.Target, replica.Result{Outcome: replica.Answered}, now)
		rate := replica.RequestRate(1e308)
		if i >= 100 {
			rate = 1
			sent++
		}
		s.ObserveLimit(c.Target, replica.StatedLimit{Kind: replica.LimitStated, Rate: rate}, now, now)
	}
	if allowed := allowedInWindow(1); sent > allowed || sent == 0 {
		t.Errorf("%d requests in 3 s at a limit of 1 per second, want 1 to %d", sent, allowed)
	}
}
