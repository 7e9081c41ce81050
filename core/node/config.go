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
	bootRetry     = 200 * clock.Millisecond
)

// boot is the state of the first read of the configuration.
type boot struct {
	reading  bool
	done     bool
	retryAt  clock.Time
	since    int64 // revision up to which the store was listed
	stored   ticket.Number
	version  object.Version // of the checkpoint object
	ticketAt map[ticket.Number]int64
}

// storedCheckpoint is the value of config/checkpoint.
type storedCheckpoint struct {
	Revision int64           `json:"revision"` // of the last ticket in State
	State    json.RawMessage `json:"state"`
}

// tickBoot reads the checkpoint and then what came after it. Peers may be
// quicker, which does no harm.
func (n *Node) tickBoot(now clock.Time) {
	if n.boot.done || n.boot.reading || now.Before(n.boot.retryAt) {
		return
	}
	n.boot.reading = true
	n.read(ticket.CheckpointKey, func(now clock.Time, r object.ReadResult) {
		n.boot.reading = false
		if !r.Known {
			n.boot.retryAt = now.Add(bootRetry)
			return
		}
		n.restore(now, r)
		n.boot.done = true
		n.keeper(now, n.canaries.keeper.Start(now))
		n.emit(ListObjects{Prefixes: []string{ticketsPrefix}, Since: n.boot.since})
		n.emit(ListObjects{Prefixes: []string{holdingsPrefix}})
	})
}

func (n *Node) restore(now clock.Time, r object.ReadResult) {
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
	n.boot.since, n.boot.stored, n.boot.version = c.Revision, state.Number(), r.Version
	if n.log.Restore(state) {
		n.configChanged(now)
	}
}

