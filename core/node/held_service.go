package node

import (
	"maps"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/dispatch"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// heldService is a service of which this instance holds a share or still has
// work in progress.
type heldService struct {
	id         topology.ServiceID
	dispatcher *dispatch.Dispatcher // queues and sends its sub-requests
	calls      map[dispatch.CallID]TargetCallID
	replyTo    map[message.SubID]topology.InstanceRef // the sender of the sub-request: its entry instance, or the coordinator of its fingerprint
}

// targetCall identifies a call in flight. For the lookup by address, call is 0.
type targetCall struct {
	service topology.ServiceID
	call    dispatch.CallID
	target  topology.TargetID
}

// heldChanged creates or removes a held service after a possible change
// of its entry in the holder table, which lists the holders of each service.
func (n *Node) heldChanged(now clock.Time, id topology.ServiceID) {
	conf, configured := n.services[id]
	h := n.held[id]
	switch {
	case configured && h == nil && n.isHolder(id):
		h = &heldService{id: id, calls: map[dispatch.CallID]TargetCallID{}, replyTo: map[message.SubID]topology.InstanceRef{}}
		h.dispatcher = dispatch.New(conf, leaseView{n})
		n.applyTuning(h)
		n.held[id] = h
		n.executeDispatch(h, h.dispatcher.Configure(now, conf, n.targetsInOutZones(conf)))
	case h != nil && !n.isHolder(id) && !n.hasUsableShare(now, id) && h.idle():
		delete(n.held, id)
		n.timers.cancel(h.dispatcher)
	}
}

func (h *heldService) idle() bool {
	l := h.dispatcher.Load()
	return l.Queued == 0 && l.InFlight == 0 && len(h.replyTo) == 0
}

// applyTuning applies the current tuning to the dispatcher of a service.
func (n *Node) applyTuning(h *heldService) {
	tuning := n.configLog.State().Tuning()
	h.dispatcher.Tune(tuning.MaxBatch, tuning.Hedging && n.opts.hedging)
}

// isHolder reports whether this instance is one of the service's holders.
func (n *Node) isHolder(id topology.ServiceID) bool {
	e, ok := n.holder.Holders(id)
	return ok && (e.Holders[0] == n.self.Ref || e.Holders[1] == n.self.Ref)
}

// hasUsableShare reports whether this instance may use a share of the service
// now. A new holder that still waits for the leases of its share's former
// holders to end must refuse work immediately, because the holder of the other
// share can do it.
func (n *Node) hasUsableShare(now clock.Time, id topology.ServiceID) bool {
	return n.usableShares(now, id) != dispatch.Permission{}
}

// targetsInOutZones returns the targets in zones that operators have taken out of
// service.
func (n *Node) targetsInOutZones(s topology.Service) map[topology.TargetID]bool {
	out := map[topology.TargetID]bool{}
	for _, t := range s.Targets {
		if n.zoneOut[t.Zone] {
			out[t.ID] = true
		}
	}
	return out
}

// reconfigureHeld passes a new configuration on to the dispatchers. A service
// that is no longer configured has no targets, so its dispatcher's queue empties.
func (n *Node) reconfigureHeld(now clock.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.held)) {
		h := n.held[id]
		conf, ok := n.services[id]
		if !ok {
			conf = topology.Service{ID: id}
		}
		n.applyTuning(h)
		n.executeDispatch(h, h.dispatcher.Configure(now, conf, n.targetsInOutZones(conf)))
		n.heldChanged(now, id)
	}
}

// removeIdleHeld removes the held services that have no work in progress after
// their shares have moved to other holders.
func (n *Node) removeIdleHeld(now clock.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.held)) {
		n.heldChanged(now, id)
	}
}

// subRequest handles a sub-request as a holder.
func (n *Node) subRequest(now clock.Time, from topology.InstanceRef, sub message.SubRequest) {
	h := n.held[sub.ID.Service]
	if h == nil || !n.hasUsableShare(now, sub.ID.Service) {
		n.sendRef(from, message.SubReply{
			ID: sub.ID, Workspace: sub.Workspace, Snapshot: sub.Snapshot,
			Status: message.StatusNotRun, Reason: message.ReasonNoHolder,
		})
		return
	}
	n.counters.SubRequests++
	h.replyTo[sub.ID] = from
	n.executeDispatch(h, h.dispatcher.Submit(now, sub, now.Add(sub.RemainingMS)))
}

