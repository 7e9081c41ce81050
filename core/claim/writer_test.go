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

// numKeys is small so that writers often use the same key.
const numKeys = 2

// submission is one request and the reply to it.
type submission struct {
	id       claim.ID
	payload  string
	writer   *writer
	deadline clock.Time
	reply    *message.RunReply
}

// writer is a JournalWriter with what the test knows about it.
type writer struct {
	*claim.JournalWriter
	ref         topology.InstanceRef
	call        claim.Command       // outstanding store call, or nil
	lastAttempt map[claim.ID]uint32 // attempt of the last Run
}

// sentRun is a Run that was sent to a target. It continues when its writer is
// restarted.
type sentRun struct {
	claim.Run
	writer *writer
}

// simulation is a model of two writers, their store and the targets.
type simulation struct {
	now         clock.Time
	store       *objecttest.Store
	writers     []*writer
	incarnation topology.Incarnation
	sentRuns    []sentRun
	executed    map[claim.ID]string  // answer of the only execution
	executor    map[claim.ID]*writer // the writer that issued the executed Run
	submissions map[message.RequestID]*submission
	seq         uint64
}

func newSimulation() *simulation {
	sim := &simulation{now: 1, store: objecttest.NewStore(), executed: map[claim.ID]string{}, executor: map[claim.ID]*writer{}, submissions: map[message.RequestID]*submission{}}
	for range 2 {
		sim.writers = append(sim.writers, sim.newWriter())
	}
	return sim
}

func (sim *simulation) newWriter() *writer {
	sim.incarnation++
	ref := topology.InstanceRef{ID: "i", Incarnation: sim.incarnation}
	return &writer{JournalWriter: claim.NewJournalWriter(7, ref, claim.WithMaxAnswer(20)), ref: ref, lastAttempt: map[claim.ID]uint32{}}
}

func (sim *simulation) handle(t *rapid.T, wr *writer, commands []claim.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case claim.Run:
			sim.checkRun(t, wr, c)
		case claim.Reply:
			sim.checkReply(t, wr, c.RunReply)
		default:
			if wr.call != nil {
				t.Fatalf("second store call %T while %T is outstanding", c, wr.call)
			}
			wr.call = c
		}
	}
}

// checkRun checks that the store holds the claim under the writer's own incarnation
// and attempt, and that the attempt is run once.
func (sim *simulation) checkRun(t *rapid.T, wr *writer, r claim.Run) {
	if _, done := sim.executed[r.ID]; done {
		t.Fatalf("%v run again after it was executed", r.ID)
	}
	if wr.lastAttempt[r.ID] >= r.Attempt {
		t.Fatalf("%v: attempt %d run after attempt %d", r.ID, r.Attempt, wr.lastAttempt[r.ID])
	}
	wr.lastAttempt[r.ID] = r.Attempt
	c := sim.storedClaim(t, r.ID)
	if c.Claimant != wr.ref || c.Attempt != r.Attempt || c.State != claim.StateClaimed {
		t.Fatalf("%v attempt %d run by %v, but the journal holds %+v", r.ID, r.Attempt, wr.ref, c)
	}
	if !sim.awaited(wr, r) {
		t.Fatalf("%v run by %v after all its submissions were answered", r.ID, wr.ref)
	}
	for _, s := range sim.sentRuns {
		if s.ID == r.ID {
			t.Fatalf("%v run while another run of it is in progress", r.ID)
		}
	}
	sim.sentRuns = append(sim.sentRuns, sentRun{r, wr})
}

// awaited reports whether a submission of the same content to the writer is
// unanswered.
func (sim *simulation) awaited(wr *writer, r claim.Run) bool {
	for _, s := range sim.submissions {
		if s.writer == wr && s.id == r.ID && s.payload == r.Payload && s.reply == nil {
			return true
		}
	}
	return false
}

