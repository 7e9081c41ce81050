package node

import (
	"container/heap"

	"knapweedstall/core/clock"
)

// sleeper is a machine that wants to be called at a time of its choice.
type timerOwner interface {
	NextWake() clock.Time
}

// alarm is a sleeper's wish to be woken.
type timer struct {
	at    clock.Time
	seq   uint64 // ties are broken by the order of the wishes, so that replay is exact
	fire  func(now clock.Time)
	owner timerOwner
}

// alarms is a heap of wishes, the earliest first. A sleeper may have several
// wishes in it; one that is out of date is dropped when it comes up.
type timers struct {
	heap    timerHeap
	pending map[timerOwner]clock.Time // the earliest pending wish of each sleeper
	lastSeq uint64
	now     clock.Time // while run is in progress, else 0
}

func newTimers() *timers { return &timers{pending: map[timerOwner]clock.Time{}} }

// set notes the sleeper's present wish.
func (a *timers) set(who timerOwner, wake func(now clock.Time)) {
	at := who.NextWake()
	if at == 0 {
		return
	}
	// A sleeper that wants the present time again must not keep run busy.
	at = max(at, a.now+1)
	if pending, ok := a.pending[who]; ok && pending <= at {
		return
	}
	a.pending[who] = at
	a.lastSeq++
	heap.Push(&a.heap, timer{at: at, seq: a.lastSeq, fire: wake, owner: who})
}

// forget drops what is pending for the sleeper.
func (a *timers) cancel(who timerOwner) { delete(a.pending, who) }

// run wakes all sleepers that are due. Each wake function calls set again.
func (a *timers) run(now clock.Time) {
	a.now = now
	defer func() { a.now = 0 }()
	for len(a.heap) > 0 && a.heap[0].at <= now {
		next := heap.Pop(&a.heap).(timer)
		if a.pending[next.owner] != next.at {
			continue
		}
		delete(a.pending, next.owner)
		if at := next.owner.NextWake(); at != 0 && at > now {
			a.set(next.owner, next.fire)
			continue
		}
		next.fire(now)
	}
}

// next returns when run is next needed, 0 for never.
func (a *timers) next() clock.Time {
	if len(a.heap) == 0 {
		return 0
	}
	return a.heap[0].at
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}
