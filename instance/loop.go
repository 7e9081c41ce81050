package instance

import (
	"context"
	"time"

	"knapweedstall/core/node"
)

// loop passes events to the node and executes its commands. It is the only goroutine
// that uses the node.
func (in *Instance) loop(ctx context.Context) {
	period := node.TickPeriod.Std()
	timer := time.NewTimer(period)
	defer timer.Stop()
	nextTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-in.events:
			in.handleEvent(ctx, e)
			in.handleQueued(ctx)
		case f := <-in.loopFuncs:
			f()
		case <-timer.C:
			in.handleEvent(ctx, node.Tick{UnixMS: in.clock.UnixMillis()})
		}
		if now := time.Now(); !now.Before(nextTick) {
			in.handleEvent(ctx, node.Tick{UnixMS: in.clock.UnixMillis()})
			in.publishState()
			nextTick = now.Add(period)
		}
		timer.Reset(in.timerDelay(nextTick))
	}
}

// handleQueued handles the events that are already queued, but at most 64, which fit
// one tick, so that a full queue does not delay the timers.
func (in *Instance) handleQueued(ctx context.Context) {
	for range 64 {
		select {
		case e := <-in.events:
			in.handleEvent(ctx, e)
		default:
			return
		}
	}
}

// timerDelay returns the time until the next tick, or until the node must be called
// if that is earlier.
func (in *Instance) timerDelay(nextTick time.Time) time.Duration {
	wait := time.Until(nextTick)
	if at := in.node.NextWake(); at != 0 {
		wait = min(wait, at.Sub(in.clock.Now()).Std())
	}
	return max(wait, 0)
}

// handleEvent passes e to the node and executes the commands that it returns.
func (in *Instance) handleEvent(ctx context.Context, e node.Event) {
	now := in.clock.Now()
	commands := in.handleAndRecord(now, e)
	header := in.node.Header(now)
	in.peerHeader.Store(&header)
	for _, c := range commands {
		in.execute(ctx, c)
	}
}

// publishState updates the state of the node that other goroutines read.
func (in *Instance) publishState() {
	in.ready.Store(in.node.Ready(in.clock.Now()))
	in.metrics.update(in.node.Counters(), uint64(in.node.ConfigLog().Number()), in.hub.SentBytes())
}

func (in *Instance) execute(ctx context.Context, c node.Command) {
	switch c := c.(type) {
	case node.AnswerSearch:
		in.complete(c.Call, c)
	case node.RefuseCall:
		in.complete(c.Call, c)
	case node.AnswerRun:
		in.complete(c.Call, c)
	case node.AnswerTicket:
		in.complete(c.Call, c)
	case node.SendPeer:
		in.hub.Send(c.To, c.Body)
	case node.CallTarget:
		in.callTarget(ctx, c)
	case node.CancelTarget:
		in.cancelTarget(ctx, c)
	case node.ReadObject:
		go in.readObject(ctx, c)
	case node.WriteObject:
		go in.writeObject(ctx, c)
	case node.ListObjects:
		go in.listObjects(ctx, c)
	case node.WatchStore:
		in.watchStore(ctx, c)
	case node.LogRecord:
		in.logRecord(c)
	case node.Stopped:
		close(in.stopped)
	}
}

func (in *Instance) logRecord(r node.LogRecord) {
	attrs := []any{"code", r.Code}
	for _, a := range r.Attrs {
		attrs = append(attrs, a.Key, a.Value)
	}
	switch r.Level {
	case node.LevelError:
		in.log.Error(r.Code, attrs...)
	case node.LevelWarn:
		in.log.Warn(r.Code, attrs...)
	default:
		in.log.Info(r.Code, attrs...)
	}
}

// post queues an event for the loop unless ctx ends first.
func (in *Instance) post(ctx context.Context, e node.Event) {
	select {
	case in.events <- e:
	case <-ctx.Done():
	}
}

// runInLoop runs f in the goroutine of loop and waits until it returns. It reports
// false when ctx ends first.
func (in *Instance) runInLoop(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case in.loopFuncs <- func() { f(); close(done) }:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// complete passes the command that ends a call to the request that waits for it.
func (in *Instance) complete(call node.CallID, c node.Command) {
	in.mu.Lock()
	done := in.pendingCalls[call]
	delete(in.pendingCalls, call)
	in.mu.Unlock()
	if done != nil {
		done <- c
	}
}

// submit registers a call, queues its event and waits for the command that ends it.
// It reports false when ctx ends first because the caller disconnected.
func (in *Instance) submit(ctx context.Context, event func(node.CallID) node.Event) (node.Command, bool) {
	call := node.CallID(in.lastCallID.Add(1))
	done := make(chan node.Command, 1)
	in.mu.Lock()
	in.pendingCalls[call] = done
	in.mu.Unlock()
	in.events <- event(call)
	select {
	case c := <-done:
		return c, true
	case <-ctx.Done():
		in.mu.Lock()
		delete(in.pendingCalls, call)
		in.mu.Unlock()
		in.events <- node.CallerDisconnected{Call: call}
		return nil, false
	}
}