// objectsWatched takes what the store lists or a watch delivers.
func (n *Node) objectsWatched(now clock.Time, e ObjectsReceived) {
	n.storeReplied(now)
	before := n.log.Number()
	for _, o := range e.Objects {
		switch {
		case strings.HasPrefix(o.Key, ticketsPrefix):
			n.ticketStored(o)
		case strings.HasPrefix(o.Key, holdingsPrefix):
			n.bucketSeen(now, o.Key, o.Version, o.Value)
		}
	}
	if e.Revision > n.boot.since && n.watching {
		n.boot.since = e.Revision
	}
	if n.log.Number() != before {
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
	n.boot.ticketAt[t.Number] = o.Version
	n.applyTicket(t)
}

// applyTicket puts the next ticket in force, and fetches what is missing ahead
// of a later one.
func (n *Node) applyTicket(t ticket.Ticket) {
	err := n.log.Apply(t)
	var gap *ticket.GapError
	switch {
	case errors.As(err, &gap):
		n.catchUp(nil)
	case err != nil:
		n.logf(LevelError, "ticketInvalid", Attr{"ticket", number(uint64(t.Number))}, Attr{"err", err.Error()})
	}
}

// catchUp reads tickets after the number in force until there is none, and then
// calls done with whether the store could be read.
func (n *Node) catchUp(done func(clock.Time, bool)) {
	next := n.log.Number() + 1
	n.read(ticket.Key(next), func(now clock.Time, r object.ReadResult) {
		if r.Known && r.Version != 0 {
			n.ticketStored(message.StoredObject{Key: string(r.Key), Version: int64(r.Version), Value: r.Value})
			if n.log.Number() >= next {
				n.configChanged(now)
				n.catchUp(done)
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
	if !n.watching || !n.log.CheckpointDue(n.boot.stored) {
		return
	}
	state, err := ticket.EncodeCheckpoint(n.log.State())
	if err != nil {
		n.logf(LevelError, "checkpointTooLarge", Attr{"err", err.Error()})
		return
	}
	revision, known := n.boot.ticketAt[n.log.Number()]
	if !known {
		return
	}
	value, err := json.Marshal(storedCheckpoint{Revision: revision, State: state})
	if err != nil {
		return // a map of encoded values always encodes
	}
	written := n.log.Number()
	n.write(ticket.CheckpointKey, n.boot.version, value, func(now clock.Time, r object.WriteResult) {
		n.checkpointWritten(r, written)
	})
}

func (n *Node) checkpointWritten(r object.WriteResult, written ticket.Number) {
	if r.Status == object.Written {
		n.boot.version, n.boot.stored = r.Version, written
		return
	}
	n.read(ticket.CheckpointKey, func(now clock.Time, r object.ReadResult) {
		if r.Known {
			n.restore(now, r)
		}
	})
}

// ticketsRequest answers a peer that is behind.
func (n *Node) ticketsRequest(from topology.InstanceRef, r message.TicketsRequest) {
	m, err := n.log.Answer(r)
	if err != nil {
		n.logf(LevelWarn, "checkpointTooLarge", Attr{"err", err.Error()})
		return
	}
	n.sendRef(from, m)
}

func (n *Node) ticketsReceived(now clock.Time, m message.Tickets) {
	before := n.log.Number()
	if err := n.log.Receive(m); err != nil {
		n.logf(LevelWarn, "ticketInvalid", Attr{"err", err.Error()})
	}
	if n.log.Number() != before {
		n.configChanged(now)
	}
}

// configChanged brings all parts in line with the state in force.
func (n *Node) configChanged(now clock.Time) {
	state := n.log.State()
	n.services = map[topology.ServiceID]topology.Service{}
	n.targetAt = map[string]targetCall{}
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
				n.targetAt[t.Address] = targetCall{service: s.ID, target: t.ID}
			}
		}
	}
	n.holding(n.holder.SetServices(now, all))
	for _, s := range all {
		n.heldChanged(now, s.ID)
	}
	n.reconfigureHeld(now)
	n.spread.liveHash = 0 // the zones of members may have changed
	n.membersChanged(now)
	n.logf(LevelInfo, "configInForce", Attr{"ticket", number(uint64(n.log.Number()))})
	n.announce(now)
}

// workspaceWeight returns the workspace's share under overload, relative to others.
func (n *Node) workspaceWeight(id topology.WorkspaceID) float64 {
	if t, ok := n.log.State().Workspace(id); ok {
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
	n.catchUp(func(now clock.Time, readable bool) {
		if !readable {
			n.answerTicket(e.Call, e.Ticket, &ticket.UnavailableError{Number: e.Ticket.Number})
			return
		}
		n.startFiling(now, e)
	})
}

func (n *Node) startFiling(now clock.Time, e TicketFiled) {
	t := e.Ticket
	next := n.log.Number() + 1
	if t.Number > next {
		n.answerTicket(e.Call, t, &ticket.GapError{InForce: n.log.Number(), Got: t.Number})
		return
	}
	if t.Number == 0 || t.Number == next {
		draft, err := n.log.Draft(t.FilingID, t.Operator, t.At, t.Force, t.Changes)
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
	n.filing(now, f, f.machine.Start(now))
}

// filing carries out commands of a filing.
func (n *Node) filing(now clock.Time, f *filing, commands []ticket.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case ticket.ReadObject:
			n.read(c.Key, func(now clock.Time, r object.ReadResult) {
				n.filing(now, f, f.machine.ReadDone(now, r))
			})
		case ticket.WriteObject:
			n.write(c.Key, c.Expect, c.Value, func(now clock.Time, r object.WriteResult) {
				if r.Status == object.Written {
					n.boot.ticketAt[f.ticket.Number] = int64(r.Version)
				}
				n.filing(now, f, f.machine.WriteDone(now, r))
			})
		case ticket.Finish:
			n.filingDone(now, f, c)
		}
	}
	n.alarms.set(f.machine, func(now clock.Time) { n.filing(now, f, f.machine.Tick(now)) })
}

func (n *Node) filingDone(now clock.Time, f *filing, c ticket.Finish) {
	n.alarms.forget(f.machine)
	if c.Err == nil {
		n.logf(LevelInfo, "ticketAccepted", Attr{"ticket", number(uint64(c.Ticket.Number))}, Attr{"operator", string(c.Ticket.Operator)})
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
func (n *Node) controller(id topology.CollectionID) *admission.Controller {
	c := n.admission[id]
	if c == nil {
		c = admission.New(admission.WithWeights(n.workspaceWeight))
		n.admission[id] = c
	}
	return c
}
