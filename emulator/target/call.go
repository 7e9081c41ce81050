package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	pathSearch = "/v1/search"
	pathRun    = "/v1/run"
	pathCancel = "/v1/cancel"
)

// maxRequestBytes is the size limit of a request body.
const maxRequestBytes = 4 << 20

// admission is the decision whether a call starts, with the state that its run and
// its reply need.
type admission struct {
	call       *Call
	outcome    Outcome       // OutcomeRunning when the call starts
	process    *process      // the process on arrival; nil while the server is down
	state      Health        // on arrival, then at the end of the call
	snapshot   heldSnapshot  // the requested one; zero for a run without a snapshot
	duration   time.Duration // service time
	losesReply bool          // the call runs, then its connection is closed without a reply
}

// serveCall handles POST /v1/search and POST /v1/run.
func (s *Server) serveCall(c echo.Context) error {
	ctx := c.Request().Context()
	var r Request
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&r); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "body is not a request")
	}
	if len(r.Items) == 0 || (c.Path() == pathRun && len(r.Items) != 1) {
		return echo.NewHTTPError(http.StatusBadRequest, "wrong number of items")
	}
	if connOf(ctx).silent.Load() {
		<-ctx.Done() // a silent connection accepts bytes and never answers
		return nil
	}
	network := millis(s.config.NetworkMS)
	if !sleep(ctx, network, nil) {
		return nil
	}
	header := c.Request().Header
	runCtx, cancel := s.cancellable(ctx, header.Get(HeaderCall))
	defer cancel()
	a := s.admitCall(c.Path(), r, c.Request())
	if a.outcome == OutcomeRunning {
		a.outcome = s.run(runCtx, a, deadlineOf(header))
		s.releaseSlot(a)
	}
	s.callLog.recordEnd(a.call, a.outcome)
	a.state = s.State()
	if !sleep(ctx, network, nil) {
		return nil
	}
	return s.writeReply(c, a, r)
}

// admitCall decides whether a call starts.
func (s *Server) admitCall(path string, r Request, hr *http.Request) admission {
	s.mu.Lock()
	a, dropped := s.admitCallLocked(path, r, hr)
	s.mu.Unlock()
	resetConns(dropped)
	return a
}

// admitCallLocked is admitCall with s.mu held. The caller resets the returned
// connections after releasing the lock.
func (s *Server) admitCallLocked(path string, r Request, hr *http.Request) (admission, []*conn) {
	a := admission{process: s.process, state: s.state()}
	a.call = &Call{
		Target: s.config.Target.ID, Path: path, Started: time.Now(), Snapshot: r.Snapshot,
		State: a.state.State, Capacity: a.state.Capacity,
	}
	if s.process != nil {
		a.call.Running = s.process.running + 1
	}
	s.callLog.recordArrival(a.call, r.Items)
	if a.outcome = s.refusal(&a, path, r, hr); a.outcome != "" {
		return a, nil
	}
	if a.call.Running > a.state.Capacity {
		s.callLog.recordOverLimit(s.process.cold)
		if s.process.cold {
			a.outcome = OutcomeOverloadCrash
			return a, s.crash()
		}
		a.outcome = OutcomeShed
		return a, nil
	}
	s.callLog.recordStart(path, r.Items)
	if s.containsCrashText(r.Items) {
		a.outcome = OutcomeCrashed
		return a, s.crash()
	}
	s.process.running++
	a.outcome = OutcomeRunning
	a.duration = time.Duration(float64(s.config.Timing.Draw(s.random, len(r.Items))) * s.faults.slowFactor())
	a.losesReply = s.random.Float64() < s.faults.LoseReplyRate
	return a, nil
}

// refusal returns the outcome of a call that must not start for a reason other than
// the load, or "".
func (s *Server) refusal(a *admission, path string, r Request, hr *http.Request) Outcome {
	// A request from before a crash must not count as load on the restarted server.
	if s.process == nil || s.process != connOf(hr.Context()).process {
		return OutcomeDown
	}
	if s.faults.Draining {
		return OutcomeDraining
	}
	header, now := hr.Header, time.Now().UnixMilli()
	if startBy, ok := unixMSHeader(header, HeaderStartBy); ok && now > startBy {
		return OutcomeLate
	}
	if deadline, ok := unixMSHeader(header, HeaderDeadline); ok && now >= deadline {
		return OutcomeLate
	}
	if path == pathRun && r.Snapshot == "" {
		return ""
	}
	for _, held := range s.snapshots {
		if held.id == r.Snapshot {
			a.snapshot = held
			return ""
		}
	}
	return OutcomeSnapshotGone
}

// containsCrashText reports whether the query of an item contains the crash text.
func (s *Server) containsCrashText(items []Item) bool {
	for _, item := range items {
		if strings.Contains(item.Query, s.config.crashText()) {
			return true
		}
	}
	return false
}

// cancellable returns the context of a call, which POST /v1/cancel can end by the call's
// id. "" is no id. It must be called before the call starts, since a client may cancel it
// as soon as it counts as running. The caller ends the context with the function.
func (s *Server) cancellable(ctx context.Context, id string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if id == "" {
		return ctx, cancel
	}
	s.cancels.Store(id, cancel)
	return ctx, func() {
		s.cancels.Delete(id)
		cancel()
	}
}