func (sim *simulation) storedClaim(t *rapid.T, id claim.ID) claim.Claim {
	claims, err := claim.Decode(sim.store.Get(claim.Key(7)).Value)
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

func (sim *simulation) checkReply(t *rapid.T, wr *writer, r message.RunReply) {
	s := sim.submissions[r.ID]
	if s.reply != nil {
		t.Fatalf("%v answered twice", r.ID)
	}
	s.reply = &r
	answer, ran := sim.executed[s.id]
	switch r.Outcome {
	case message.OutcomeAnswered:
		if !ran || !r.AnswerOmitted && string(r.Answer) != answer {
			t.Fatalf("%v answered %q, but the run returned %q", s.id, r.Answer, answer)
		}
		if !strings.HasPrefix(answer, s.payload) {
			t.Fatalf("%v with payload %q got the answer %q of another request", s.id, s.payload, answer)
		}
	case message.OutcomeNotRun:
		// A run that another writer issued is not a run of this submission.
		mine := func(x sentRun) bool { return x.writer == wr && x.ID == s.id && x.Payload == s.payload }
		if slices.ContainsFunc(sim.sentRuns, mine) || sim.executor[s.id] == wr && strings.HasPrefix(answer, s.payload) {
			t.Fatalf("%v reported as not run by %v, which ran it", s.id, wr.ref)
		}
	}
}

func (sim *simulation) submit(t *rapid.T, wr *writer, id claim.ID, payload string, wait clock.Duration) *submission {
	sim.seq++
	r := message.RunRequest{ID: message.RequestID{Seq: sim.seq}, Workspace: id.Workspace, Key: id.Key, Payload: payload}
	s := &submission{id: id, payload: payload, writer: wr, deadline: sim.now.Add(wait)}
	sim.submissions[r.ID] = s
	sim.handle(t, wr, wr.Submit(sim.now, claim.Request{RunRequest: r, Deadline: s.deadline, UnixMS: 1_000_000 + int64(sim.now)}))
	return s
}

func key(n int) claim.ID {
	return claim.ID{Workspace: "acme", Key: message.IdempotencyKey(fmt.Sprintf("k%d", n))}
}

func (sim *simulation) drawSubmit(t *rapid.T) {
	wr := rapid.SampledFrom(sim.writers).Draw(t, "writer")
	id := key(rapid.IntRange(0, numKeys-1).Draw(t, "key"))
	payload := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "payload")
	sim.submit(t, wr, id, payload, clock.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")))
}

// serveCall completes one outstanding store call.
func (sim *simulation) serveCall(t *rapid.T) {
	wr := rapid.SampledFrom(sim.writers).Draw(t, "writer")
	if wr.call == nil {
		t.Skip("no call")
	}
	sim.completeCall(t, wr, rapid.SampledFrom(objecttest.Faults).Draw(t, "fault"))
}

func (sim *simulation) completeCall(t *rapid.T, wr *writer, fault objecttest.Fault) {
	call := wr.call
	wr.call = nil
	switch c := call.(type) {
	case claim.ReadObject:
		sim.handle(t, wr, wr.ReadDone(sim.now, sim.store.Read(c.Key, fault)))
	case claim.WriteObject:
		sim.handle(t, wr, wr.WriteDone(sim.now, sim.store.Write(c.Key, c.Expect, c.Value, fault)))
	}
}

// finishRun ends one run: executed or not, with a result that may be lost. The
// result reaches the writer only if the writer was not restarted.
func (sim *simulation) finishRun(t *rapid.T) {
	if len(sim.sentRuns) == 0 {
		t.Skip("no run")
	}
	i := rapid.IntRange(0, len(sim.sentRuns)-1).Draw(t, "run")
	s := sim.sentRuns[i]
	sim.sentRuns = slices.Delete(sim.sentRuns, i, i+1)
	r := claim.RunResult{ID: s.ID, Attempt: s.Attempt, Outcome: message.OutcomeUnknown}
	if rapid.Bool().Draw(t, "executed") {
		if _, again := sim.executed[s.ID]; again {
			t.Fatalf("%v ran twice", s.ID)
		}
		sim.executor[s.ID] = s.writer
		sim.executed[s.ID] = s.Payload + rapid.SampledFrom([]string{"", " long enough to be omitted"}).Draw(t, "answer")
		if rapid.Bool().Draw(t, "received") {
			r.Outcome = message.OutcomeAnswered
			r.Answer = []byte(sim.executed[s.ID])
		}
	} else if rapid.Bool().Draw(t, "proof") {
		r.Outcome = message.OutcomeNotRun
	}
	if slices.Contains(sim.writers, s.writer) {
		sim.handle(t, s.writer, s.writer.RunDone(sim.now, r))
	}
}

func (sim *simulation) tick(t *rapid.T) {
	sim.now = sim.now.Add(clock.Duration(rapid.IntRange(1, 900).Draw(t, "ms")))
	if rapid.Bool().Draw(t, "late") {
		return // the driver is late; a result may arrive before the next Tick
	}
	for _, wr := range sim.writers {
		sim.handle(t, wr, wr.Tick(sim.now))
	}
}

func (sim *simulation) restart(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "writer")
	for _, s := range sim.submissions {
		if s.writer == sim.writers[i] && s.reply == nil {
			s.writer = nil // the connection of its caller is closed
		}
	}
	sim.writers[i] = sim.newWriter()
}

