package target

import (
	"maps"
	"sync"
	"time"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Outcome says how a call ended.
type Outcome string

// Outcomes of a call. Of the ended calls, only those with OutcomeAnswered,
// OutcomeCancelled, OutcomeDeadline, OutcomeReplyLost, OutcomeCrashed and
// OutcomeInterrupted started.
const (
	OutcomeRunning       Outcome = "running"      // has not ended yet
	OutcomeAnswered      Outcome = "answered"     // completed and was answered
	OutcomeCancelled     Outcome = "cancelled"    // the client closed the connection or cancelled the call
	OutcomeDeadline      Outcome = "deadline"     // ended at its deadline
	OutcomeReplyLost     Outcome = "replyLost"    // completed, then its connection was closed without a reply
	OutcomeCrashed       Outcome = "crashed"      // its query contained the crash text
	OutcomeInterrupted   Outcome = "interrupted"  // was running when the server stopped or crashed
	OutcomeShed          Outcome = "shed"         // refused because all slots of a warm server were in use
	OutcomeOverloadCrash Outcome = "fellOver"     // exceeded the capacity of a cold server, which crashed it
	OutcomeLate          Outcome = "late"         // refused because its start-by time or deadline had passed
	OutcomeDraining      Outcome = "draining"     // refused by a draining server
	OutcomeSnapshotGone  Outcome = "snapshotGone" // not run because the server does not have the snapshot
	OutcomeDown          Outcome = "down"         // arrived while the server was down, or on a connection from before a stop or crash
)

// Call is the record of one call of /v1/search or /v1/run.
type Call struct {
	Target    topology.TargetID    `json:"target"`
	Path      string               `json:"path"`
	Started   time.Time            `json:"started"` // time of arrival
	Ended     time.Time            `json:"ended"`   // zero while running
	Workspace topology.WorkspaceID `json:"tenant"`  // of the first item
	Snapshot  topology.SnapshotID  `json:"snapshot"`
	Items     []string             `json:"items"`   // ids
	Running   int                  `json:"running"` // concurrent calls on arrival, this one included
	Capacity  int                  `json:"bears"`   // concurrent calls that the server could handle on arrival
	State     message.TargetState  `json:"state"`   // on arrival
	Outcome   Outcome              `json:"outcome"`
}

// RunKey identifies a request that must not run twice.
type RunKey struct {
	Workspace topology.WorkspaceID
	ID        string
	Payload   string
}

// Counts holds the totals of a server's calls since NewServer, including those that
// its CallLog no longer keeps.
type Counts struct {
	Calls           int64             `json:"calls"`
	Items           int64             `json:"items"`         // in calls that started
	OverLimit       int64             `json:"overLimit"`     // calls that arrived while the server was at its capacity
	OverLimitCold   int64             `json:"overLimitCold"` // the part of OverLimit that arrived at a cold server
	MixedWorkspaces int64             `json:"mixedTenants"`  // calls with items of several workspaces
	Misrouted       int64             `json:"misrouted"`     // items that named a shard that the server does not hold
	Outcomes        map[Outcome]int64 `json:"outcomes"`      // of ended calls
}

func (c *Counts) add(o Counts) {
	c.Calls += o.Calls
	c.Items += o.Items
	c.OverLimit += o.OverLimit
	c.OverLimitCold += o.OverLimitCold
	c.MixedWorkspaces += o.MixedWorkspaces
	c.Misrouted += o.Misrouted
	for outcome, n := range o.Outcomes {
		c.Outcomes[outcome] += n
	}
}

// CallLog records the calls of one server. It is safe for concurrent use.
type CallLog struct {
	maxCalls int

	mu        sync.Mutex
	calls     []*Call // oldest first; at most 2*maxCalls
	counts    Counts
	runCounts map[RunKey]int
}

func newCallLog(maxCalls int) *CallLog {
	if maxCalls <= 0 {
		maxCalls = defaultMaxRecordedCalls
	}
	return &CallLog{maxCalls: maxCalls, counts: Counts{Outcomes: map[Outcome]int64{}}, runCounts: map[RunKey]int{}}
}

// Calls returns the newest calls, oldest first.
func (l *CallLog) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Call, 0, len(l.calls))
	for _, c := range l.calls[max(0, len(l.calls)-l.maxCalls):] {
		out = append(out, *c)
	}
	return out
}

// Counts returns the totals.
func (l *CallLog) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Outcomes = maps.Clone(c.Outcomes)
	return c
}

// RunCounts returns how often each request to /v1/run was started.
func (l *CallLog) RunCounts() map[RunKey]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runCounts)
}

// recordArrival adds a call that has arrived.
func (l *CallLog) recordArrival(c *Call, items []Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range items {
		c.Items = append(c.Items, item.ID)
	}
	c.Workspace = items[0].Workspace
	c.Outcome = OutcomeRunning
	l.counts.Calls++
	if hasMixedWorkspaces(items) {
		l.counts.MixedWorkspaces++
	}
	l.calls = append(l.calls, c)
	if len(l.calls) > 2*l.maxCalls {
		l.calls = append([]*Call(nil), l.calls[l.maxCalls:]...)
	}
}

// recordOverLimit counts a call that exceeds the server's capacity.
func (l *CallLog) recordOverLimit(cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.OverLimit++
	if cold {
		l.counts.OverLimitCold++
	}
}

// recordStart records that the items of a call start to run.
func (l *CallLog) recordStart(path string, items []Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Items += int64(len(items))
	if path == pathRun {
		l.runCounts[RunKey{items[0].Workspace, items[0].ID, items[0].Query}]++
	}
}

// recordMisrouted counts an item that named a shard that the server does not hold.
func (l *CallLog) recordMisrouted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Misrouted++
}

// recordEnd records the end and the outcome of a call.
func (l *CallLog) recordEnd(c *Call, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Ended = time.Now()
	c.Outcome = outcome
	l.counts.Outcomes[outcome]++
}

// hasMixedWorkspaces reports whether the items belong to several workspaces.
func hasMixedWorkspaces(items []Item) bool {
	for _, item := range items {
		if item.Workspace != items[0].Workspace {
			return true
		}
	}
	return false
}
