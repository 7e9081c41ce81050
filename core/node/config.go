package node

import (
	"encoding/json"
	"errors"
	"strings"

	"knapweedstall/core/admission"
	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

const (
	ticketsPrefix = "tickets/"
	configRetry   = 200 * clock.Millisecond
)

// boot is the state of the first read of the configuration.
type configSync struct {
	reading           bool
	done              bool
	retryAt           clock.Time
	listedRevision    int64 // revision up to which the store was listed
	checkpointNumber  ticket.Number
	checkpointVersion object.Version // of the checkpoint object
	ticketRevision    map[ticket.Number]int64
}

// storedCheckpoint is the value of config/checkpoint.
type storedCheckpoint struct {
	Revision int64           `json:"revision"` // of the last ticket in State
	State    json.RawMessage `json:"state"`
}

// tickBoot reads the checkpoint and then what came after it. Peers may be
// quicker, which does no harm.
func (n *Node) loadConfig(now clock.Time) {
	if n.configSync.done || n.configSync.reading || now.Before(n.configSync.retryAt) {
		return
	}
	n.configSync.reading = true
	n.read(ticket.CheckpointKey, func(now clock.Time, r object.ReadResult) {
		n.configSync.reading = false
		if !r.Known {
			n.configSync.retryAt = now.Add(configRetry)
			return
		}
		n.restoreCheckpoint(now, r)
		n.configSync.done = true
		n.executeCoordinator(now, n.canaries.coordinator.Start(now))
		n.emit(ListObjects{Prefixes: []string{ticketsPrefix}, Since: n.configSync.listedRevision})
		n.emit(ListObjects{Prefixes: []string{holdingsPrefix}})
	})
}

func (n *Node) restoreCheckpoint(now clock.Time, r object.ReadResult) {
	if r.Version == 0 {
		return
	}
	var c storedCheckpoint
	if err := json.Unmarshal(r.Value, &c); err != nil {
		n.logf(LevelError, "checkpointMalformed", Attr{"err", err.Error()})
		return
	}
	state, err := ticket.DecodeCheckpoint(c.State)
	if err != nil {
		n.logf(LevelError, "checkpointMalformed", Attr{"err", err.Error()})
		return
	}
	n.configSync.listedRevision, n.configSync.checkpointNumber, n.configSync.checkpointVersion = c.Revision, state.Number(), r.Version
	if n.configLog.Restore(state) {
		n.configChanged(now)
	}
}

// objectsWatched takes what the store lists or a watch delivers.
func (n *Node) objectsWatched(now clock.Time, e ObjectsReceived) {
	n.storeReplied(now)
	before := n.configLog.Number()
	for _, o := range e.Objects {
		switch {
		case strings.HasPrefix(o.Key, ticketsPrefix):
			n.ticketStored(o)
		case strings.HasPrefix(o.Key, holdingsPrefix):
			n.bucketSeen(now, o.Key, o.Version, o.Value)
		}
	}
	if e.Revision > n.configSync.listedRevision && n.watching {
		n.configSync.listedRevision = e.Revision
	}
	if n.configLog.Number() != before {
		n.configChanged(now)
		n.writeCheckpoint()
	}
}

func (n *Node) ticketStored(o message.StoredObject) {
	t, err := ticket.Decode(o.Value)
	if err != nil {
		n.logf(LevelError, "ticketMalformed", Attr{"key", o.Key}, Attr{"err", err.Error()})
		return
	}
	if string(ticket.Key(t.Number)) != o.Key {
		n.logf(LevelError, "ticketMalformed", Attr{"key", o.Key}, Attr{"err", "the number differs from the key"})
		return
	}
	n.configSync.ticketRevision[t.Number] = o.Version
	n.applyTicket(t)
}

// applyTicket puts the next ticket in force, and fetches what is missing ahead
// of a later one.
func (n *Node) applyTicket(t ticket.Ticket) {
	err := n.configLog.Apply(t)
	var gap *ticket.GapError
	switch {
	case errors.As(err, &gap):
		n.readNextTickets(nil)
	case err != nil:
		n.logf(LevelError, "ticketInvalid", Attr{"ticket", formatUint(uint64(t.Number))}, Attr{"err", err.Error()})
	}
}

// catchUp reads tickets after the number in force until there is none, and then
// calls done with whether the store could be read.
func (n *Node) readNextTickets(done func(clock.Time, bool)) {
	next := n.configLog.Number() + 1
	n.read(ticket.Key(next), func(now clock.Time, r object.ReadResult) {
		if r.Known && r.Version != 0 {
			n.ticketStored(message.StoredObject{Key: string(r.Key), Version: int64(r.Version), Value: r.Value})
			if n.configLog.Number() >= next {
				n.configChanged(now)
				n.readNextTickets(done)
				return
			}
		}
		if done != nil {
			done(now, r.Known)
		}
	})
}

// writeCheckpoint keeps the stored checkpoint near the number in force. Only the
// watcher of a zone writes it; the conditional update settles races.
func (n *Node) writeCheckpoint() {
	if !n.watching || !n.configLog.CheckpointDue(n.configSync.checkpointNumber) {
		return
	}
	state, err := ticket.EncodeCheckpoint(n.configLog.State())
	if err != nil {
		n.logf(LevelError, "checkpointTooLarge", Attr{"err", err.Error()})
		return
	}
	revision, known := n.configSync.ticketRevision[n.configLog.Number()]
	if !known {
		return
	}
	value, err := json.Marshal(storedCheckpoint{Revision: revision, State: state})
	if err != nil {
		return // a map of encoded values always encodes
	}
	written := n.configLog.Number()
	n.write(ticket.CheckpointKey, n.configSync.checkpointVersion, value, func(now clock.Time, r object.WriteResult) {
		n.checkpointWritten(r, written)
	})
}

func (n *Node) checkpointWritten(r object.WriteResult, written ticket.Number) {
	if r.Status == object.Written {
		n.configSync.checkpointVersion, n.configSync.checkpointNumber = r.Version, written
		return
	}
	n.read(ticket.CheckpointKey, func(now clock.Time, r object.ReadResult) {
		if r.Known {
			n.restoreCheckpoint(now, r)
		}
	})
}

// ticketsRequest answers a peer that is behind.
func (n *Node) ticketsRequest(from topology.InstanceRef, r message.TicketsRequest) {
	m, err := n.configLog.Answer(r)
	if err != nil {
		n.logf(LevelWarn, "checkpointTooLarge", Attr{"err", err.Error()})
		return
	}
	n.sendRef(from, m)
}

func (n *Node) ticketsReceived(now clock.Time, m message.Tickets) {
	before := n.configLog.Number()
	if err := n.configLog.Receive(m); err != nil {
		n.logf(LevelWarn, "ticketInvalid", Attr{"err", err.Error()})
	}
	if n.configLog.Number() != before {
		n.configChanged(now)
	}
}

// configChanged brings all parts in line with the state in force.
func (n *Node) configChanged(now clock.Time) {
	state := n.configLog.State()
	n.services = map[topology.ServiceID]topology.Service{}
	n.targetByAddress = map[string]targetCall{}
	var all []topology.Service
	n.zoneOut = map[topology.ZoneID]bool{}
	for _, scope := range state.Scopes() {
		if z, ok := state.Value(scope).(ticket.Zone); ok && z.State == ticket.ZoneOut {
			n.zoneOut[topology.ZoneID(scope.ID)] = true
		}
	}
	for _, c := range state.Collections() {
		for _, s := range c.Services {
			n.services[s.ID] = s
			all = append(all, s)
			for _, t := range s.Targets {
				n.targetByAddress[t.Address] = targetCall{service: s.ID, target: t.ID}
			}
		}
	}
	n.executeHolder(n.holder.SetServices(now, all))
	for _, s := range all {
		n.heldChanged(now, s.ID)
	}
	n.reconfigureHeld(now)
	n.propagation.membersHash = 0 // the zones of members may have changed
	n.membersChanged(now)
	n.logf(LevelInfo, "configInForce", Attr{"ticket", formatUint(uint64(n.configLog.Number()))})
	n.announce(now)
}

// workspaceWeight returns the workspace's share under overload, relative to others.
func (n *Node) workspaceWeight(id topology.WorkspaceID) float64 {
	if t, ok := n.configLog.State().Workspace(id); ok {
		return float64(t.Weight)
	}
	return 1
}

// filing is an operator's ticket on its way into the store.
type filing struct {
	call    CallID
	machine *ticket.Filing
	ticket  ticket.Ticket
}

// ticketFiled files a ticket once this instance has seen all tickets ahead of
// it.
func (n *Node) ticketFiled(e TicketFiled) {
	n.filings[e.Call] = &filing{call: e.Call, ticket: e.Ticket} // a graceful stop waits for it
	n.readNextTickets(func(now clock.Time, readable bool) {
		if !readable {
			n.answerTicket(e.Call, e.Ticket, &ticket.UnavailableError{Number: e.Ticket.Number})
			return
		}
		n.startFiling(now, e)
	})
}

func (n *Node) startFiling(now clock.Time, e TicketFiled) {
	t := e.Ticket
	next := n.configLog.Number() + 1
	if t.Number > next {
		n.answerTicket(e.Call, t, &ticket.GapError{InForce: n.configLog.Number(), Got: t.Number})
		return
	}
	if t.Number == 0 || t.Number == next {
		draft, err := n.configLog.Draft(t.FilingID, t.Operator, t.At, t.Force, t.Changes)
		var already *ticket.AlreadyFiledError
		if errors.As(err, &already) {
			t.Number = already.Number
			n.answerTicket(e.Call, t, nil)
			return
		}
		if err != nil {
			n.answerTicket(e.Call, t, err)
			return
		}
		t = draft
	}
	// A number that is taken already goes the same way: the store tells who
	// has it.
	f := &filing{call: e.Call, machine: ticket.NewFiling(t), ticket: t}
	n.filings[e.Call] = f
	n.executeFiling(now, f, f.machine.Start(now))
}

// filing carries out commands of a filing.
func (n *Node) executeFiling(now clock.Time, f *filing, commands []ticket.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case ticket.ReadObject:
			n.read(c.Key, func(now clock.Time, r object.ReadResult) {
				n.executeFiling(now, f, f.machine.ReadDone(now, r))
			})
		case ticket.WriteObject:
			n.write(c.Key, c.Expect, c.Value, func(now clock.Time, r object.WriteResult) {
				if r.Status == object.Written {
					n.configSync.ticketRevision[f.ticket.Number] = int64(r.Version)
				}
				n.executeFiling(now, f, f.machine.WriteDone(now, r))
			})
		case ticket.Finish:
			n.filingDone(now, f, c)
		}
	}
	n.timers.set(f.machine, func(now clock.Time) { n.executeFiling(now, f, f.machine.Tick(now)) })
}

func (n *Node) filingDone(now clock.Time, f *filing, c ticket.Finish) {
	n.timers.cancel(f.machine)
	if c.Err == nil {
		n.logf(LevelInfo, "ticketAccepted", Attr{"ticket", formatUint(uint64(c.Ticket.Number))}, Attr{"operator", string(c.Ticket.Operator)})
		n.applyTicket(c.Ticket)
		n.configChanged(now)
	}
	n.answerTicket(f.call, c.Ticket, c.Err)
}

func (n *Node) answerTicket(call CallID, t ticket.Ticket, err error) {
	delete(n.filings, call)
	n.emit(AnswerTicket{Call: call, Ticket: t, Err: err})
}

// controller returns the admission control of a collection.
func (n *Node) admissionController(id topology.CollectionID) *admission.Controller {
	c := n.admission[id]
	if c == nil {
		c = admission.New(admission.WithWeights(n.workspaceWeight))
		n.admission[id] = c
	}
	return c
}
