package admission_test

import (
	"fmt"
	"math/rand/v2"

	"knapweedstall/core/admission"
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Shape of the simulated deployment. A query has the deadline simDeadline and
// needs all services; a service has simHolders holders with simSlots slots each.
// A call takes 5 ms plus an exponential time of mean 5 ms, one hop 1 ms.
const (
	simEntries  = 15
	simServices = 20
	simHolders  = 2
	simSlots    = 2
	simCall     = 10.0 // ms, mean
	simDeadline = 200.0
	simHop      = 1.0
	simWarmup   = 5000.0
	simEnd      = 15000.0
	simTicks    = 20                              // per ms
	simCapacity = simHolders * simSlots / simCall // queries per ms
)

// simulation is a discrete-event model of entries and holders. Times are in ms.
type simulation struct {
	now      float64
	ticks    [][]func() // what happens at each tick
	rng      *rand.Rand
	entries  []*admission.Controller // nil without admission
	services [simServices][simHolders]*simHolder
	good     map[topology.WorkspaceID]float64 // complete answers in time per s
	offered  map[topology.WorkspaceID]float64 // queries per s
	wait     float64                          // sum of queueing delays
	started  float64
}

// after runs do at the tick nearest to d ms from now, but at least one tick later.
func (s *simulation) after(d float64, do func()) {
	if i := int(s.now*simTicks+0.5) + max(1, int(d*simTicks+0.5)); i < len(s.ticks) {
		s.ticks[i] = append(s.ticks[i], do)
	}
}

// simQuery is one query. All holders drop the lowest rank first.
type simQuery struct {
	entry     int
	workspace topology.WorkspaceID
	at        float64
	rank      uint64
	left      int
	complete  bool
}

type simSub struct {
	q  *simQuery
	at float64
}

// simHolder queues in order of arrival, which is the order of deadlines here.
// When the last of the queue cannot finish in time it drops the lowest rank.
type simHolder struct {
	queue   []simSub
	busy    int
	service topology.ServiceID
	told    [simEntries]float64 // load as each entry last heard it, in ms
	wait    float64             // queueing delay of the newest started one
}

func (s *simulation) arrive(h *simHolder, q *simQuery) {
	h.queue = append(h.queue, simSub{q, s.now})
	s.dispatch(h)
	if n := len(h.queue); n > 0 && s.now+float64(n)/simSlots*simCall+simCall > q.at+simDeadline-simHop {
		low := 0
		for i := range h.queue {
			if h.queue[i].q.rank < h.queue[low].q.rank {
				low = i
			}
		}
		dropped := h.queue[low]
		h.queue = append(h.queue[:low], h.queue[low+1:]...)
		s.reply(h, dropped.q, false, max(h.wait, s.now-dropped.at))
	}
}

func (s *simulation) dispatch(h *simHolder) {
	for h.busy < simSlots && len(h.queue) > 0 {
		sub := h.queue[0]
		h.queue = h.queue[1:]
		wait := s.now - sub.at
		h.wait = wait
		s.wait += wait
		s.started++
		if s.now+simCall > sub.q.at+simDeadline {
			s.reply(h, sub.q, false, wait)
			continue
		}
		h.busy++
		s.after(simCall/2+s.rng.ExpFloat64()*simCall/2, func() {
			h.busy--
			s.reply(h, sub.q, true, wait)
			s.dispatch(h)
		})
	}
}

// reply reaches the entry one hop later.
func (s *simulation) reply(h *simHolder, q *simQuery, ok bool, wait float64) {
	load := float64(len(h.queue)+h.busy) * simCall
	s.after(simHop, func() {
		h.told[q.entry] = load
		if c := s.entries[q.entry]; c != nil {
			c.Observe(clock.Time(s.now), h.service, clock.Duration(wait), clock.Duration(simDeadline))
		}
		q.complete = q.complete && ok
		q.left--
		if q.left == 0 && q.complete && s.now <= q.at+simDeadline && s.measured() {
			s.good[q.workspace] += 1000 / (simEnd - simWarmup)
		}
	})
}

func (s *simulation) measured() bool { return s.now >= simWarmup }

// route picks the holder that last reported less load to the entry.
func (s *simulation) route(entry, service int) *simHolder {
	pick := s.rng.IntN(simHolders)
	for k, h := range s.services[service] {
		if h.told[entry] < s.services[service][pick].told[entry] {
			pick = k
		}
	}
	return s.services[service][pick]
}

// offer makes a workspace send queries with Poisson arrivals to random entries.
func (s *simulation) offer(workspace topology.WorkspaceID, perMS float64) {
	s.after(s.rng.ExpFloat64()/perMS, func() {
		s.offer(workspace, perMS)
		q := &simQuery{s.rng.IntN(simEntries), workspace, s.now, s.rng.Uint64(), simServices, true}
		if s.measured() {
			s.offered[workspace] += 1000 / (simEnd - simWarmup)
		}
		if c := s.entries[q.entry]; c != nil {
			if _, ok := c.Admit(clock.Time(s.now), workspace); !ok {
				return
			}
		}
		for i := range s.services {
			h := s.route(q.entry, i)
			s.after(simHop, func() { s.arrive(h, q) })
		}
	})
}

// simulate runs workspaces that offer the given multiples of the capacity. A nil
// newController means no admission.
func simulate(seed uint64, offered map[topology.WorkspaceID]float64, newController func() *admission.Controller) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), entries: make([]*admission.Controller, simEntries)}
	s.good, s.offered = make(map[topology.WorkspaceID]float64), make(map[topology.WorkspaceID]float64)
	s.ticks = make([][]func(), simEnd*simTicks)
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
		s.offer(workspace, offered[workspace]*simCapacity)
	}
	for i := range s.ticks {
		s.now = float64(i) / simTicks
		for _, do := range s.ticks[i] {
			do()
		}
		s.ticks[i] = nil
	}
	return s
}
