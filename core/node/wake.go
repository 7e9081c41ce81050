package node

import (
	"container/heap"

	"knapweedstall/core/clock"
)

// sleeper is a machine that wants to be called at a time of its choice.
type sleeper interface {
	NextWake() clock.Time
}

// alarm is a sleeper's wish to be woken.
type alarm struct {
	at    clock.Time
	order uint64 // ties are broken by the order of the wishes, so that replay is exact
	wake  func(now clock.Time)
	who   sleeper
}

// alarms is a heap of wishes, the earliest first. A sleeper may have several
// wishes in it; one that is out of date is dropped when it comes up.
type alarms struct {
	heap   alarmHeap
	pushed map[sleeper]clock.Time // the earliest pending wish of each sleeper
	count  uint64
	now    clock.Time // while run is in progress, else 0
}

func newAlarms() *alarms { return &alarms{pushed: map[sleeper]clock.Time{}} }

// set notes the sleeper's present wish.
func (a *alarms) set(who sleeper, wake func(now clock.Time)) {
	at := who.NextWake()
	if at == 0 {
		return
	}
	// A sleeper that wants the present time again must not keep run busy.
	at = max(at, a.now+1)
	if pending, ok := a.pushed[who]; ok && pending <= at {
		return
	}
	a.pushed[who] = at
	a.count++
	heap.Push(&a.heap, alarm{at: at, order: a.count, wake: wake, who: who})
}

// forget drops what is pending for the sleeper.
func (a *alarms) forget(who sleeper) { delete(a.pushed, who) }

// run wakes all sleepers that are due. Each wake function calls set again.
func (a *alarms) run(now clock.Time) {
	a.now = now
	defer func() { a.now = 0 }()
	for len(a.heap) > 0 && a.heap[0].at <= now {
		next := heap.Pop(&a.heap).(alarm)
		if a.pushed[next.who] != next.at {
			continue
		}
		delete(a.pushed, next.who)
		if at := next.who.NextWake(); at != 0 && at > now {
			a.set(next.who, next.wake)
			continue
		}
		next.wake(now)
	}
}

// next returns when run is next needed, 0 for never.
func (a *alarms) next() clock.Time {
	if len(a.heap) == 0 {
		return 0
	}
	return a.heap[0].at
}

type alarmHeap []alarm

func (h alarmHeap) Len() int { return len(h) }
func (h alarmHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h alarmHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *alarmHeap) Push(x any) { *h = append(*h, x.(alarm)) }

// Pop implements heap.Interface.
func (h *alarmHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = alarm{}
	*h = old[:len(old)-1]
	return last
}
