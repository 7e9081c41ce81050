package node

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// Node is the decision logic of one instance.
type Node struct {
	self    topology.Member
	members map[topology.InstanceID]topology.Member
	config  uint64
	scopes  map[string]json.RawMessage
	seq     uint64
	calls   uint64
	queries map[uint64]*search
	holding map[TargetCallID][]held
}

type held struct {
	sub  message.SubRequest
	from topology.InstanceRef
}

type search struct {
	call    CallID
	snap    topology.Snapshot
	tenant  topology.TenantID
	limit   int
	waiting map[topology.ServiceID]bool
	answer  SearchAnswer
	ends    clock.Time
}

// New returns a Node for the instance self.
func New(self topology.Member) *Node {
	return &Node{
		self:    self,
		members: map[topology.InstanceID]topology.Member{self.Ref.ID: self},
		scopes:  map[string]json.RawMessage{},
		queries: map[uint64]*search{},
		holding: map[TargetCallID][]held{},
	}
}

// Config returns the number of the ticket in force.
func (n *Node) Config() uint64 { return n.config }

// Handle applies one event that happened at now.
func (n *Node) Handle(now clock.Time, e Event) []Command {
	switch e := e.(type) {
	case SearchArrived:
		return n.startSearch(now, e)
	case PeerReceived:
		var out []Command
		for _, b := range e.Bodies {
			out = append(out, n.receive(now, e.From, b)...)
		}
		return out
	case PeerConnected:
		n.members[e.Member.Ref.ID] = e.Member
	case TargetAnswered:
		return n.targetAnswered(now, e)
	case TargetFailed:
		return n.targetFailed(now, e)
	case ObjectsRead:
		n.applyObjects(e.Objects)
	case MembersListed:
		for _, m := range e.Members {
			n.members[m.Ref.ID] = m
		}
	case Tick:
		return n.tick(now)
	}
	return nil
}

type ticketValue struct {
	Number  uint64 `json:"number"`
	Changes []struct {
		Scope string          `json:"scope"`
		Value json.RawMessage `json:"value"`
	} `json:"changes"`
}

func (n *Node) applyObjects(objects []Object) {
	for _, o := range objects {
		var t ticketValue
		if !strings.HasPrefix(o.Key, "tickets/") || json.Unmarshal(o.Value, &t) != nil || t.Number != n.config+1 {
			continue
		}
		n.config = t.Number
		for _, c := range t.Changes {
			n.scopes[c.Scope] = c.Value
		}
	}
}

func (n *Node) collection(id topology.CollectionID) (topology.Collection, topology.Snapshot, bool) {
	var c topology.Collection
	var snaps []topology.Snapshot
	okC := json.Unmarshal(n.scopes["collection/"+string(id)], &c) == nil
	okS := json.Unmarshal(n.scopes["snapshot/"+string(id)], &snaps) == nil
	if !okC || !okS || len(snaps) == 0 {
		return c, topology.Snapshot{}, false
	}
	return c, snaps[0], true
}

// holder picks the instance that serves the service by rendezvous hashing.
func (n *Node) holder(service topology.ServiceID) topology.Member {
	best := n.self
	var bestHash uint64
	for _, m := range n.members {
		if h := topology.Hash64(string(service), string(m.Ref.ID)); h >= bestHash {
			best, bestHash = m, h
		}
	}
	return best
}

func (n *Node) startSearch(now clock.Time, e SearchArrived) []Command {
	_, snap, ok := n.collection(e.Collection)
	if !ok {
		return []Command{AnswerSearch{Call: e.Call, Answer: SearchAnswer{Config: n.config}}}
	}
	n.seq++
	s := &search{call: e.Call, snap: snap, tenant: e.Tenant, limit: e.Limit, waiting: map[topology.ServiceID]bool{}, ends: e.Deadline}
	s.answer = SearchAnswer{Snapshot: snap.ID, Config: n.config, Total: snap.ShardCount()}
	n.queries[n.seq] = s
	var out []Command
	for _, service := range snap.Services() {
		s.waiting[service] = true
		sub := message.SubRequest{
			ID:   message.SubID{Request: message.RequestID{Entry: n.self.Ref, Seq: n.seq}, Service: service},
			Kind: message.KindSearch, Tenant: e.Tenant, Collection: e.Collection, Snapshot: snap.ID,
			Shards: snap.Shards[service], Query: e.Query, Limit: e.Limit, RemainingMS: e.Deadline.Sub(now),
		}
		out = append(out, n.send(now, n.holder(service), sub)...)
	}
	return out
}

