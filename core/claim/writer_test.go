package claim_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"knapweedstall/core/claim"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object/objecttest"
	"knapweedstall/core/topology"
)

func TestMain(m *testing.M) { os.Exit(objecttest.Main(m, 8000)) }

// keys is small, so that writers often meet on one key.
const keys = 2

// submission is one request as the oracle sees it.
type submission struct {
	id       claim.ID
	payload  string
	writer   *writer
	deadline clock.Time
	reply    *message.RunReply
}

type writer struct {
	*claim.JournalWriter
	ref  topology.InstanceRef
	call claim.Command // outstanding store call, or nil
	runs map[claim.ID]uint32
}

// send is a Run on its way to a target. It outlives the writer that ordered it.
type send struct {
	claim.Run
	writer *writer
}

type tier struct {
	now         clock.Time
	store       *objecttest.Store
	writers     []*writer
	incarnation topology.Incarnation
	sends       []send
	executed    map[claim.ID]string  // answer of the only execution
	executor    map[claim.ID]*writer // whose Run it was
	submissions map[message.RequestID]*submission
	seq         uint64
}

func newTier() *tier {
	w := &tier{now: 1, store: objecttest.NewStore(), executed: map[claim.ID]string{}, executor: map[claim.ID]*writer{}, submissions: map[message.RequestID]*submission{}}
	for range 2 {
		w.writers = append(w.writers, w.start())
	}
	return w
}

func (w *tier) start() *writer {
	w.incarnation++
	ref := topology.InstanceRef{ID: "i", Incarnation: w.incarnation}
	return &writer{JournalWriter: claim.NewJournalWriter(7, ref, claim.WithMaxAnswer(20)), ref: ref, runs: map[claim.ID]uint32{}}
}

func (w *tier) handle(t *rapid.T, wr *writer, commands []claim.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case claim.Run:
			w.handOut(t, wr, c)
		case claim.Reply:
			w.replied(t, wr, c.RunReply)
		default:
			if wr.call != nil {
				t.Fatalf("second store call %T while %T is outstanding", c, wr.call)
			}
			wr.call = c
		}
	}
}

// handOut checks that the store holds the claim under the writer's own
// incarnation and attempt, and that the attempt is handed out once.
func (w *tier) handOut(t *rapid.T, wr *writer, r claim.Run) {
	if _, done := w.executed[r.ID]; done {
		t.Fatalf("%v handed out again after it ran", r.ID)
	}
	if wr.runs[r.ID] >= r.Attempt {
		t.Fatalf("%v: attempt %d handed out after attempt %d", r.ID, r.Attempt, wr.runs[r.ID])
	}
	wr.runs[r.ID] = r.Attempt
	c := w.stored(t, r.ID)
	if c.Claimant != wr.ref || c.Attempt != r.Attempt || c.State != claim.StateClaimed {
		t.Fatalf("%v attempt %d handed out by %v, but the journal holds %+v", r.ID, r.Attempt, wr.ref, c)
	}
	if !w.awaited(wr, r) {
		t.Fatalf("%v handed out by %v after all its submissions were answered", r.ID, wr.ref)
	}
	for _, s := range w.sends {
		if s.ID == r.ID {
			t.Fatalf("%v handed out while another run is under way", r.ID)
		}
	}
	w.sends = append(w.sends, send{r, wr})
}

// awaited reports whether a submission of the same content to the writer is
// unanswered.
func (w *tier) awaited(wr *writer, r claim.Run) bool {
	for _, s := range w.submissions {
		if s.writer == wr && s.id == r.ID && s.payload == r.Payload && s.reply == nil {
			return true
		}
	}
	return false
}

func (w *tier) stored(t *rapid.T, id claim.ID) claim.Claim {
	claims, err := claim.Decode(w.store.Get(claim.Key(7)).Value)
	if err != nil {
		t.Fatalf("stored journal: %v", err)
	}
	for _, c := range claims {
		if c.ID() == id {
			return c
		}
	}
	return claim.Claim{}
}