func (n *Node) cancelSub(now clock.Time, id message.SubID) {
	if h := n.held[id.Service]; h != nil {
		n.executeDispatch(h, h.dispatcher.CancelSub(now, id))
	}
}

// targetReport handles a target's state as the other holder received it.
func (n *Node) targetReport(now clock.Time, r message.TargetReport) {
	if h := n.held[r.Service]; h != nil {
		n.executeDispatch(h, h.dispatcher.Reported(now, r))
	}
}

func (n *Node) targetAnswered(now clock.Time, e TargetAnswered) {
	if h, id := n.removeTargetCall(e.Call); h != nil {
		n.executeDispatch(h, h.dispatcher.Answered(now, id, e.Answer))
	}
}

func (n *Node) targetFailed(now clock.Time, e TargetFailed) {
	if h, id := n.removeTargetCall(e.Call); h != nil {
		n.executeDispatch(h, h.dispatcher.Failed(now, id, e.Failure))
	}
}

// removeTargetCall removes a call to a target and returns its service and the
// number of the call there. It returns nil if nothing waits for the call.
func (n *Node) removeTargetCall(call TargetCallID) (*heldService, dispatch.CallID) {
	c, ok := n.targetCalls[call]
	delete(n.targetCalls, call)
	h := n.held[c.service]
	if !ok || h == nil {
		return nil, 0
	}
	delete(h.calls, c.call)
	return h, c.call
}

// targetConnectionChanged handles the opening of the first connection to a target
// or the closing of the last one. Either may mean that the target has restarted.
func (n *Node) targetConnectionChanged(now clock.Time, address string, open bool) {
	c, ok := n.targetByAddress[address]
	h := n.held[c.service]
	if !ok || h == nil {
		return
	}
	if open {
		n.executeDispatch(h, h.dispatcher.Connected(now, c.target))
		return
	}
	n.executeDispatch(h, h.dispatcher.Disconnected(now, c.target))
}

// executeDispatch executes commands of a service's dispatcher.
func (n *Node) executeDispatch(h *heldService, commands []dispatch.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case dispatch.Send:
			n.callTarget(h, c)
		case dispatch.CancelCall:
			n.cancelTarget(h, c)
		case dispatch.Reply:
			to := h.replyTo[c.ID]
			delete(h.replyTo, c.ID)
			n.sendRef(to, c.SubReply)
		case dispatch.ReportTarget:
			n.reportTarget(h.id, c.TargetReport)
		}
	}
	n.timers.set(h.dispatcher, func(now clock.Time) { n.executeDispatch(h, h.dispatcher.Tick(now)) })
}

func (n *Node) callTarget(h *heldService, c dispatch.Send) {
	n.lastTargetCall++
	n.targetCalls[n.lastTargetCall] = targetCall{service: h.id, call: c.Call, target: c.Target}
	h.calls[c.Call] = n.lastTargetCall
	n.counters.TargetCalls++
	n.counters.TargetItems += uint64(len(c.Items))
	n.emit(CallTarget{
		Call: n.lastTargetCall, Address: n.targetAddress(h.id, c.Target), Snapshot: c.Snapshot,
		Items: c.Items, Once: c.Once, StartBy: c.StartBy, Deadline: c.Deadline,
	})
}

func (n *Node) targetAddress(service topology.ServiceID, id topology.TargetID) string {
	for _, t := range n.services[service].Targets {
		if t.ID == id {
			return t.Address
		}
	}
	return "" // the driver reports a call without an address as not sent
}

func (n *Node) cancelTarget(h *heldService, c dispatch.CancelCall) {
	if id, ok := h.calls[c.Call]; ok {
		n.emit(CancelTarget{Call: id})
	}
}

// reportTarget forwards the state in a target's answer to the other holder.
func (n *Node) reportTarget(id topology.ServiceID, r message.TargetReport) {
	e, ok := n.holder.Holders(id)
	if !ok {
		return
	}
	for _, ref := range e.Holders {
		if ref != n.self.Ref && !ref.IsZero() {
			n.sendRef(ref, r)
		}
	}
}
