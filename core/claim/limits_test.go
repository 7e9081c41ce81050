package claim_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/claim"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object/objecttest"
	"knapweedstall/core/topology"
)

// driver completes every store call immediately and collects the other commands.
type driver struct {
	*claim.JournalWriter
	store *objecttest.Store
	seq   uint64
	out   []claim.Command
}

func newDriver(store *objecttest.Store, incarnation topology.Incarnation, opts ...claim.Option) *driver {
	return &driver{JournalWriter: claim.NewJournalWriter(7, topology.InstanceRef{ID: "i", Incarnation: incarnation}, opts...), store: store}
}

func (d *driver) do(now clock.Time, commands []claim.Command) {
	for len(commands) > 0 {
		c := commands[0]
		commands = commands[1:]
		switch c := c.(type) {
		case claim.ReadObject:
			commands = append(commands, d.ReadDone(now, d.store.Read(c.Key, objecttest.FaultNone))...)
		case claim.WriteObject:
			commands = append(commands, d.WriteDone(now, d.store.Write(c.Key, c.Expect, c.Value, objecttest.FaultNone))...)
		default:
			d.out = append(d.out, c)
		}
	}
}

func (d *driver) request(now clock.Time, key string) claim.Request {
	d.seq++
	return claim.Request{
		RunRequest: message.RunRequest{ID: message.RequestID{Seq: d.seq}, Workspace: "acme", Collection: "dockdesk", Key: message.IdempotencyKey(key), Payload: "p"},
		Deadline:   now.Add(clock.Second), UnixMS: 1_700_000_000_000 + int64(now),
	}
}

// submit returns the command that answers the submission or runs it.
func (d *driver) submit(now clock.Time, key string) claim.Command {
	d.out = nil
	d.do(now, d.Submit(now, d.request(now, key)))
	if len(d.out) == 0 {
		return nil
	}
	return d.out[len(d.out)-1]
}

func (d *driver) answer(now clock.Time, run claim.Run, answer string) {
	d.do(now, d.RunDone(now, claim.RunResult{ID: run.ID, Attempt: run.Attempt, Outcome: message.OutcomeAnswered, Answer: []byte(answer)}))
}

// TestRetention guards against claims that are never removed, and against a claim
// that is removed while a resend must still find it.
func TestRetention(t *testing.T) {
	store := objecttest.NewStore()
	d := newDriver(store, 1)
	d.answer(1, d.submit(1, "old").(claim.Run), "a")
	day := clock.Time(24 * clock.Hour)
	if _, ran := newDriver(store, 2).submit(day, "old").(claim.Run); ran {
		t.Error("a key ran again within the retention period")
	}
	d.submit(day+3, "new")
	claims, err := claim.Decode(store.Get(claim.Key(7)).Value)
	if err != nil || len(claims) != 1 || claims[0].Key != "new" {
		t.Errorf("journal after the retention period: %+v, %v", claims, err)
	}
}

// TestFullJournal guards against a journal that exceeds the size of its object, and
// against a refusal without the time after which there is space.
func TestFullJournal(t *testing.T) {
	d := newDriver(objecttest.NewStore(), 1, claim.WithMaxSize(400))
	for n := range 10 {
		run, ok := d.submit(1, fmt.Sprint("k", n)).(claim.Run)
		if !ok {
			reply := d.out[0].(claim.Reply)
			want := message.RunReply{
				ID: reply.ID, Workspace: "acme", Outcome: message.OutcomeNotRun, Reason: message.ReasonJournalFull,
				At: 1_700_000_000_001, RetryAfterMS: 24 * clock.Hour,
			}
			if diff := cmp.Diff(want, reply.RunReply); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
			if n == 0 || !d.Idle() {
				t.Errorf("refused as number %d, idle %v", n, d.Idle())
			}
			return
		}
		d.answer(1, run, "a")
	}
	t.Error("a journal over its size limit accepted new claims")
}

// TestLargeAnswerIsOmitted guards against answers that make the journal too large
// for the store, and against a resend that gets an empty answer without the flag
// that the answer was omitted.
func TestLargeAnswerIsOmitted(t *testing.T) {
	store := objecttest.NewStore()
	d := newDriver(store, 1)
	d.answer(1, d.submit(1, "k").(claim.Run), strings.Repeat("x", 17<<10))
	first := d.out[len(d.out)-1].(claim.Reply)
	if len(first.Answer) != 17<<10 {
		t.Errorf("the waiting caller got %d bytes", len(first.Answer))
	}
	again := newDriver(store, 2).submit(2, "k").(claim.Reply)
	if again.Outcome != message.OutcomeAnswered || !again.AnswerOmitted || len(again.Answer) > 0 {
		t.Errorf("resend got %+v", again)
	}
}

// TestKeyReuse guards against a request that gets the outcome of another one with
// the same key, whether the other one waits, runs, has ended here or is recorded.
func TestKeyReuse(t *testing.T) {
	store := objecttest.NewStore()
	d := newDriver(store, 1)
	other := func(d *driver, now clock.Time) claim.Command {
		r := d.request(now, "k")
		r.Payload = "other"
		d.out = nil
		d.do(now, d.Submit(now, r))
		if len(d.out) == 0 {
			return nil
		}
		return d.out[len(d.out)-1]
	}
	reused := func(when string, c claim.Command) {
		t.Helper()
		got, ok := c.(claim.Reply)
		if !ok || got.Outcome != message.OutcomeNotRun || got.Reason != message.ReasonKeyReused || got.Recorded {
			t.Errorf("%s: another request with the key got %+v", when, c)
		}
	}
	run := d.submit(1, "k").(claim.Run)
	reused("while it runs", other(d, 2))
	d.answer(3, run, "a")
	reused("after it ended", other(d, 4))
	reused("at another writer", other(newDriver(store, 2), 5))
	if again, ok := newDriver(store, 3).submit(6, "k").(claim.Reply); !ok || string(again.Answer) != "a" {
		t.Errorf("a resend got %+v", again)
	}
}

