package quota

import (
	"math"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// advanceTime is the time for whose expected requests an entry asks in advance. At this
// length, 1 in 100 of the credit expires at 50 requests per second and less above.
const advanceTime = 30 * clock.Millisecond

// rateTime is the time over which the rate of requests at an entry is averaged.
const rateTime = 500 * clock.Millisecond

// Credit is the permission to send one request.
type Credit struct {
	Workspace topology.WorkspaceID
	Asked     clock.Time // when the entry asked for it
}

// Valid reports whether the credit may still be used.
func (c Credit) Valid(now clock.Time) bool { return now.Sub(c.Asked) < CreditLifetime }

// Ledger holds the credit that one entry has.
type Ledger struct {
	workspaces map[topology.WorkspaceID]*stock
}

// stock is the credit for one workspace.
type stock struct {
	credit   []clock.Time // when each was asked for, in ascending order
	returned int          // expired credit of requests that were not sent, for the holder
	rate     float64      // requests per ms, averaged over rateTime
	counted  clock.Time   // when rate was updated
}

// NewLedger returns a Ledger without credit.
func NewLedger() *Ledger { return &Ledger{workspaces: map[topology.WorkspaceID]*stock{}} }

func (l *Ledger) of(id topology.WorkspaceID) *stock {
	s := l.workspaces[id]
	if s == nil {
		s = &stock{}
		l.workspaces[id] = s
	}
	return s
}

// Arrived counts a request that needs credit.
func (l *Ledger) Arrived(id topology.WorkspaceID, now clock.Time) {
	s := l.of(id)
	s.rate = s.rate*math.Exp(-float64(now.Sub(s.counted))/float64(rateTime)) + 1/float64(rateTime)
	s.counted = now
}

// Take returns credit for a request, or false if there is none.
func (l *Ledger) Take(id topology.WorkspaceID, now clock.Time) (Credit, bool) {
	s := l.of(id)
	for len(s.credit) > 0 {
		c := Credit{id, s.credit[0]}
		s.credit = s.credit[1:]
		if c.Valid(now) {
			return c, true
		}
	}
	return Credit{}, false
}

// Wanted returns how much credit to ask for when some requests wait for it, which includes
// some in advance, and the credit to return with the same call.
func (l *Ledger) Wanted(id topology.WorkspaceID, waiting int, now clock.Time) (n, returned int) {
	s := l.of(id)
	rate := s.rate * math.Exp(-float64(now.Sub(s.counted))/float64(rateTime))
	returned, s.returned = s.returned, 0
	return max(waiting+int(rate*float64(advanceTime))-len(s.credit), waiting), returned
}

// Add adds n that a coordinator has granted and that the entry asked for at asked.
func (l *Ledger) Add(id topology.WorkspaceID, n int, asked clock.Time) {
	s := l.of(id)
	for range n {
		s.credit = append(s.credit, asked)
	}
}

// Return takes back the credit of a request that was not sent. Another request uses it, or
// the holder gets it back with the next call if it has expired.
func (l *Ledger) Return(c Credit, now clock.Time) {
	s := l.of(c.Workspace)
	if !c.Valid(now) {
		s.returned++
		return
	}
	s.credit = append([]clock.Time{c.Asked}, s.credit...)
}

// Expire drops the state of workspaces that have not been used for a second.
func (l *Ledger) Expire(now clock.Time) {
	for id, s := range l.workspaces {
		if now.Sub(s.counted) > clock.Second && s.returned == 0 {
			delete(l.workspaces, id)
		}
	}
}
