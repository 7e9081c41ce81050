package node

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"knapweedstall/core/claim"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/quarantine"
	"knapweedstall/core/topology"
)

const (
	// claimPartitions is the number of journals; all instances must agree on it
	// for as long as the journals exist.
	claimPartitions = 64
	// maxRunAttempts is how many writers or holders a run request is offered to;
	// the next one is tried only with proof that nothing ran.
	maxRunAttempts = 2
	runRetry       = 200 * clock.Millisecond
)

// runs are the requests that may not be repeated.
type runs struct {
	waiting  map[uint64]*runCall // at the entry, by the request's sequence number
	journals map[uint32]*claim.JournalWriter
	handed   map[uint64]*handedRun // at the writer, by the sub-request's sequence number
}

// runCall is a caller's run request at its entry.
type runCall struct {
	call     CallID
	request  message.RunRequest
	deadline clock.Time
	writer   topology.InstanceRef
	attempts int
}

// NextWake implements sleeper.
func (c *runCall) NextWake() clock.Time { return c.deadline }

// handedRun is a claimed run on its way to a target.
type handedRun struct {
	partition uint32
	run       claim.Run
	sub       message.SubRequest
}

// NextWake implements sleeper.
func (h *handedRun) NextWake() clock.Time { return h.run.Deadline }

func newRuns() runs {
	return runs{waiting: map[uint64]*runCall{}, journals: map[uint32]*claim.JournalWriter{}, handed: map[uint64]*handedRun{}}
}

func (n *Node) runsInProgress() int { return len(n.runs.waiting) + len(n.runs.handed) }

// runArrived takes a run request as its entry.
func (n *Node) runArrived(now clock.Time, e RunArrived) {
	n.stats.Runs++
	refusal, retryAfter := n.admitCaller(now, e.Workspace, e.Collection)
	if refusal == "" {
		var quarantined bool
		fp := quarantine.Fingerprint(e.Workspace, e.Collection, message.KindRun, e.Payload)
		if retryAfter, quarantined = n.quarantined(now, fp); quarantined {
			refusal = RefusedQuarantined
		}
	}
	if refusal != "" {
		n.refuse(e.Call, refusal, retryAfter)
		return
	}
	n.seq++
	c := &runCall{call: e.Call, deadline: e.Deadline, request: message.RunRequest{
		ID:        message.RequestID{Entry: n.self.Ref, Seq: n.seq},
		Workspace: e.Workspace, Collection: e.Collection, Key: message.IdempotencyKey(e.Key), Payload: e.Payload,
	}}
	n.runs.waiting[n.seq] = c
	n.alarms.set(c, func(now clock.Time) { n.endRun(c, AnswerRun{Call: c.call, Outcome: RunUnknown}) })
	n.offerRun(now, c)
}

// offerRun sends the request to the writer of its partition. Offering it to
// another writer again is safe: the journal decides which one runs it.
func (n *Node) offerRun(now clock.Time, c *runCall) {
	writer, ok := n.claimWriter(now, partitionOf(c.request), c.writer)
	if !ok || c.attempts == maxRunAttempts {
		n.endRun(c, AnswerRun{Call: c.call, Outcome: RunUnknown})
		return
	}
	c.writer = writer.Ref
	c.attempts++
	request := c.request
	request.RemainingMS = c.deadline.Sub(now)
	n.send(writer, request)
}

func partitionOf(r message.RunRequest) uint32 {
	return claim.Partition(claim.ID{Workspace: r.Workspace, Key: r.Key}, claimPartitions)
}

