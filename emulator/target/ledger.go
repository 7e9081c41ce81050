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

// Outcomes of a call. Only OutcomeAnswered, OutcomeCancelled, OutcomeDeadline,
// OutcomeReplyLost, OutcomeCrashed and OutcomeInterrupted belong to calls that
// started.
const (
	OutcomeRunning       Outcome = "running"      // not ended yet
	OutcomeAnswered      Outcome = "answered"     // ran to its end and was answered
	OutcomeCancelled     Outcome = "cancelled"    // the client closed the request
	OutcomeDeadline      Outcome = "deadline"     // stopped at its deadline
	OutcomeReplyLost     Outcome = "replyLost"    // ran to its end, then its connection was dropped
	OutcomeCrashed       Outcome = "crashed"      // contained the crash text
	OutcomeInterrupted   Outcome = "interrupted"  // was running when the server stopped or crashed
	OutcomeShed          Outcome = "shed"         // refused over the slots of a warm server
	OutcomeOverloadCrash Outcome = "fellOver"     // exceeded what a cold server bears, which crashed it
	OutcomeLate          Outcome = "late"         // refused after its start-by time or deadline
	OutcomeDraining      Outcome = "draining"     // refused by a draining server
	OutcomeSnapshotGone  Outcome = "snapshotGone" // asked for a snapshot that the server does not have
	OutcomeDown          Outcome = "down"         // arrived while the server was crashing
)

// Call is one call of /v1/search or /v1/run.
type Call struct {
	Target    topology.TargetID    `json:"target"`
	Path      string               `json:"path"`
	Started   time.Time            `json:"started"` // arrival, for calls that did not start
	Ended     time.Time            `json:"ended"`   // zero while running
	Workspace topology.WorkspaceID `json:"tenant"`  // of the first item
	Snapshot  topology.SnapshotID  `json:"snapshot"`
	Items     []string             `json:"items"`   // ids
	Running   int                  `json:"running"` // concurrent calls at the start, with this one
	Capacity  int                  `json:"bears"`   // concurrent calls that the server bore at the start
	State     message.TargetState  `json:"state"`   // at the start
	Outcome   Outcome              `json:"outcome"`
}

// RunKey names a request that may not be repeated.
type RunKey struct {
	Workspace topology.WorkspaceID
	ID        string
	Payload   string
}

// Counts are the totals of a ledger since the start of the server. They cover
// all calls, also those that the ledger no longer keeps.
type Counts struct {
	Calls           int64             `json:"calls"`
	Items           int64             `json:"items"`         // in calls that started
	OverLimit       int64             `json:"overLimit"`     // calls that arrived above what the server bore
	OverLimitCold   int64             `json:"overLimitCold"` // those among OverLimit that met a cold server
	MixedWorkspaces int64             `json:"mixedTenants"`  // calls with items of several workspaces
	Misrouted       int64             `json:"misrouted"`     // items that named a shard which the server does not hold
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

// Ledger records the calls of one server. It is safe for concurrent use.
type CallLog struct {
	keep int

	mu     sync.Mutex
	calls  []*Call // oldest first; at most 2*keep
	counts Counts
	runs   map[RunKey]int
}

func newLedger(keep int) *CallLog {
	if keep <= 0 {
		keep = defaultKeepCalls
	}
	return &CallLog{keep: keep, counts: Counts{Outcomes: map[Outcome]int64{}}, runs: map[RunKey]int{}}
}

// Calls returns the newest calls, oldest first.
func (l *CallLog) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Call, 0, len(l.calls))
	for _, c := range l.calls[max(0, len(l.calls)-l.keep):] {
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

// Runs returns how often each request to /v1/run was started.
func (l *CallLog) RunCounts() map[RunKey]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// open records the arrival of a call.
func (l *CallLog) open(c *Call, items []Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range items {
		c.Items = append(c.Items, item.ID)
	}
	c.Workspace = items[0].Workspace
	c.Outcome = OutcomeRunning
	l.counts.Calls++
	if mixed(items) {
		l.counts.MixedWorkspaces++
	}
	l.calls = append(l.calls, c)
	if len(l.calls) > 2*l.keep {
		l.calls = append([]*Call(nil), l.calls[l.keep:]...)
	}
}

func (l *CallLog) overLimit(cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.OverLimit++
	if cold {
		l.counts.OverLimitCold++
	}
}

// start records that the items of a call begin to run.
func (l *CallLog) start(path string, items []Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Items += int64(len(items))
	if path == pathRun {
		l.runs[RunKey{items[0].Workspace, items[0].ID, items[0].Query}]++
	}
}

func (l *CallLog) misrouted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Misrouted++
}

// close records the end of a call.
func (l *CallLog) close(c *Call, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Ended = time.Now()
	c.Outcome = outcome
	l.counts.Outcomes[outcome]++
}

func mixed(items []Item) bool {
	for _, item := range items {
		if item.Workspace != items[0].Workspace {
			return true
		}
	}
	return false
}