func (w *tier) replied(t *rapid.T, wr *writer, r message.RunReply) {
	s := w.submissions[r.ID]
	if s.reply != nil {
		t.Fatalf("%v answered twice", r.ID)
	}
	s.reply = &r
	answer, ran := w.executed[s.id]
	switch r.Outcome {
	case message.OutcomeAnswered:
		if !ran || !r.AnswerOmitted && string(r.Answer) != answer {
			t.Fatalf("%v answered %q, but the run gave %q", s.id, r.Answer, answer)
		}
		if !strings.HasPrefix(answer, s.payload) {
			t.Fatalf("%v with payload %q was given the answer %q of another request", s.id, s.payload, answer)
		}
	case message.OutcomeNotRun:
		// A run that another writer ordered is not a run of this submission.
		mine := func(x send) bool { return x.writer == wr && x.ID == s.id && x.Payload == s.payload }
		if slices.ContainsFunc(w.sends, mine) || w.executor[s.id] == wr && strings.HasPrefix(answer, s.payload) {
			t.Fatalf("%v reported as not run by %v, which handed it out", s.id, wr.ref)
		}
	}
}

func (w *tier) submit(t *rapid.T, wr *writer, id claim.ID, payload string, wait clock.Duration) *submission {
	w.seq++
	r := message.RunRequest{ID: message.RequestID{Seq: w.seq}, Workspace: id.Workspace, Key: id.Key, Payload: payload}
	s := &submission{id: id, payload: payload, writer: wr, deadline: w.now.Add(wait)}
	w.submissions[r.ID] = s
	w.handle(t, wr, wr.Submit(w.now, claim.Request{RunRequest: r, Deadline: s.deadline, UnixMS: 1_000_000 + int64(w.now)}))
	return s
}

func key(n int) claim.ID {
	return claim.ID{Workspace: "acme", Key: message.IdempotencyKey(fmt.Sprintf("k%d", n))}
}

func (w *tier) drawSubmit(t *rapid.T) {
	wr := rapid.SampledFrom(w.writers).Draw(t, "writer")
	id := key(rapid.IntRange(0, keys-1).Draw(t, "key"))
	payload := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "payload")
	w.submit(t, wr, id, payload, clock.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")))
}

// settle completes one outstanding store call.
func (w *tier) settle(t *rapid.T) {
	wr := rapid.SampledFrom(w.writers).Draw(t, "writer")
	if wr.call == nil {
		t.Skip("no call")
	}
	w.complete(t, wr, rapid.SampledFrom(objecttest.Faults).Draw(t, "fault"))
}

func (w *tier) complete(t *rapid.T, wr *writer, fault objecttest.Fault) {
	call := wr.call
	wr.call = nil
	switch c := call.(type) {
	case claim.ReadObject:
		w.handle(t, wr, wr.ReadDone(w.now, w.store.Read(c.Key, fault)))
	case claim.WriteObject:
		w.handle(t, wr, wr.WriteDone(w.now, w.store.Write(c.Key, c.Expect, c.Value, fault)))
	}
}

// run ends one send: executed or not, with a result that may be lost. The
// result reaches the writer only if it still lives.
func (w *tier) run(t *rapid.T) {
	if len(w.sends) == 0 {
		t.Skip("no run")
	}
	i := rapid.IntRange(0, len(w.sends)-1).Draw(t, "run")
	s := w.sends[i]
	w.sends = slices.Delete(w.sends, i, i+1)
	r := claim.RunResult{ID: s.ID, Attempt: s.Attempt, Outcome: message.OutcomeUnknown}
	if rapid.Bool().Draw(t, "executed") {
		if _, again := w.executed[s.ID]; again {
			t.Fatalf("%v ran twice", s.ID)
		}
		w.executor[s.ID] = s.writer
		w.executed[s.ID] = s.Payload + rapid.SampledFrom([]string{"", " long enough to be omitted"}).Draw(t, "answer")
		if rapid.Bool().Draw(t, "heard") {
			r.Outcome = message.OutcomeAnswered
			r.Answer = []byte(w.executed[s.ID])
		}
	} else if rapid.Bool().Draw(t, "proof") {
		r.Outcome = message.OutcomeNotRun
	}
	if slices.Contains(w.writers, s.writer) {
		w.handle(t, s.writer, s.writer.RunDone(w.now, r))
	}
}

func (w *tier) tick(t *rapid.T) {
	w.now = w.now.Add(clock.Duration(rapid.IntRange(1, 900).Draw(t, "ms")))
	if rapid.Bool().Draw(t, "late") {
		return // the driver is behind; a result may come before the next Tick
	}
	for _, wr := range w.writers {
		w.handle(t, wr, wr.Tick(w.now))
	}
}