// send delivers a message, without a connection when it is for this instance.
func (n *Node) send(now clock.Time, to topology.Member, b message.Body) []Command {
	if to.Ref == n.self.Ref {
		return n.receive(now, n.self.Ref, b)
	}
	return []Command{SendPeer{To: to, Body: b}}
}

func (n *Node) receive(now clock.Time, from topology.InstanceRef, b message.Body) []Command {
	switch b := b.(type) {
	case message.SubRequest:
		return n.hold(now, from, b)
	case message.SubReply:
		return n.merge(b)
	}
	return nil
}

func (n *Node) hold(now clock.Time, from topology.InstanceRef, sub message.SubRequest) []Command {
	c, _, ok := n.collection(sub.Collection)
	i := slices.IndexFunc(c.Services, func(s topology.Service) bool { return s.ID == sub.ID.Service })
	if !ok || i < 0 {
		return n.send(now, n.members[from.ID], message.SubReply{ID: sub.ID, Tenant: sub.Tenant, Snapshot: sub.Snapshot, Status: message.StatusNotRun, Reason: message.ReasonNoTarget})
	}
	n.calls++
	id := TargetCallID(n.calls)
	n.holding[id] = []held{{sub, from}}
	targets := c.Services[i].Targets
	t := targets[int(n.calls)%len(targets)]
	return []Command{CallTarget{Call: id, Address: t.Address, Snapshot: sub.Snapshot, Items: []message.SubRequest{sub}, Deadline: now.Add(sub.RemainingMS)}}
}

func (n *Node) targetAnswered(now clock.Time, e TargetAnswered) []Command {
	waiting := n.holding[e.Call]
	delete(n.holding, e.Call)
	var out []Command
	for i, h := range waiting {
		if i >= len(e.Items) {
			break
		}
		a := e.Items[i]
		reply := message.SubReply{ID: h.sub.ID, Tenant: a.Tenant, Snapshot: a.Snapshot, Status: a.Status, Shards: a.Shards}
		out = append(out, n.send(now, n.members[h.from.ID], reply)...)
	}
	return out
}

func (n *Node) targetFailed(now clock.Time, e TargetFailed) []Command {
	waiting := n.holding[e.Call]
	delete(n.holding, e.Call)
	var out []Command
	for _, h := range waiting {
		reply := message.SubReply{ID: h.sub.ID, Tenant: h.sub.Tenant, Snapshot: h.sub.Snapshot, Status: message.StatusFailed, Reason: message.ReasonCrashed}
		out = append(out, n.send(now, n.members[h.from.ID], reply)...)
	}
	return out
}

func (n *Node) merge(r message.SubReply) []Command {
	s := n.queries[r.ID.Request.Seq]
	if s == nil || r.ID.Request.Entry != n.self.Ref || !s.waiting[r.ID.Service] {
		return nil
	}
	if r.Tenant != s.tenant || r.Snapshot != s.snap.ID {
		return nil
	}
	delete(s.waiting, r.ID.Service)
	if r.Status == message.StatusOK {
		s.answer.Answered += len(r.Shards)
		for _, sh := range r.Shards {
			s.answer.Hits = append(s.answer.Hits, sh.Hits...)
		}
	} else {
		s.miss(r.ID.Service, r.Reason)
	}
	if len(s.waiting) > 0 {
		return nil
	}
	return n.finish(r.ID.Request.Seq, s)
}

func (s *search) miss(service topology.ServiceID, reason message.Reason) {
	if s.answer.Missing == nil {
		s.answer.Missing = map[topology.ShardID]message.Reason{}
	}
	for _, sh := range s.snap.Shards[service] {
		s.answer.Missing[sh] = reason
	}
}

func (n *Node) finish(seq uint64, s *search) []Command {
	delete(n.queries, seq)
	slices.SortFunc(s.answer.Hits, func(a, b message.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	s.answer.Hits = s.answer.Hits[:min(len(s.answer.Hits), s.limit)]
	return []Command{AnswerSearch{Call: s.call, Answer: s.answer}}
}

func (n *Node) tick(now clock.Time) []Command {
	var late []uint64
	for seq, s := range n.queries {
		if !now.Before(s.ends) {
			late = append(late, seq)
		}
	}
	slices.Sort(late)
	var out []Command
	for _, seq := range late {
		s := n.queries[seq]
		for service := range s.waiting {
			s.miss(service, message.ReasonDeadline)
		}
		out = append(out, n.finish(seq, s)...)
	}
	return out
}
