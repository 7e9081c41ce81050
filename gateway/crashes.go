package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/poison"
	"knapweedstall/core/replica"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

const (
	// crashProbeTimeout bounds the connection attempt that shows whether a target
	// has crashed.
	crashProbeTimeout = 200 * clock.Millisecond
	// crashWriteAttempts is how often writing a record to the store is attempted.
	crashWriteAttempts = 4
	// minCrashedShare is the share of a search's targets that must have crashed for
	// the search to count as the cause; a few may crash by coincidence. If more than the
	// rest have answered it, it is not the cause.
	minCrashedShare = 0.5
	// answerWriteDelay is the mean delay until an instance tells the others that a
	// refused request was answered, so that one of those that have seen it tells it.
	answerWriteDelay = 200 * clock.Millisecond
	// trialWriteTimeout bounds the wait of a request for the store before it is sent as a
	// trial.
	trialWriteTimeout = 500 * clock.Millisecond
	// trialRetryDelay is the time until an instance tries again to begin a trial.
	trialRetryDelay = clock.Second
)

// Removal of records that are of no use from the store.
const (
	removalPeriod = clock.Minute
	maxRemovals   = 32 // in each period
)

// crashEvidence is what an instance knows about crashes of targets that were running a
// request. It outlasts the request and holds none of its content.
type crashEvidence struct {
	requestID   string
	fingerprint poison.Fingerprint
	services    int // that the request is sent to

	// othersReached is the result of reachesOthers once othersOnce is done.
	othersOnce    sync.Once
	othersReached bool

	// Guarded by the gateway's mu.
	sentTo         []topology.TargetID
	crashedTargets int // targets that exited while they ran the request
}

// crashRecords is what an instance does about requests that crash targets. The gateway's
// mu guards it.
type crashRecords struct {
	tracker *poison.Tracker
	// written has the crashes that this instance has written and that still count, by
	// the name of the object, with the time of the crash.
	written  map[string]writtenCrash
	telling  map[poison.Fingerprint]bool       // an answer to the request is being written
	trialsAt map[poison.Fingerprint]clock.Time // this instance doesn't begin a trial before
	givenUp  givenUpRequests
}

type writtenCrash struct {
	record platform.CrashRecord
	at     clock.Time
}

func newCrashRecords() *crashRecords {
	return &crashRecords{
		tracker: poison.NewTracker(), written: map[string]writtenCrash{},
		telling: map[poison.Fingerprint]bool{}, trialsAt: map[poison.Fingerprint]clock.Time{},
		givenUp: givenUpRequests{byTarget: map[poison.Process][]givenUp{}},
	}
}

// quarantined reports whether the request must not be sent to any target, because it has
// crashed targets. If not, trial tells that it must be sent to one target only.
func (g *Gateway) quarantined(ctx context.Context, f poison.Fingerprint) (refused, trial bool) {
	g.mu.Lock()
	now := g.clock.Now()
	refused, due := g.crashes.tracker.Refused(f, now)
	if !refused || !due || now.Before(g.crashes.trialsAt[f]) {
		g.mu.Unlock()
		return refused, false
	}
	g.crashes.trialsAt[f] = now.Add(trialRetryDelay)
	last := g.crashes.tracker.Trial(f)
	g.mu.Unlock()
	trial = g.beginTrial(ctx, f, last)
	return !trial, trial
}