func (w *tier) restart(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "writer")
	for _, s := range w.submissions {
		if s.writer == w.writers[i] && s.reply == nil {
			s.writer = nil // its caller's connection broke
		}
	}
	w.writers[i] = w.start()
}

func (w *tier) land(t *rapid.T) {
	if w.store.Delayed() == 0 {
		t.Skip("nothing under way")
	}
	w.store.Deliver(rapid.IntRange(0, w.store.Delayed()-1).Draw(t, "write"))
}

// drain lets the writers record what they know. A claim that its writer leaves
// open makes every resend through another instance unknown.
func (w *tier) drain(t *rapid.T) {
	for len(w.sends) > 0 {
		w.run(t)
	}
	for range 6 {
		w.now = w.now.Add(6 * clock.Second) // longer than any pause of a writer
		for _, wr := range w.writers {
			w.handle(t, wr, wr.Tick(w.now))
			for range 3 {
				w.complete(t, wr, objecttest.FaultNone)
			}
		}
	}
	for n := range keys {
		for _, wr := range w.writers {
			if c := w.stored(t, key(n)); !wr.Idle() || c.Claimant == wr.ref && c.State == claim.StateClaimed {
				t.Fatalf("%v left open by %v", key(n), wr.ref)
			}
		}
	}
}

// finish lets every deadline pass, then resends every key through a new writer
// with the store up.
func (w *tier) finish(t *rapid.T) {
	for id, s := range w.submissions {
		if s.reply == nil && s.writer != nil && (s.writer.NextWake() == 0 || s.writer.NextWake() > s.deadline) {
			t.Fatalf("request %v waits until %d, but the next tick is at %d", id, s.deadline, s.writer.NextWake())
		}
	}
	w.now = w.now.Add(clock.Minute)
	for _, wr := range w.writers {
		w.handle(t, wr, wr.Tick(w.now))
	}
	for id, s := range w.submissions {
		if s.reply == nil && s.writer != nil {
			t.Fatalf("request %v has no answer after its deadline", id)
		}
	}
	for w.store.Delayed() > 0 {
		w.store.Deliver(0)
	}
	w.store.Down = false
	w.drain(t)
	last := w.start()
	for n := range keys {
		id := key(n)
		record := w.stored(t, id)
		_, ran := w.executed[id]
		same, other := "a", "b"
		if record.Content == claim.HashContent(message.RunRequest{Payload: other}) {
			same, other = other, same
		}
		s := w.submit(t, last, id, same, clock.Second)
		for range 4 {
			w.complete(t, last, objecttest.FaultNone)
		}
		reused := w.submit(t, last, id, other, clock.Second)
		for range 4 {
			w.complete(t, last, objecttest.FaultNone)
		}
		if reused.reply == nil || reused.reply.Reason != message.ReasonKeyReused {
			t.Fatalf("%v: another request with the key got %+v", id, reused.reply)
		}
		fresh := record.State == "" || record.State == claim.StateNotRun
		switch {
		case fresh && (ran || last.runs[id] == 0):
			t.Fatalf("%v: journal %q, ran %v, resend handed out %v", id, record.State, ran, last.runs[id] > 0)
		case !fresh && s.reply == nil:
			t.Fatalf("%v: resend got no answer though the journal says %q", id, record.State)
		case !fresh && (s.reply.Outcome == message.OutcomeAnswered) != (record.State == claim.StateAnswered):
			t.Fatalf("%v: resend got %q though the journal says %q", id, s.reply.Outcome, record.State)
		}
	}
}

// Guards against a key that runs twice, a "not run" that is false, a run handed
// out before its claim is durable, and a resend that misses the recorded
// outcome, whatever writers exist at the same time and whatever the store does.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTier()
		t.Repeat(map[string]func(*rapid.T){
			"submit":  w.drawSubmit,
			"submit2": w.drawSubmit,
			"settle":  w.settle,
			"settle2": w.settle,
			"settle3": w.settle,
			"run":     w.run,
			"tick":    w.tick,
			"restart": w.restart,
			"land":    w.land,
			"store":   func(*rapid.T) { w.store.Down = !w.store.Down },
		})
		w.finish(t)
	})
}
