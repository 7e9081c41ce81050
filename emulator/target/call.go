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

const maxRequestBytes = 4 << 20

// admission is the decision on a call that arrived.
type admission struct {
	call     *Call
	outcome  Outcome // OutcomeRunning when the call starts
	life     *life
	state    Health // at the arrival, then at the end of the call
	held     held
	duration time.Duration
	loses    bool // the reply is to be lost
}

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
		<-ctx.Done() // a silent connection takes bytes and answers nothing
		return nil
	}
	network := millis(s.config.NetworkMS)
	if !sleep(ctx, network, nil) {
		return nil
	}
	a := s.arrive(c.Path(), r, c.Request())
	if a.outcome == OutcomeRunning {
		a.outcome = s.runCancellable(ctx, a, c.Request().Header)
		s.finish(a)
	}
	s.ledger.close(a.call, a.outcome)
	a.state = s.State()
	if !sleep(ctx, network, nil) {
		return nil
	}
	return s.reply(c, a, r)
}

// arrive decides whether a call starts.
func (s *Server) arrive(path string, r Request, hr *http.Request) admission {
	s.mu.Lock()
	a, dropped := s.decide(path, r, hr)
	s.mu.Unlock()
	resetAll(dropped)
	return a
}

func (s *Server) decide(path string, r Request, hr *http.Request) (admission, []*conn) {
	a := admission{life: s.life, state: s.state()}
	a.call = &Call{
		Target: s.config.Target.ID, Path: path, Started: time.Now(), Snapshot: r.Snapshot,
		State: a.state.State, Capacity: a.state.Capacity,
	}
	if s.life != nil {
		a.call.Running = s.life.running + 1
	}
	s.ledger.open(a.call, r.Items)
	if a.outcome = s.refusal(&a, path, r, hr); a.outcome != "" {
		return a, nil
	}
	if a.call.Running > a.state.Capacity {
		s.ledger.overLimit(s.life.cold)
		if s.life.cold {
			a.outcome = OutcomeOverloadCrash
			return a, s.crash()
		}
		a.outcome = OutcomeShed
		return a, nil
	}
	s.ledger.start(path, r.Items)
	if s.containsCrash(r.Items) {
		a.outcome = OutcomeCrashed
		return a, s.crash()
	}
	s.life.running++
	a.outcome = OutcomeRunning
	a.duration = time.Duration(float64(s.config.Timing.Draw(s.random, len(r.Items))) * s.faults.slowFactor())
	a.loses = s.random.Float64() < s.faults.LoseReplyRate
	return a, nil
}

// refusal returns the reason why a call does not start that is independent of
// the load, or "".
func (s *Server) refusal(a *admission, path string, r Request, hr *http.Request) Outcome {
	// A request from before a crash must not count as load on the restarted server.
	if s.life == nil || s.life != connOf(hr.Context()).life {
		return OutcomeDown
	}
	if s.faults.Draining {
		return OutcomeDraining
	}
	header, now := hr.Header, time.Now().UnixMilli()
	if startBy, ok := unixHeader(header, HeaderStartBy); ok && now > startBy {
		return OutcomeLate
	}
	if deadline, ok := unixHeader(header, HeaderDeadline); ok && now >= deadline {
		return OutcomeLate
	}
	if path == pathRun && r.Snapshot == "" {
		return ""
	}
	for _, h := range s.snapshots {
		if h.id == r.Snapshot {
			a.held = h
			return ""
		}
	}
	return OutcomeSnapshotGone
}

func (s *Server) containsCrash(items []Item) bool {
	for _, item := range items {
		if strings.Contains(item.Query, s.config.crashText()) {
			return true
		}
	}
	return false
}

// runCancellable runs a call that POST /v1/cancel can end by its id.
func (s *Server) runCancellable(ctx context.Context, a admission, header http.Header) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if id := header.Get(HeaderCall); id != "" {
		s.cancels.Store(id, cancel)
		defer s.cancels.Delete(id)
	}
	return s.run(ctx, a, deadlineOf(header))
}

// serveCancel ends a call; the call's own reply says that it did.
func (s *Server) serveCancel(c echo.Context) error {
	if cancel, ok := s.cancels.Load(c.Request().Header.Get(HeaderCall)); ok {
		cancel.(context.CancelFunc)()
	}
	return c.NoContent(http.StatusNoContent)
}

