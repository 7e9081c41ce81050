package node

import (
	"container/heap"

	"knapweedstall/core/clock"
)

// timerOwner is a state machine that must be called at a time that it determines
// itself. NextWake returns that time, or 0 for none.
type timerOwner interface {
	NextWake() clock.Time
}

// timer is a function that is to be called at a time, on behalf of its owner.
type timer struct {
	at    clock.Time
	seq   uint64 // timers of equal time fire in the order in which they were set, so that replay is exact
	fire  func(now clock.Time)
	owner timerOwner
}

// timers is a heap of timers, the earliest first. It may contain several timers
// of one owner. A timer that is outdated is dropped when its time comes.
type timers struct {
	heap    timerHeap
	pending map[timerOwner]clock.Time // time of the valid timer of each owner
	lastSeq uint64
	now     clock.Time // while run is in progress, else 0
}

func newTimers() *timers { return &timers{pending: map[timerOwner]clock.Time{}} }

// set sets the owner's timer to the time of its NextWake. It does nothing if
// there is no such time or if a timer is pending that fires no later.
func (t *timers) set(owner timerOwner, fire func(now clock.Time)) {
	at := owner.NextWake()
	if at == 0 {
		return
	}
	// An owner that always returns the current time must not keep run in an
	// endless loop.
	at = max(at, t.now+1)
	if pending, ok := t.pending[owner]; ok && pending <= at {
		return
	}
	t.pending[owner] = at
	t.lastSeq++
	heap.Push(&t.heap, timer{at: at, seq: t.lastSeq, fire: fire, owner: owner})
}

// cancel cancels the owner's timer.
func (t *timers) cancel(owner timerOwner) { delete(t.pending, owner) }

// run fires all timers that are due. The functions that it calls set the timers
// again.
func (t *timers) run(now clock.Time) {
	t.now = now
	defer func() { t.now = 0 }()
	for len(t.heap) > 0 && t.heap[0].at <= now {
		next := heap.Pop(&t.heap).(timer)
		if t.pending[next.owner] != next.at {
			continue
		}
		delete(t.pending, next.owner)
		if at := next.owner.NextWake(); at != 0 && at > now {
			t.set(next.owner, next.fire)
			continue
		}
		next.fire(now)
	}
}

// next returns the time at which run must be called next, or 0 for never.
func (t *timers) next() clock.Time {
	if len(t.heap) == 0 {
		return 0
	}
	return t.heap[0].at
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