// beginTrial reports whether this instance is the one that sends the request as the next
// trial. The store decides, by a conditional write.
func (g *Gateway) beginTrial(ctx context.Context, f poison.Fingerprint, last poison.Trial) bool {
	ctx, cancel := context.WithTimeout(ctx, trialWriteTimeout.Std())
	defer cancel()
	name, spec := platform.CrashRecord{
		Kind: platform.TrialRecorded, Fingerprint: f, Instance: g.settings.Instance,
		Trial: last.Number + 1, UnixMS: g.clock.UnixMillis(),
	}.Object()
	o, err := g.store.PutIf(ctx, platform.KindCrashes, name, last.Revision, spec)
	if err != nil {
		g.log.Info("trial of a refused request not begun", "fingerprint", f, "trial", last.Number+1, "err", err)
		g.noteTrialRecord(f, err)
		return false
	}
	g.log.Info("trial of a refused request", "fingerprint", f, "trial", last.Number+1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.tracker.SetTrial(f, poison.Trial{Number: last.Number + 1, Revision: o.Revision}, 0, g.clock.Now())
	return true
}

// noteTrialRecord notes what the failure of a conditional write says about the record of the
// latest trial. Otherwise an instance whose copy lacks a change could begin no trial any more.
func (g *Gateway) noteTrialRecord(f poison.Fingerprint, err error) {
	var conflict *platform.ConflictError
	g.mu.Lock()
	defer g.mu.Unlock()
	if !errors.As(err, &conflict) {
		g.crashes.tracker.ForgetTrialRecord(f)
		return
	}
	r, err := platform.ParseCrashRecord(conflict.Name, conflict.Object.Spec)
	if err != nil {
		g.log.Warn("invalid crash entry ignored", "name", conflict.Name, "revision", conflict.Object.Revision, "err", err)
	}
	// The number of an invalid record is 0; its revision is what the next write needs.
	g.crashes.tracker.SetTrial(f, poison.Trial{Number: r.Trial, Revision: conflict.Object.Revision}, 0, g.clock.Now())
}

// checkCrash checks whether a target whose connection broke has crashed, that is,
// refuses connections while other targets can be reached and has not said that it is about
// to stop. If the request may be the cause, it shares the crash with all instances.
func (g *Gateway) checkCrash(e *crashEvidence, target replica.Listing) {
	if g.refusesConnections(target) {
		g.reportCrash(e, target)
	}
}

func (g *Gateway) refusesConnections(target replica.Listing) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout.Std())
	defer cancel()
	return g.pool.RefusesConnections(ctx, target.ID, target.Address)
}

// reportCrash shares the crash of a target with all instances if the request may be the cause.
func (g *Gateway) reportCrash(e *crashEvidence, target replica.Listing) {
	if !g.reachesOthers(e) {
		return
	}
	r := platform.CrashRecord{
		Fingerprint: e.fingerprint, UnixMS: g.clock.UnixMillis(),
		Process: poison.Process{Target: target.ID, StartedUnixMS: target.StartedUnixMS},
	}
	if !g.noteCrash(e, r) {
		return
	}
	g.log.Warn("target exited while it ran a request", "id", e.requestID, "target", target.ID, "fingerprint", e.fingerprint)
	g.writeCrashRecord(r)
}

// noteCrash counts a crash, and reports whether the request may be the cause.
func (g *Gateway) noteCrash(e *crashEvidence, r platform.CrashRecord) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targets.Leaving(r.Process.Target) {
		return false
	}
	e.crashedTargets++
	if float64(e.crashedTargets) < minCrashedShare*float64(e.services) {
		return false
	}
	now := g.clock.Now()
	g.crashes.tracker.Add(poison.Crash{Fingerprint: r.Fingerprint, Process: r.Process}, 0, 0, now)
	name, _ := r.Object()
	g.crashes.written[name] = writtenCrash{r, now}
	return true
}

// reachesOthers reports whether targets can be reached that have not received the
// request. If there are none, it can't be told and counts as true.
func (g *Gateway) reachesOthers(e *crashEvidence) bool {
	e.othersOnce.Do(func() {
		g.mu.Lock()
		sentTo := slices.Clone(e.sentTo)
		g.mu.Unlock()
		others := g.probeTargets(sentTo)
		e.othersReached = len(others) == 0 || g.connectTo(others) > 0
	})
	return e.othersReached
}

// noteAnswered notes that targets of more than the given number of the request's services
// have answered it, so that it is not the cause of crashes. mu must be held.
func (g *Gateway) noteAnswered(f poison.Fingerprint, answered, services int) {
	if float64(answered) <= (1-minCrashedShare)*float64(services) {
		return
	}
	g.crashes.tracker.Answered(f)
	if g.crashes.tracker.RefusedElsewhere(f, g.clock.Now()) && !g.crashes.telling[f] {
		g.crashes.telling[f] = true
		go g.tellAnswered(f)
	}
}

// tellAnswered tells all instances that a target has answered a request that they refuse.
func (g *Gateway) tellAnswered(f poison.Fingerprint) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.crashes.telling, f)
	}()
	sleep(context.Background(), g.jitter(answerWriteDelay))
	g.mu.Lock()
	refused := g.crashes.tracker.RefusedElsewhere(f, g.clock.Now())
	g.mu.Unlock()
	if !refused { // another instance has told it
		return
	}
	g.log.Info("refused request was answered", "fingerprint", f)
	g.writeCrashRecord(platform.CrashRecord{
		Kind: platform.AnswerRecorded, Fingerprint: f, Instance: g.settings.Instance, UnixMS: g.clock.UnixMillis(),
	})
}

