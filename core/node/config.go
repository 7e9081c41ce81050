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
	// configRetry is the time until a failed read of the configuration is
	// repeated, and until a caller that was refused for lack of a configuration
	// may try again.
	configRetry = 200 * clock.Millisecond
)

// configSync is the state of reading the configuration from the store and
// writing its checkpoint.
type configSync struct {
	reading           bool
	done              bool
	retryAt           clock.Time
	listedRevision    int64          // store revision up to which the tickets are known
	checkpointNumber  ticket.Number  // of the last ticket in the stored checkpoint
	checkpointVersion object.Version // of the checkpoint object
	ticketRevision    map[ticket.Number]int64
}

// storedCheckpoint is the value of the object config/checkpoint.
type storedCheckpoint struct {
	Revision int64           `json:"revision"` // store revision of the last ticket that State includes
	State    json.RawMessage `json:"state"`
}

// loadConfig reads the checkpoint from the store and then the tickets after it.
// Peers may send the configuration earlier; the order does not matter.
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

// objectsReceived handles objects that the store lists or a watch delivers.
func (n *Node) objectsReceived(now clock.Time, e ObjectsReceived) {
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

// applyTicket applies the ticket if it is the next one. If earlier tickets are
// missing, it reads them from the store.
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

// readNextTickets reads the tickets after the current number from the store until
// there is none, and then calls done with whether the last read succeeded. done
// may be nil.
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

// writeCheckpoint updates the stored checkpoint when it is too far behind the
// current number. Only the instance that watches the store for its zone writes
// it. The write is conditional on the version, so concurrent writers do no harm.
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
		return // cannot happen: State is valid JSON
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

// ticketsRequest answers a peer whose configuration is older.
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

// configChanged passes the current configuration on to all components.
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
	n.propagation.membersHash = 0 // the state of the members' zones may have changed
	n.membersChanged(now)
	n.logf(LevelInfo, "configInForce", Attr{"ticket", formatUint(uint64(n.configLog.Number()))})
	n.announce(now)
}

// workspaceWeight returns the weight of a workspace: under overload, workspaces
// are admitted in proportion to their weights.
func (n *Node) workspaceWeight(id topology.WorkspaceID) float64 {
	if w, ok := n.configLog.State().Workspace(id); ok {
		return float64(w.Weight)
	}
	return 1
}

// filing is an operator's ticket that is being written to the store.
type filing struct {
	call    CallID
	machine *ticket.Filing
	ticket  ticket.Ticket
}

// ticketFiled files a ticket after this instance has read all earlier tickets.
func (n *Node) ticketFiled(e TicketFiled) {
	n.filings[e.Call] = &filing{call: e.Call, ticket: e.Ticket} // a graceful stop waits until the map is empty
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
	// A number that is already used takes the same path: reading the store shows
	// which ticket has it.
	f := &filing{call: e.Call, machine: ticket.NewFiling(t), ticket: t}
	n.filings[e.Call] = f
	n.executeFiling(now, f, f.machine.Start(now))
}

// executeFiling executes commands of a filing.
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

// admissionController returns the admission controller of a collection and
// creates it if there is none.
func (n *Node) admissionController(id topology.CollectionID) *admission.Controller {
	c := n.admission[id]
	if c == nil {
		c = admission.New(admission.WithWeights(n.workspaceWeight))
		n.admission[id] = c
	}
	return c
}