// claimWriter names the live member that writes the journal of a partition.
func (n *Node) claimWriter(now clock.Time, partition uint32, avoid topology.InstanceRef) (topology.Member, bool) {
	var candidates []topology.Member
	for _, m := range n.members.Live(now) {
		leaving := m.State != topology.MemberLive || m.Ref == n.self.Ref && n.stopping
		if m.Ref != avoid && !leaving && m.Region == n.self.Region {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return n.self, avoid != n.self.Ref
	}
	salt := "claim/" + strconv.FormatUint(uint64(partition), 10)
	return slices.MinFunc(candidates, func(a, b topology.Member) int {
		return cmp.Compare(topology.Hash64(salt, string(a.Ref.ID)), topology.Hash64(salt, string(b.Ref.ID)))
	}), true
}

func (n *Node) endRun(c *runCall, a AnswerRun) {
	delete(n.runs.waiting, c.request.ID.Seq)
	n.alarms.forget(c)
	n.emit(a)
}

// receiveRun handles the messages of run requests and of canaries.
func (n *Node) receiveRun(now clock.Time, from topology.InstanceRef, b message.Body) {
	switch b := b.(type) {
	case message.RunRequest:
		n.submitRun(now, b)
	case message.RunReply:
		n.runReplied(from, b)
	default:
		n.receiveCanary(now, from, b)
	}
}

func (n *Node) runReplied(from topology.InstanceRef, r message.RunReply) {
	c := n.runs.waiting[r.ID.Seq]
	if c == nil || r.ID != c.request.ID || r.Workspace != c.request.Workspace || from != c.writer {
		n.stats.RepliesDropped++
		return
	}
	a := AnswerRun{Call: c.call, Receipt: string(r.Answer), Recorded: r.Recorded, RetryAfter: r.RetryAfterMS}
	switch r.Outcome {
	case message.OutcomeAnswered:
		a.Outcome = RunAnswered
	case message.OutcomeNotRun:
		a.Outcome = RunNotRun
		if c.attempts > 1 {
			// A writer that was lost may still have the request and run it.
			a.Outcome = RunUnknown
		}
		a.RetryAfter = max(a.RetryAfter, runRetry)
	default:
		a.Outcome = RunUnknown
	}
	switch r.Reason {
	case message.ReasonQuarantined:
		a.Refusal = RefusedQuarantined
	case message.ReasonKeyReused:
		a.Refusal, a.RetryAfter = RefusedKeyReused, 0
	}
	n.endRun(c, a)
}

// submitRun takes a run request as the writer of its partition.
func (n *Node) submitRun(now clock.Time, r message.RunRequest) {
	partition := partitionOf(r)
	j := n.runs.journals[partition]
	if j == nil {
		j = claim.NewJournalWriter(partition, n.self.Ref)
		n.runs.journals[partition] = j
	}
	n.journal(now, partition, j, j.Submit(now, claim.Request{RunRequest: r, Deadline: now.Add(r.RemainingMS), UnixMS: n.wall(now)}))
}

// journal carries out commands of a partition's journal.
func (n *Node) journal(now clock.Time, partition uint32, j *claim.JournalWriter, commands []claim.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case claim.ReadObject:
			n.read(c.Key, func(now clock.Time, r object.ReadResult) { n.journal(now, partition, j, j.ReadDone(now, r)) })
		case claim.WriteObject:
			n.stats.ClaimWrites++
			n.write(c.Key, c.Expect, c.Value, func(now clock.Time, r object.WriteResult) { n.journal(now, partition, j, j.WriteDone(now, r)) })
		case claim.Run:
			n.handOut(now, partition, c)
		case claim.Reply:
			if !n.sendRef(c.ID.Entry, c.RunReply) {
				n.stats.RepliesDropped++
			}
		}
	}
	n.alarms.set(j, func(now clock.Time) { n.journal(now, partition, j, j.Tick(now)) })
}

// handOut sends a claimed run to a service that the key's hash names, so that a
// resend that is allowed to run goes the same way.
func (n *Node) handOut(now clock.Time, partition uint32, run claim.Run) {
	snapshots := n.log.State().Snapshots(run.Collection)
	if len(snapshots) == 0 || len(snapshots[0].Shards) == 0 {
		n.runEnded(now, &handedRun{partition: partition, run: run}, message.OutcomeNotRun, nil, message.ReasonNoTarget)
		return
	}
	services := snapshots[0].Services()
	service := services[topology.Hash64("run", string(run.ID.Workspace), string(run.ID.Key))%uint64(len(services))]
	n.seq++
	h := &handedRun{partition: partition, run: run, sub: message.SubRequest{
		ID:   message.SubID{Request: message.RequestID{Entry: n.self.Ref, Seq: n.seq}, Service: service},
		Kind: message.KindRun, Workspace: run.ID.Workspace, Collection: run.Collection, Snapshot: snapshots[0].ID,
		Shards: snapshots[0].Shards[service][:1], Query: run.Payload, Limit: 1,
		Fingerprint: quarantine.Fingerprint(run.ID.Workspace, run.Collection, message.KindRun, run.Payload),
	}}
	n.runs.handed[n.seq] = h
	n.alarms.set(h, func(now clock.Time) { n.runEnded(now, h, message.OutcomeUnknown, nil, message.ReasonDeadline) })
	n.releaseRun(now, h)
}

func (n *Node) runSettled(now clock.Time, h *handedRun, r message.SubReply) {
	switch r.Status {
	case message.StatusOK:
		n.runEnded(now, h, message.OutcomeAnswered, receiptOf(r), "")
	case message.StatusNotRun, message.StatusSnapshotGone:
		n.runEnded(now, h, message.OutcomeNotRun, nil, r.Reason)
	default:
		n.runEnded(now, h, message.OutcomeUnknown, nil, r.Reason)
	}
}

func receiptOf(r message.SubReply) []byte {
	if len(r.Shards) > 0 && len(r.Shards[0].Hits) > 0 {
		return []byte(r.Shards[0].Hits[0].ID)
	}
	return nil
}

func (n *Node) runEnded(now clock.Time, h *handedRun, o message.Outcome, answer []byte, reason message.Reason) {
	delete(n.runs.handed, h.sub.ID.Request.Seq)
	n.alarms.forget(h)
	delete(n.canaries.asked, h.sub.ID)
	j := n.runs.journals[h.partition]
	n.journal(now, h.partition, j, j.RunDone(now, claim.RunResult{
		ID: h.run.ID, Attempt: h.run.Attempt, Outcome: o, Answer: answer, Reason: reason, RetryAfter: runRetry,
	}))
}

// runsLost handles an instance that can't be reached: requests that wait for it
// as a writer go to another one.
func (n *Node) runsLost(now clock.Time, ref topology.InstanceRef) {
	for _, seq := range slices.Sorted(maps.Keys(n.runs.waiting)) {
		if c := n.runs.waiting[seq]; c != nil && c.writer == ref {
			n.offerRun(now, c)
		}
	}
}