// writeCrashRecord writes a record to the store, from which all instances read it.
func (g *Gateway) writeCrashRecord(r platform.CrashRecord) {
	name, spec := r.Object()
	for range crashWriteAttempts {
		err := g.putCrashRecord(r, name, spec)
		if err == nil {
			return
		}
		g.log.Warn("writing a crash record to the store failed", "fingerprint", r.Fingerprint, "err", err)
		sleep(context.Background(), g.jitter(maxRetryDelay))
	}
}

// putCrashRecord makes one attempt to write a record. The crash of a process is recorded
// once, and stays older than an answer that came after it.
func (g *Gateway) putCrashRecord(r platform.CrashRecord, name string, spec any) error {
	if r.Kind != platform.CrashRecorded || r.Process.StartedUnixMS == 0 {
		return g.store.Put(context.Background(), platform.KindCrashes, name, spec)
	}
	_, err := g.store.PutIf(context.Background(), platform.KindCrashes, name, 0 /* create */, spec)
	var known *platform.ConflictError
	if errors.As(err, &known) {
		return nil
	}
	return err
}

// applyCrashes takes over what any instance has written to the store about requests that
// crash targets.
func (g *Gateway) applyCrashes(k view.Copy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, tracker := g.clock.Now(), g.crashes.tracker
	stored := map[poison.Fingerprint]bool{}
	for name, o := range k.Objects {
		r, err := platform.ParseCrashRecord(name, o.Spec)
		if err != nil {
			g.log.Warn("invalid crash entry ignored", "name", name, "revision", o.Revision, "err", err)
			continue
		}
		stored[r.Fingerprint] = true
		age := clock.Duration(max(g.clock.UnixMillis()-r.UnixMS, 0)) // the writer's clock may be ahead
		switch r.Kind {
		case platform.CrashRecorded:
			tracker.Add(poison.Crash{Fingerprint: r.Fingerprint, Process: r.Process}, o.Revision, age, now)
		case platform.AnswerRecorded:
			tracker.SetAnswered(r.Fingerprint, o.Revision, now)
		case platform.TrialRecorded:
			tracker.SetTrial(r.Fingerprint, poison.Trial{Number: r.Trial, Revision: o.Revision}, age, now)
		}
	}
	tracker.Expire(stored, now)
	maps.DeleteFunc(g.crashes.written, func(_ string, w writtenCrash) bool { return now.Sub(w.at) >= poison.Retention })
	maps.DeleteFunc(g.crashes.trialsAt, func(_ poison.Fingerprint, at clock.Time) bool { return at.Before(now) })
}

// removeCrashRecords removes records that are of no use from the store until ctx is done.
// One instance on average does so in each period: the removals need no agreement.
func (g *Gateway) removeCrashRecords(ctx context.Context) {
	for {
		sleep(ctx, g.jitter(removalPeriod))
		if ctx.Err() != nil {
			return
		}
		g.mu.Lock()
		chosen := g.random.IntN(max(len(g.peers), 1)) == 0
		g.mu.Unlock()
		if chosen {
			g.removeUselessCrashes(ctx)
		}
	}
}

// removeUselessCrashes removes up to maxRemovals records that are of no use.
func (g *Gateway) removeUselessCrashes(ctx context.Context) {
	for _, name := range g.uselessCrashes() {
		if err := g.store.Delete(ctx, platform.KindCrashes, name); err != nil {
			g.log.Info("removing a crash record failed", "name", name, "err", err)
			return
		}
	}
}

// uselessCrashes returns the names of up to maxRemovals records that are of no use.
func (g *Gateway) uselessCrashes() (names []string) {
	k := g.views.copyOf(platform.KindCrashes)
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, o := range k.Objects {
		r, err := platform.ParseCrashRecord(name, o.Spec)
		if err != nil || !g.crashes.tracker.Removable(r.Fingerprint, g.clock.Now()) {
			continue
		}
		if names = append(names, name); len(names) == maxRemovals {
			break
		}
	}
	return names
}
