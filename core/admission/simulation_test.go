package admission_test

import (
	"fmt"
	"math/rand/v2"

	"knapweedstall/core/admission"
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Parameters of the simulated deployment. A query has the deadline simDeadlineMS and
// needs all services; a service has simHolders holders with simSlots slots each. A
// call takes 5 ms plus an exponentially distributed time with a mean of 5 ms. A
// message between two instances takes 1 ms. Results are counted from simWarmupMS on.
const (
	simEntries       = 15
	simServices      = 20
	simHolders       = 2
	simSlots         = 2
	simCallMS        = 10.0 // ms, mean
	simDeadlineMS    = 200.0
	simHopMS         = 1.0
	simWarmupMS      = 5000.0
	simEndMS         = 15000.0
	simTicksPerMS    = 20                                // per ms
	simCapacityPerMS = simHolders * simSlots / simCallMS // queries per ms
)

// simulation is a discrete-event simulation of entries and holders. Times are in ms.
type simulation struct {
	now        float64
	events     [][]func() // functions to run at each tick
	rng        *rand.Rand
	entries    []*admission.Controller // nil without admission
	services   [simServices][simHolders]*simHolder
	good       map[topology.WorkspaceID]float64 // complete answers in time per s
	offered    map[topology.WorkspaceID]float64 // queries per s
	totalDelay float64                          // sum of queueing delays of the dequeued sub-requests
	dequeued   float64
}

// schedule calls run at the tick nearest to d ms from now, but at least one tick later.
func (s *simulation) schedule(d float64, run func()) {
	if i := int(s.now*simTicksPerMS+0.5) + max(1, int(d*simTicksPerMS+0.5)); i < len(s.events) {
		s.events[i] = append(s.events[i], run)
	}
}

// simQuery is one query. All holders drop queries in ascending order of rank.
type simQuery struct {
	entry       int
	workspace   topology.WorkspaceID
	startedAt   float64
	rank        uint64
	repliesLeft int
	complete    bool
}

// simSub is a sub-request of a query to one holder.
type simSub struct {
	q         *simQuery
	arrivedAt float64
}

// simHolder queues sub-requests in order of arrival, which here is also the order of
// deadlines. When the last one in the queue cannot finish in time, it drops the one
// with the lowest rank.
type simHolder struct {
	queue        []simSub
	busy         int
	service      topology.ServiceID
	reportedLoad [simEntries]float64 // load as last reported to each entry, in ms
	lastDelay    float64             // queueing delay of the sub-request that was dequeued last
}

func (s *simulation) arrive(h *simHolder, q *simQuery) {
	h.queue = append(h.queue, simSub{q, s.now})
	s.dispatch(h)
	if n := len(h.queue); n > 0 && s.now+float64(n)/simSlots*simCallMS+simCallMS > q.startedAt+simDeadlineMS-simHopMS {
		low := 0
		for i := range h.queue {
			if h.queue[i].q.rank < h.queue[low].q.rank {
				low = i
			}
		}
		dropped := h.queue[low]
		h.queue = append(h.queue[:low], h.queue[low+1:]...)
		s.reply(h, dropped.q, false, max(h.lastDelay, s.now-dropped.arrivedAt))
	}
}

func (s *simulation) dispatch(h *simHolder) {
	for h.busy < simSlots && len(h.queue) > 0 {
		sub := h.queue[0]
		h.queue = h.queue[1:]
		wait := s.now - sub.arrivedAt
		h.lastDelay = wait
		s.totalDelay += wait
		s.dequeued++
		if s.now+simCallMS > sub.q.startedAt+simDeadlineMS {
			s.reply(h, sub.q, false, wait)
			continue
		}
		h.busy++
		s.schedule(simCallMS/2+s.rng.ExpFloat64()*simCallMS/2, func() {
			h.busy--
			s.reply(h, sub.q, true, wait)
			s.dispatch(h)
		})
	}
}

// reply sends the reply, which reaches the entry after simHopMS.
func (s *simulation) reply(h *simHolder, q *simQuery, ok bool, wait float64) {
	load := float64(len(h.queue)+h.busy) * simCallMS
	s.schedule(simHopMS, func() {
		h.reportedLoad[q.entry] = load
		if c := s.entries[q.entry]; c != nil {
			c.Observe(clock.Time(s.now), h.service, clock.Duration(wait), clock.Duration(simDeadlineMS))
		}
		q.complete = q.complete && ok
		q.repliesLeft--
		if q.repliesLeft == 0 && q.complete && s.now <= q.startedAt+simDeadlineMS && s.measured() {
			s.good[q.workspace] += 1000 / (simEndMS - simWarmupMS)
		}
	})
}

func (s *simulation) measured() bool { return s.now >= simWarmupMS }

// route returns the holder that last reported the lowest load to the entry.
func (s *simulation) route(entry, service int) *simHolder {
	best := s.rng.IntN(simHolders)
	for k, h := range s.services[service] {
		if h.reportedLoad[entry] < s.services[service][best].reportedLoad[entry] {
			best = k
		}
	}
	return s.services[service][best]
}

// offer makes a workspace send queries to random entries as a Poisson process.
func (s *simulation) offer(workspace topology.WorkspaceID, perMS float64) {
	s.schedule(s.rng.ExpFloat64()/perMS, func() {
		s.offer(workspace, perMS)
		q := &simQuery{s.rng.IntN(simEntries), workspace, s.now, s.rng.Uint64(), simServices, true}
		if s.measured() {
			s.offered[workspace] += 1000 / (simEndMS - simWarmupMS)
		}
		if c := s.entries[q.entry]; c != nil {
			if _, ok := c.Admit(clock.Time(s.now), workspace); !ok {
				return
			}
		}
		for i := range s.services {
			h := s.route(q.entry, i)
			s.schedule(simHopMS, func() { s.arrive(h, q) })
		}
	})
}

// simulate runs a simulation in which each workspace offers the given multiple of the
// capacity. With a nil newController, entries admit all queries.
func simulate(seed uint64, offered map[topology.WorkspaceID]float64, newController func() *admission.Controller) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), entries: make([]*admission.Controller, simEntries)}
	s.good, s.offered = make(map[topology.WorkspaceID]float64), make(map[topology.WorkspaceID]float64)
	s.events = make([][]func(), simEndMS*simTicksPerMS)
	for i := range s.entries {
		if newController != nil {
			s.entries[i] = newController()
		}
	}
	for i := range s.services {
		for k := range s.services[i] {
			s.services[i][k] = &simHolder{service: topology.ServiceID(fmt.Sprint(i))}
		}
	}
	for i := range len(offered) {
		workspace := topology.WorkspaceID(fmt.Sprintf("t%d", i))
		s.offer(workspace, offered[workspace]*simCapacityPerMS)
	}
	for i := range s.events {
		s.now = float64(i) / simTicksPerMS
		for _, run := range s.events[i] {
			run()
		}
		s.events[i] = nil
	}
	return s
}
