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
	// claimPartitions is the number of journals of claims. All instances must use
	// the same number for as long as the journals exist.
	claimPartitions = 64
	// maxRunAttempts is the number of writers or holders that a run request is
	// sent to. Another holder is tried only with proof that nothing ran.
	maxRunAttempts = 2
	// runRetryAfter is the time after which a caller may repeat a request that was
	// not run.
	runRetryAfter = 200 * clock.Millisecond
)

// runState is the state of run requests, which must not be repeated. The entry
// instance sends a run request to the writer of its partition: the instance,
// chosen by hash, that writes the partition's journal. The writer records a claim
// in the journal before it runs the request.
type runState struct {
	pending    map[uint64]*runCall // at the entry instance, by the request's sequence number
	journals   map[uint32]*claim.JournalWriter
	dispatched map[uint64]*claimedRun // at the writer, by the sub-request's sequence number
}

// runCall is a caller's run request in progress. This instance is its entry instance.
type runCall struct {
	call     CallID
	request  message.RunRequest
	deadline clock.Time
	writer   topology.InstanceRef
	attempts int
}

// NextWake implements timerOwner.
func (c *runCall) NextWake() clock.Time { return c.deadline }

// claimedRun is a run request that was claimed in the journal and is being run.
type claimedRun struct {
	partition uint32
	run       claim.Run
	sub       message.SubRequest
}

// NextWake implements timerOwner.
func (c *claimedRun) NextWake() clock.Time { return c.run.Deadline }

func newRunState() runState {
	return runState{pending: map[uint64]*runCall{}, journals: map[uint32]*claim.JournalWriter{}, dispatched: map[uint64]*claimedRun{}}
}

func (n *Node) runsInProgress() int { return len(n.runs.pending) + len(n.runs.dispatched) }

// runArrived handles a caller's run request as its entry instance.
func (n *Node) runArrived(now clock.Time, e RunArrived) {
	n.counters.Runs++
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
	n.lastSeq++
	c := &runCall{call: e.Call, deadline: e.Deadline, request: message.RunRequest{
		ID:        message.RequestID{Entry: n.self.Ref, Seq: n.lastSeq},
		Workspace: e.Workspace, Collection: e.Collection, Key: message.IdempotencyKey(e.Key), Payload: e.Payload,
	}}
	n.runs.pending[n.lastSeq] = c
	n.timers.set(c, func(now clock.Time) { n.answerRun(c, AnswerRun{Call: c.call, Outcome: RunUnknown}) })
	n.sendRunToWriter(now, c)
}

// sendRunToWriter sends the request to the writer of its partition, or to another
// writer if the first one was lost. That is safe because the journal decides
// which of them runs the request.
func (n *Node) sendRunToWriter(now clock.Time, c *runCall) {
	writer, ok := n.claimWriter(now, partitionOf(c.request), c.writer)
	if !ok || c.attempts == maxRunAttempts {
		n.answerRun(c, AnswerRun{Call: c.call, Outcome: RunUnknown})
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

// claimWriter returns the live member, other than avoid, that writes the journal
// of a partition. If there is none, it returns this instance, and reports whether
// that is not avoid.
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

func (n *Node) answerRun(c *runCall, a AnswerRun) {
	delete(n.runs.pending, c.request.ID.Seq)
	n.timers.cancel(c)
	n.emit(a)
}

// receiveRun handles the messages about run requests and about canaries.
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
	c := n.runs.pending[r.ID.Seq]
	if c == nil || r.ID != c.request.ID || r.Workspace != c.request.Workspace || from != c.writer {
		n.counters.RepliesDropped++
		return
	}
	a := AnswerRun{Call: c.call, Receipt: string(r.Answer), Recorded: r.Recorded, RetryAfter: r.RetryAfterMS}
	switch r.Outcome {
	case message.OutcomeAnswered:
		a.Outcome = RunAnswered
	case message.OutcomeNotRun:
		a.Outcome = RunNotRun
		if c.attempts > 1 {
			// An earlier writer that was lost may still run the request.
			a.Outcome = RunUnknown
		}
		a.RetryAfter = max(a.RetryAfter, runRetryAfter)
	default:
		a.Outcome = RunUnknown
	}
	switch r.Reason {
	case message.ReasonQuarantined:
		a.Refusal = RefusedQuarantined
	case message.ReasonKeyReused:
		a.Refusal, a.RetryAfter = RefusedKeyReused, 0
	}
	n.answerRun(c, a)
}

// submitRun handles a run request as the writer of its partition.
func (n *Node) submitRun(now clock.Time, r message.RunRequest) {
	partition := partitionOf(r)
	j := n.runs.journals[partition]
	if j == nil {
		j = claim.NewJournalWriter(partition, n.self.Ref)
		n.runs.journals[partition] = j
	}
	n.executeJournal(now, partition, j, j.Submit(now, claim.Request{RunRequest: r, Deadline: now.Add(r.RemainingMS), UnixMS: n.unixNow(now)}))
}

// executeJournal executes commands of a partition's journal.
func (n *Node) executeJournal(now clock.Time, partition uint32, j *claim.JournalWriter, commands []claim.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case claim.ReadObject:
			n.read(c.Key, func(now clock.Time, r object.ReadResult) { n.executeJournal(now, partition, j, j.ReadDone(now, r)) })
		case claim.WriteObject:
			n.counters.ClaimWrites++
			n.write(c.Key, c.Expect, c.Value, func(now clock.Time, r object.WriteResult) { n.executeJournal(now, partition, j, j.WriteDone(now, r)) })
		case claim.Run:
			n.dispatchRun(now, partition, c)
		case claim.Reply:
			if !n.sendRef(c.ID.Entry, c.RunReply) {
				n.counters.RepliesDropped++
			}
		}
	}
	n.timers.set(j, func(now clock.Time) { n.executeJournal(now, partition, j, j.Tick(now)) })
}

