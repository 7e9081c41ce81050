package poison_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/poison"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
)

// crash returns the crash of a process that was started at a time.
func crash(f poison.Fingerprint, target topology.TargetID, started int64) poison.Crash {
	return poison.Crash{Fingerprint: f, Process: poison.Process{Target: target, StartedUnixMS: started}}
}

// world is a tracker with what the store has, whose revisions grow by 1.
type world struct {
	*poison.Tracker
	revision int64
	now      clock.Time
}

func newWorld() *world { return &world{Tracker: poison.NewTracker()} }

// TestRefused checks that a request is refused after it has crashed two targets, and not
// because of a single crash, which may be a coincidence, of old ones, or of crashes that
// are no evidence against it.
func TestRefused(t *testing.T) {
	for name, c := range map[string]struct {
		play func(w *world)
		want bool
	}{
		"no crash":                {func(*world) {}, false},
		"one crash":               {func(w *world) { w.crash("f", "a", 1) }, false},
		"one crash, added twice":  {func(w *world) { w.crash("f", "a", 1); w.crash("f", "a", 1) }, false},
		"two targets":             {func(w *world) { w.crash("f", "a", 1); w.wait(clock.Minute); w.crash("f", "b", 1) }, true},
		"one target, twice":       {func(w *world) { w.crash("f", "a", 1); w.crash("f", "a", 2) }, true},
		"one target, start known": {func(w *world) { w.crash("f", "a", 0); w.crash("f", "a", 1) }, false},
		"two requests, one each":  {func(w *world) { w.crash("f", "a", 1); w.crash("g", "b", 1) }, false},
		"two crashes long ago":    {func(w *world) { w.crash("f", "a", 1); w.crash("f", "b", 1); w.wait(11 * clock.Minute) }, false},
		"answered before":         {func(w *world) { w.Answered("f"); w.crash("f", "a", 1); w.crash("f", "b", 1) }, true},
		"answered between":        {func(w *world) { w.crash("f", "a", 1); w.Answered("f"); w.crash("f", "b", 1) }, false},
		"answered since":          {func(w *world) { w.crash("f", "a", 1); w.crash("f", "b", 1); w.Answered("f") }, false},
		"answered elsewhere":      {func(w *world) { w.crash("f", "a", 1); w.crash("f", "b", 1); w.answered("f") }, false},
		"crashes after an answer": {func(w *world) {
			w.crash("f", "a", 1)
			w.answered("f")
			w.crash("f", "b", 1)
			w.crash("f", "c", 1)
		}, true},
		"crashes of a worse request": {func(w *world) {
			for _, target := range []topology.TargetID{"a", "b", "c"} {
				w.crash("g", target, 1)
			}
			w.crash("f", "a", 1)
			w.crash("f", "b", 1)
		}, false},
		"crashes beside a worse request": {func(w *world) {
			for _, target := range []topology.TargetID{"a", "b", "c", "d"} {
				w.crash("g", target, 1)
			}
			w.crash("f", "a", 1)
			w.crash("f", "x", 1)
			w.crash("f", "y", 1)
		}, true},
		"beside a popular request that was answered": {func(w *world) {
			for _, target := range []topology.TargetID{"a", "b", "c"} {
				w.crash("g", target, 1)
			}
			w.crash("f", "a", 1)
			w.crash("f", "b", 1)
			w.Answered("g")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			c.play(w)
			w.Expire(nil, w.now)
			refused, _ := w.Refused("f", w.now)
			if diff := cmp.Diff(c.want, refused); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}

func (w *world) wait(d clock.Duration) { w.now = w.now.Add(d) }

func (w *world) next() view.Revision {
	w.revision++
	return view.NewRevision(0, w.revision)
}

// crash adds the record of a crash.
func (w *world) crash(f poison.Fingerprint, target topology.TargetID, started int64) {
	w.Add(crash(f, target, started), w.next(), 0, w.now)
}

// answered adds the record of an answer.
func (w *world) answered(f poison.Fingerprint) { w.SetAnswered(f, w.next(), w.now) }

// TestTrials guards against a request that is refused for good after coincidences, and
// against one that does crash targets and reaches them more than three times in the hour
// after its third crash.
func TestTrials(t *testing.T) {
	w := newWorld()
	w.crash("f", "a", 1)
	w.crash("f", "b", 1)
	var trials []clock.Duration
	for ; w.now < clock.Time(clock.Hour); w.wait(clock.Second) {
		refused, due := w.Refused("f", w.now)
		if !refused {
			t.Fatalf("not refused at %d ms", w.now)
		}
		if due {
			trials = append(trials, clock.Duration(w.now)/clock.Second)
			w.SetTrial("f", poison.Trial{Number: w.Trial("f").Number + 1, Revision: w.next()}, 0, w.now)
			w.crash("f", "c", int64(w.now))
		}
	}
	if diff := cmp.Diff([]clock.Duration{30, 150, 630, 2550}, trials); diff != "" {
		t.Errorf("trials (-want +got):\n%s", diff)
	}
	w.answered("f")
	w.crash("f", "d", 1)
	w.crash("f", "e", 1)
	w.wait(31 * clock.Second)
	if refused, due := w.Refused("f", w.now); !refused || !due {
		t.Errorf("refused %v, trial due %v: want the first trial after new crashes", refused, due)
	}
}

// TestAnswerIsTold guards against an instance that serves a request and leaves it refused
// by the others.
func TestAnswerIsTold(t *testing.T) {
	w := newWorld()
	w.crash("f", "a", 1)
	w.Answered("f")
	if w.RefusedElsewhere("f", w.now) {
		t.Error("one crash: an answer would be told")
	}
	w.crash("f", "b", 1)
	refused, _ := w.Refused("f", w.now)
	if refused || !w.RefusedElsewhere("f", w.now) {
		t.Errorf("refused %v, elsewhere %v: want the others alone to refuse", refused, w.RefusedElsewhere("f", w.now))
	}
	w.answered("f")
	if w.RefusedElsewhere("f", w.now) {
		t.Error("an answer that was told would be told again")
	}
}

// TestFingerprint checks that different requests have different fingerprints, and
// that a request has the same one when it is sent again.
func TestFingerprint(t *testing.T) {
	f := poison.NewFingerprint("", "GET", "h", "/a", nil)
	if f != poison.NewFingerprint("", "GET", "h", "/a", []byte{}) {
		t.Error("the same request has two fingerprints")
	}
	for _, other := range []poison.Fingerprint{
		poison.NewFingerprint("", "POST", "h", "/a", nil), poison.NewFingerprint("", "GET", "h", "/b", nil),
		poison.NewFingerprint("", "GET", "h", "/a", []byte("x")), poison.NewFingerprint("", "GET", "h/", "a", nil),
		poison.NewFingerprint("w", "GET", "h", "/a", nil), poison.NewFingerprint("GET", "h", "/a", "", nil),
	} {
		if f == other {
			t.Error("two different requests have the same fingerprint")
		}
	}
}

// TestRemovable guards against records that stay in the store for good, and against the
// removal of those that count, also when the clock of their writer was far behind.
func TestRemovable(t *testing.T) {
	for name, c := range map[string]struct {
		age, known clock.Duration
		want       bool
	}{
		"new":                   {0, 0, false},
		"counts":                {0, 9 * clock.Minute, false},
		"no longer counts":      {0, 11 * clock.Minute, true},
		"writer's clock behind": {clock.Hour, clock.Minute, false},
		"old, known for long":   {clock.Hour, 11 * clock.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			w.Add(crash("f", "a", 1), w.next(), c.age, w.now)
			w.wait(c.known)
			w.Expire(map[poison.Fingerprint]bool{"f": true}, w.now)
			if diff := cmp.Diff(c.want, w.Removable("f", w.now)); diff != "" {
				t.Errorf("removable (-want +got):\n%s", diff)
			}
		})
	}
}