// serveCancel handles POST /v1/cancel and cancels a running call. The reply to that
// call states that the call was cancelled.
func (s *Server) serveCancel(c echo.Context) error {
	if cancel, ok := s.cancels.Load(c.Request().Header.Get(HeaderCall)); ok {
		cancel.(context.CancelFunc)()
	}
	return c.NoContent(http.StatusNoContent)
}

// run waits for the service time of a call and returns how the call ended.
func (s *Server) run(ctx context.Context, a admission, deadline time.Time) Outcome {
	timer := time.NewTimer(a.duration)
	defer timer.Stop()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		deadlineTimer := time.NewTimer(time.Until(deadline))
		defer deadlineTimer.Stop()
		expired = deadlineTimer.C
	}
	select {
	case <-timer.C:
		if a.losesReply {
			return OutcomeReplyLost
		}
		return OutcomeAnswered
	case <-expired:
		return OutcomeDeadline
	case <-a.process.ended:
		return OutcomeInterrupted
	case <-ctx.Done():
		return OutcomeCancelled
	}
}

// releaseSlot frees the slot of a call that ran, and ends the cold period after
// enough answered calls.
func (s *Server) releaseSlot(a admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.process.running--
	if a.outcome != OutcomeAnswered {
		return
	}
	a.process.served++
	limit := s.config.ColdPeriod.Calls
	if a.process.cold && limit > 0 && a.process.served >= limit && a.process == s.process {
		s.endColdPeriod(a.process)
	}
}

// writeReply writes the reply or refusal for an ended call, or closes its connection.
func (s *Server) writeReply(c echo.Context, a admission, r Request) error {
	if id := c.Request().Header.Get(HeaderCall); id != "" {
		c.Response().Header().Set(HeaderCall, id)
	}
	switch a.outcome {
	case OutcomeAnswered, OutcomeSnapshotGone:
		return c.JSON(http.StatusOK, s.newReply(c.Path(), a, r))
	case OutcomeShed:
		return s.writeRefusal(c, http.StatusServiceUnavailable, StatusShed, a.state)
	case OutcomeLate:
		return s.writeRefusal(c, http.StatusServiceUnavailable, StatusLate, a.state)
	case OutcomeDraining:
		return s.writeRefusal(c, http.StatusServiceUnavailable, StatusDraining, a.state)
	case OutcomeCancelled:
		return s.writeRefusal(c, http.StatusServiceUnavailable, StatusCancelled, a.state)
	case OutcomeDeadline:
		return s.writeRefusal(c, http.StatusGatewayTimeout, StatusDeadline, a.state)
	}
	panic(http.ErrAbortHandler) // net/http closes the connection without an answer
}

func (s *Server) writeRefusal(c echo.Context, code int, status RefusalStatus, state Health) error {
	return c.JSON(code, Refusal{State: state.State, Capacity: state.Capacity, Status: status, RetryAfterMS: s.config.retryMS()})
}

// newReply builds the body of a reply with status 200.
func (s *Server) newReply(path string, a admission, r Request) Reply {
	reply := Reply{State: a.state.State, Capacity: a.state.Capacity}
	for _, item := range r.Items {
		out := ItemReply{ID: item.ID, Workspace: item.Workspace, Snapshot: r.Snapshot}
		switch {
		case a.outcome == OutcomeSnapshotGone:
			out.Status = message.StatusSnapshotGone
			out.Snapshots = s.Snapshots()
		case path == pathRun:
			out.Status = message.StatusOK
			out.Shards = runReceipt(item)
		default:
			s.searchItem(&out, a.snapshot, item)
		}
		reply.Items = append(reply.Items, out)
	}
	return reply
}

// searchItem sets out to the hits of the item's shards. An item that names a shard
// which the server does not hold is not run at all, because an answer for the other
// shards alone would hide that one is missing.
func (s *Server) searchItem(out *ItemReply, snapshot heldSnapshot, item Item) {
	for _, shard := range item.Shards {
		if !snapshot.shards[shard] {
			s.callLog.recordMisrouted()
			out.Status = message.StatusNotRun
			return
		}
	}
	out.Status = message.StatusOK
	for _, shard := range item.Shards {
		hits := s.config.Corpus.Search(snapshot.id, shard, item.Workspace, item.Query, item.Limit)
		out.Shards = append(out.Shards, message.ShardAnswer{Shard: shard, Hits: hits})
	}
}

// runReceipt returns the answer to a run: one hit in the item's first shard, or in
// shard "" when the item names none.
func runReceipt(item Item) []message.ShardAnswer {
	var shard topology.ShardID
	if len(item.Shards) > 0 {
		shard = item.Shards[0]
	}
	hit := message.Hit{ID: Receipt(item.ID, item.Query), Score: 1, Text: item.Query}
	return []message.ShardAnswer{{Shard: shard, Hits: []message.Hit{hit}}}
}

// deadlineOf returns the deadline of a request, or the zero time without one.
func deadlineOf(header http.Header) time.Time {
	if ms, ok := unixMSHeader(header, HeaderDeadline); ok {
		return time.UnixMilli(ms)
	}
	return time.Time{}
}

// unixMSHeader parses a header that holds a time in Unix ms.
func unixMSHeader(header http.Header, name string) (int64, bool) {
	ms, err := strconv.ParseInt(header.Get(name), 10, 64)
	return ms, err == nil
}