// dispatchRun runs a claimed request at a service that is chosen by a hash of its
// key, so that a resend that is allowed to run goes to the same service.
func (n *Node) dispatchRun(now clock.Time, partition uint32, run claim.Run) {
	snapshots := n.configLog.State().Snapshots(run.Collection)
	if len(snapshots) == 0 || len(snapshots[0].Shards) == 0 {
		n.claimedRunEnded(now, &claimedRun{partition: partition, run: run}, message.OutcomeNotRun, nil, message.ReasonNoTarget)
		return
	}
	services := snapshots[0].Services()
	service := services[topology.Hash64("run", string(run.ID.Workspace), string(run.ID.Key))%uint64(len(services))]
	n.lastSeq++
	c := &claimedRun{partition: partition, run: run, sub: message.SubRequest{
		ID:   message.SubID{Request: message.RequestID{Entry: n.self.Ref, Seq: n.lastSeq}, Service: service},
		Kind: message.KindRun, Workspace: run.ID.Workspace, Collection: run.Collection, Snapshot: snapshots[0].ID,
		Shards: snapshots[0].Shards[service][:1], Query: run.Payload, Limit: 1,
		Fingerprint: quarantine.Fingerprint(run.ID.Workspace, run.Collection, message.KindRun, run.Payload),
	}}
	n.runs.dispatched[n.lastSeq] = c
	n.timers.set(c, func(now clock.Time) { n.claimedRunEnded(now, c, message.OutcomeUnknown, nil, message.ReasonDeadline) })
	n.requestRun(now, c)
}

func (n *Node) claimedRunReplied(now clock.Time, c *claimedRun, r message.SubReply) {
	switch r.Status {
	case message.StatusOK:
		n.claimedRunEnded(now, c, message.OutcomeAnswered, receiptOf(r), "")
	case message.StatusNotRun, message.StatusSnapshotGone:
		n.claimedRunEnded(now, c, message.OutcomeNotRun, nil, r.Reason)
	default:
		n.claimedRunEnded(now, c, message.OutcomeUnknown, nil, r.Reason)
	}
}

func receiptOf(r message.SubReply) []byte {
	if len(r.Shards) > 0 && len(r.Shards[0].Hits) > 0 {
		return []byte(r.Shards[0].Hits[0].ID)
	}
	return nil
}

func (n *Node) claimedRunEnded(now clock.Time, c *claimedRun, o message.Outcome, answer []byte, reason message.Reason) {
	delete(n.runs.dispatched, c.sub.ID.Request.Seq)
	n.timers.cancel(c)
	delete(n.canaries.requested, c.sub.ID)
	j := n.runs.journals[c.partition]
	n.executeJournal(now, c.partition, j, j.RunDone(now, claim.RunResult{
		ID: c.run.ID, Attempt: c.run.Attempt, Outcome: o, Answer: answer, Reason: reason, RetryAfter: runRetryAfter,
	}))
}

// writerLost handles an instance that cannot be reached: requests that wait for it
// as their writer are sent to another one.
func (n *Node) writerLost(now clock.Time, ref topology.InstanceRef) {
	for _, seq := range slices.Sorted(maps.Keys(n.runs.pending)) {
		if c := n.runs.pending[seq]; c != nil && c.writer == ref {
			n.sendRunToWriter(now, c)
		}
	}
}