// TestKeyOfNotRunRequest guards against a key that cannot be used again after a
// request with it did not run.
func TestKeyOfNotRunRequest(t *testing.T) {
	store := objecttest.NewStore()
	d := newDriver(store, 1)
	run := d.submit(1, "k").(claim.Run)
	d.do(2, d.RunDone(2, claim.RunResult{ID: run.ID, Attempt: run.Attempt, Outcome: message.OutcomeNotRun}))
	r := d.request(3, "k")
	r.Payload = "other"
	d.out = nil
	d.do(3, d.Submit(3, r))
	if got, ok := d.out[len(d.out)-1].(claim.Run); !ok || got.Payload != "other" {
		t.Errorf("another request with the key got %+v", d.out)
	}
}

// TestStoreOutageIsRefusedImmediately guards against callers that wait while the
// store is unavailable.
func TestStoreOutageIsRefusedImmediately(t *testing.T) {
	store := objecttest.NewStore()
	store.Down = true
	d := newDriver(store, 1)
	for _, now := range []clock.Time{1, 100} {
		reply, ok := d.submit(now, "k").(claim.Reply)
		if !ok || reply.Outcome != message.OutcomeNotRun || reply.Reason != message.ReasonStoreUnavailable || reply.RetryAfterMS <= 0 {
			t.Errorf("at %d: got %+v, want an immediate refusal with a time to retry after", now, reply)
		}
	}
	store.Down = false
	if _, ok := d.submit(1000, "k").(claim.Run); !ok {
		t.Errorf("after the outage: got %+v, want a run", d.out)
	}
}

// TestUnreadableJournal guards against a journal that cannot be decoded and is
// treated as empty, which would run its keys again.
func TestUnreadableJournal(t *testing.T) {
	store := objecttest.NewStore()
	store.Write(claim.Key(7), 0, []byte("x"), objecttest.FaultNone)
	reply, ok := newDriver(store, 1).submit(1, "k").(claim.Reply)
	if !ok || reply.Outcome != message.OutcomeNotRun || string(store.Get(claim.Key(7)).Value) != "x" {
		t.Errorf("got %+v, journal %q", reply, store.Get(claim.Key(7)).Value)
	}
}

// TestWaitingClaimsShareAWrite guards against one write for each claim, which would
// exceed the write rate of the store: claims that wait during a write share the
// next one.
func TestWaitingClaimsShareAWrite(t *testing.T) {
	store := objecttest.NewStore()
	d := newDriver(store, 1)
	first := d.Submit(1, d.request(1, "k0"))
	for n := range 20 {
		if more := d.Submit(1, d.request(1, fmt.Sprint("k", n))); len(more) > 0 {
			t.Fatalf("store call %v while a read is outstanding", more)
		}
	}
	d.do(1, first)
	if len(d.out) != 20 || store.Get(claim.Key(7)).Version != 1 {
		t.Errorf("%d commands after version %d, want 20 runs after 1 write", len(d.out), store.Get(claim.Key(7)).Version)
	}
}

// BenchmarkClaim claims batches of requests on a journal with answered claims and
// records their outcomes.
func BenchmarkClaim(b *testing.B) {
	for _, c := range []struct{ journal, size int }{{1000, 1}, {1000, 16}, {1000, 128}, {100, 16}, {2000, 16}} {
		b.Run(fmt.Sprintf("journal=%d/batch=%d", c.journal, c.size), func(b *testing.B) {
			size := c.size
			store := objecttest.NewStore()
			d := newDriver(store, 1<<60)
			const future = clock.Time(1000 * 365 * 24 * clock.Hour) // so that these claims do not expire
			for n := range c.journal {
				d.answer(future, d.submit(future, fmt.Sprintf("018f3a52-7c1e-7000-8000-%012d", n)).(claim.Run), "ok")
			}
			journal := float64(len(store.Get(claim.Key(7)).Value))
			now := clock.Time(1)
			d = newDriver(store, 1<<60+1)
			for b.Loop() {
				now += clock.Time(25 * clock.Hour) // the claims of earlier batches expire
				d.seq = 0
				d.out = nil
				var commands []claim.Command
				for n := range size {
					commands = append(commands, d.Submit(now, d.request(now, fmt.Sprintf("key-%d-%d", now, n)))...)
				}
				d.do(now, commands)
				commands = nil
				for _, c := range d.out {
					if run, ok := c.(claim.Run); ok {
						r := claim.RunResult{ID: run.ID, Attempt: run.Attempt, Outcome: message.OutcomeAnswered, Answer: []byte("ok")}
						commands = append(commands, d.RunDone(now, r)...)
					}
				}
				d.do(now, commands)
				if !d.Idle() {
					b.Fatal("outcomes are not recorded")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*size), "us/claim")
			b.ReportMetric(journal/float64(c.journal), "journal-B/claim")
		})
	}
}
