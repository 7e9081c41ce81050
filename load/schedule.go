package load

import (
	"math/rand/v2"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Query is one query request of a run.
type Query struct {
	Stream     int // index in Plan.Streams
	Workspace  topology.WorkspaceID
	Collection topology.CollectionID
	Text       string
	Limit      int
	DeadlineMS clock.Duration
	Address    string // instance that the query is sent to
}

// arrival is a query with its intended time since the start of the run.
type arrival struct {
	at    time.Duration
	query Query
}

// schedule draws the Poisson arrivals of a plan. Equal plans have equal schedules.
type schedule struct {
	plan   Plan
	random *rand.Rand
	total  float64       // sum of the streams' weights
	at     time.Duration // time of the last arrival
}

func newSchedule(p Plan) *schedule {
	s := &schedule{plan: p, random: rand.New(rand.NewPCG(p.Seed, p.Seed))}
	for _, stream := range p.Streams {
		s.total += stream.Weight
	}
	return s
}

// next returns the next arrival, or false after the end of the plan.
func (s *schedule) next() (arrival, bool) {
	s.at += time.Duration(s.random.ExpFloat64() / s.plan.RatePerSec * float64(time.Second))
	if s.at >= (s.plan.WarmupMS + s.plan.DurationMS).Std() {
		return arrival{}, false
	}
	i := s.pickStream()
	stream := s.plan.Streams[i]
	return arrival{at: s.at, query: Query{
		Stream:     i,
		Workspace:  stream.Workspace,
		Collection: stream.Collection,
		Text:       stream.Queries[s.random.IntN(len(stream.Queries))],
		Limit:      s.plan.Limit,
		DeadlineMS: s.plan.DeadlineMS,
		Address:    s.plan.Addresses[s.random.IntN(len(s.plan.Addresses))],
	}}, true
}

// pickStream draws the index of a stream according to the weights.
func (s *schedule) pickStream() int {
	x := s.random.Float64() * s.total
	for i, stream := range s.plan.Streams {
		if x -= stream.Weight; x < 0 {
			return i
		}
	}
	return len(s.plan.Streams) - 1
}