func (sim *simulation) deliverWrite(t *rapid.T) {
	if sim.store.Delayed() == 0 {
		t.Skip("no delayed write")
	}
	sim.store.Deliver(rapid.IntRange(0, sim.store.Delayed()-1).Draw(t, "write"))
}

// recordOutcomes lets the writers record all outcomes. If a writer leaves a claim
// without an outcome, every resend through another instance is answered unknown.
func (sim *simulation) recordOutcomes(t *rapid.T) {
	for len(sim.sentRuns) > 0 {
		sim.finishRun(t)
	}
	for range 6 {
		sim.now = sim.now.Add(6 * clock.Second) // longer than any backoff of a writer
		for _, wr := range sim.writers {
			sim.handle(t, wr, wr.Tick(sim.now))
			for range 3 {
				sim.completeCall(t, wr, objecttest.FaultNone)
			}
		}
	}
	for n := range numKeys {
		for _, wr := range sim.writers {
			if c := sim.storedClaim(t, key(n)); !wr.Idle() || c.Claimant == wr.ref && c.State == claim.StateClaimed {
				t.Fatalf("%v has no recorded outcome at %v", key(n), wr.ref)
			}
		}
	}
}

// finish lets every deadline pass, then resends every key through a new writer
// while the store is available.
func (sim *simulation) finish(t *rapid.T) {
	for id, s := range sim.submissions {
		if s.reply == nil && s.writer != nil && (s.writer.NextWake() == 0 || s.writer.NextWake() > s.deadline) {
			t.Fatalf("request %v waits until %d, but the next tick is at %d", id, s.deadline, s.writer.NextWake())
		}
	}
	sim.now = sim.now.Add(clock.Minute)
	for _, wr := range sim.writers {
		sim.handle(t, wr, wr.Tick(sim.now))
	}
	for id, s := range sim.submissions {
		if s.reply == nil && s.writer != nil {
			t.Fatalf("request %v has no answer after its deadline", id)
		}
	}
	for sim.store.Delayed() > 0 {
		sim.store.Deliver(0)
	}
	sim.store.Down = false
	sim.recordOutcomes(t)
	last := sim.newWriter()
	for n := range numKeys {
		id := key(n)
		record := sim.storedClaim(t, id)
		_, ran := sim.executed[id]
		same, other := "a", "b"
		if record.Content == claim.HashContent(message.RunRequest{Payload: other}) {
			same, other = other, same
		}
		s := sim.submit(t, last, id, same, clock.Second)
		for range 4 {
			sim.completeCall(t, last, objecttest.FaultNone)
		}
		reused := sim.submit(t, last, id, other, clock.Second)
		for range 4 {
			sim.completeCall(t, last, objecttest.FaultNone)
		}
		if reused.reply == nil || reused.reply.Reason != message.ReasonKeyReused {
			t.Fatalf("%v: another request with the key got %+v", id, reused.reply)
		}
		fresh := record.State == "" || record.State == claim.StateNotRun
		switch {
		case fresh && (ran || last.lastAttempt[id] == 0):
			t.Fatalf("%v: journal %q, ran %v, resend ran %v", id, record.State, ran, last.lastAttempt[id] > 0)
		case !fresh && s.reply == nil:
			t.Fatalf("%v: resend got no answer though the journal says %q", id, record.State)
		case !fresh && (s.reply.Outcome == message.OutcomeAnswered) != (record.State == claim.StateAnswered):
			t.Fatalf("%v: resend got %q though the journal says %q", id, s.reply.Outcome, record.State)
		}
	}
}

// TestAtMostOnce guards against a key that runs twice, a false "not run", a run
// before its claim is durable, and a resend that does not get the recorded outcome,
// with several writers at the same time and faults of the store.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"submit":       sim.drawSubmit,
			"submit2":      sim.drawSubmit,
			"serveCall":    sim.serveCall,
			"serveCall2":   sim.serveCall,
			"serveCall3":   sim.serveCall,
			"run":          sim.finishRun,
			"tick":         sim.tick,
			"restart":      sim.restart,
			"deliverWrite": sim.deliverWrite,
			"store":        func(*rapid.T) { sim.store.Down = !sim.store.Down },
		})
		sim.finish(t)
	})
}