// run takes the service time of a call and returns how it ended.
func (s *Server) run(ctx context.Context, a admission, deadline time.Time) Outcome {
	timer := time.NewTimer(a.duration)
	defer timer.Stop()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		limit := time.NewTimer(time.Until(deadline))
		defer limit.Stop()
		expired = limit.C
	}
	select {
	case <-timer.C:
		if a.loses {
			return OutcomeReplyLost
		}
		return OutcomeAnswered
	case <-expired:
		return OutcomeDeadline
	case <-a.life.ended:
		return OutcomeInterrupted
	case <-ctx.Done():
		return OutcomeCancelled
	}
}

// finish frees the slot of a call that ran.
func (s *Server) finish(a admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.life.running--
	if a.outcome != OutcomeAnswered {
		return
	}
	a.life.served++
	calls := s.config.ColdPeriod.Calls
	if a.life.cold && calls > 0 && a.life.served >= calls && a.life == s.life {
		s.warm(a.life)
	}
}

func (s *Server) reply(c echo.Context, a admission, r Request) error {
	switch a.outcome {
	case OutcomeAnswered, OutcomeSnapshotGone:
		return c.JSON(http.StatusOK, s.answer(c.Path(), a, r))
	case OutcomeShed:
		return s.refuse(c, http.StatusServiceUnavailable, StatusShed, a.state)
	case OutcomeLate:
		return s.refuse(c, http.StatusServiceUnavailable, StatusLate, a.state)
	case OutcomeDraining:
		return s.refuse(c, http.StatusServiceUnavailable, StatusDraining, a.state)
	case OutcomeCancelled:
		return s.refuse(c, http.StatusServiceUnavailable, StatusCancelled, a.state)
	case OutcomeDeadline:
		return s.refuse(c, http.StatusGatewayTimeout, StatusDeadline, a.state)
	}
	panic(http.ErrAbortHandler) // net/http closes the connection without an answer
}

func (s *Server) refuse(c echo.Context, code int, status RefusalStatus, state Health) error {
	return c.JSON(code, Refusal{State: state.State, Capacity: state.Capacity, Status: status, RetryAfterMS: s.config.retryMS()})
}

func (s *Server) answer(path string, a admission, r Request) Reply {
	reply := Reply{State: a.state.State, Capacity: a.state.Capacity}
	for _, item := range r.Items {
		out := ItemReply{ID: item.ID, Workspace: item.Workspace, Snapshot: r.Snapshot}
		switch {
		case a.outcome == OutcomeSnapshotGone:
			out.Status = message.StatusSnapshotGone
			out.Snapshots = s.Snapshots()
		case path == pathRun:
			out.Status = message.StatusOK
			out.Shards = receipt(item)
		default:
			s.search(&out, a.held, item)
		}
		reply.Items = append(reply.Items, out)
	}
	return reply
}

// search fills out with the hits of the item's shards. An item that names a
// shard which the server does not hold is not run at all, so that no part of
// an answer is lost unnoticed.
func (s *Server) search(out *ItemReply, h held, item Item) {
	for _, shard := range item.Shards {
		if !h.shards[shard] {
			s.ledger.misrouted()
			out.Status = message.StatusNotRun
			return
		}
	}
	out.Status = message.StatusOK
	for _, shard := range item.Shards {
		hits := s.config.Corpus.Search(h.id, shard, item.Workspace, item.Query, item.Limit)
		out.Shards = append(out.Shards, message.ShardAnswer{Shard: shard, Hits: hits})
	}
}

// receipt answers a run with one shard: the item's first, or "" without any.
func receipt(item Item) []message.ShardAnswer {
	var shard topology.ShardID
	if len(item.Shards) > 0 {
		shard = item.Shards[0]
	}
	hit := message.Hit{ID: Receipt(item.ID, item.Query), Score: 1, Text: item.Query}
	return []message.ShardAnswer{{Shard: shard, Hits: []message.Hit{hit}}}
}

func deadlineOf(header http.Header) time.Time {
	if ms, ok := unixHeader(header, HeaderDeadline); ok {
		return time.UnixMilli(ms)
	}
	return time.Time{}
}

func unixHeader(header http.Header, name string) (int64, bool) {
	ms, err := strconv.ParseInt(header.Get(name), 10, 64)
	return ms, err == nil
}
