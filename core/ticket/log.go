package ticket

import (
	"encoding/json"

	"knapweedstall/core/message"
)

// Limits of the tickets that a Log retains beside its state, to send them to peers
// that lag slightly behind. Older tickets are read from the store.
const (
	maxRetainedTickets = 4 * CheckpointInterval
	maxRetainedBytes   = 8 << 20
	// maxReplyBytes limits one message.Tickets; a single larger ticket is sent
	// alone.
	maxReplyBytes = 256 << 10
)

// Log holds the most recently applied tickets and the state in force, which is the
// state after the last applied ticket. The number of the state never decreases.
type Log struct {
	state         *State
	retained      []retainedTicket // consecutive; the last one has the state's number
	retainedBytes int              // encoded size of retained
}

// retainedTicket is an applied ticket with its encoding and its audit records.
type retainedTicket struct {
	ticket  Ticket
	encoded []byte
	records []AuditRecord
}

// NewLog returns a log without tickets.
func NewLog() *Log { return &Log{state: NewState()} }

// State returns the state in force.
func (l *Log) State() *State { return l.state }

// Number returns the number of the last applied ticket.
func (l *Log) Number() Number { return l.state.number }

// Apply applies the next ticket. A ticket that was already applied is ignored. It
// fails with *GapError when tickets are missing in between, and with *FaultError or
// *FaultsError when the ticket is invalid; then nothing changes. Since a ticket is
// checked against the preceding state before it is filed, an invalid one was filed
// by a different version of the program or written by another one.
func (l *Log) Apply(t Ticket) error {
	switch {
	case t.Number <= l.state.number:
		return nil
	case t.Number != l.state.number+1:
		return &GapError{InForce: l.state.number, Got: t.Number}
	}
	if err := joinFaults(Check(l.state, t)); err != nil {
		return err
	}
	encoded, err := json.Marshal(t)
	if err != nil {
		return &FaultError{Code: FaultSyntax, Detail: err.Error()}
	}
	l.retain(retainedTicket{ticket: t, encoded: encoded, records: auditRecords(l.state, t)})
	l.state = l.state.apply(t)
	return nil
}

// retain appends a ticket and removes the oldest ones beyond the limits.
func (l *Log) retain(rt retainedTicket) {
	l.retained = append(l.retained, rt)
	l.retainedBytes += len(rt.encoded)
	for len(l.retained) > maxRetainedTickets || l.retainedBytes > maxRetainedBytes && len(l.retained) > 1 {
		l.retainedBytes -= len(l.retained[0].encoded)
		l.retained[0] = retainedTicket{}
		l.retained = l.retained[1:]
	}
}

// Restore replaces the state with that of a checkpoint if the checkpoint is newer,
// and reports whether it was.
func (l *Log) Restore(s *State) bool {
	if s.number <= l.state.number {
		return false
	}
	l.state = s
	l.retained = nil
	l.retainedBytes = 0
	return true
}

// Draft returns the ticket that follows the state in force, ready to be filed.
// It fails with *FaultError or *FaultsError when the ticket is invalid, and with
// *AlreadyFiledError when a retained ticket has the filing id.
func (l *Log) Draft(id FilingID, operator Operator, at int64, force bool, changes []Change) (Ticket, error) {
	for _, rt := range l.retained {
		if rt.ticket.FilingID == id {
			return Ticket{}, &AlreadyFiledError{FilingID: id, Number: rt.ticket.Number}
		}
	}
	t := Ticket{Number: l.state.number + 1, FilingID: id, Operator: operator, At: at, Force: force, Changes: changes}
	if err := joinFaults(Check(l.state, t)); err != nil {
		return Ticket{}, err
	}
	return t, nil
}

// CheckpointDue reports whether a checkpoint should be written. stored is the number
// of the stored checkpoint, or 0 when there is none.
func (l *Log) CheckpointDue(stored Number) bool {
	return l.state.number >= stored+CheckpointInterval
}

// Answer returns the tickets or the checkpoint that a lagging peer needs next. The
// peer may ask again for the rest. It fails with *FaultError when a checkpoint is
// needed and too large.
func (l *Log) Answer(r message.TicketsRequest) (message.Tickets, error) {
	var m message.Tickets
	if r.After >= l.state.number {
		return m, nil
	}
	before := l.state.number - Number(len(l.retained)) // number of the last ticket before the retained ones
	if r.After < before {
		data, err := EncodeCheckpoint(l.state)
		m.Checkpoint = data
		return m, err
	}
	size := 0
	for _, rt := range l.retained[r.After-before:] {
		size += len(rt.encoded)
		if size > maxReplyBytes && len(m.Tickets) > 0 {
			break
		}
		m.Tickets = append(m.Tickets, rt.encoded)
	}
	return m, nil
}

// Receive applies the answer of a peer. It fails like Apply, DecodeCheckpoint and
// Decode; the tickets before the faulty one stay applied.
func (l *Log) Receive(m message.Tickets) error {
	if len(m.Checkpoint) > 0 {
		s, err := DecodeCheckpoint(m.Checkpoint)
		if err != nil {
			return err
		}
		l.Restore(s)
	}
	for _, data := range m.Tickets {
		t, err := Decode(data)
		if err != nil {
			return err
		}
		if err := l.Apply(t); err != nil {
			return err
		}
	}
	return nil
}

// AuditRecord is one entry of the audit trail: the change of one scope by a ticket.
type AuditRecord struct {
	Number   Number
	FilingID FilingID
	Operator Operator
	At       int64 // Unix ms
	Scope    Scope
	Before   Value // nil when the scope was not set
	After    Value // nil when the scope was removed
}

// AuditRecords returns the records of the retained tickets, oldest first.
func (l *Log) AuditRecords() []AuditRecord {
	var out []AuditRecord
	for _, rt := range l.retained {
		out = append(out, rt.records...)
	}
	return out
}

// AuditTrail applies tickets to the state base and returns their records. With
// NewState as base and all tickets of the store it returns the complete audit
// trail. It fails like Log.Apply.
func AuditTrail(base *State, tickets []Ticket) ([]AuditRecord, error) {
	var out []AuditRecord
	for _, t := range tickets {
		l := &Log{state: base}
		if err := l.Apply(t); err != nil {
			return out, err
		}
		out = append(out, l.AuditRecords()...)
		base = l.state
	}
	return out, nil
}

func auditRecords(before *State, t Ticket) []AuditRecord {
	out := make([]AuditRecord, 0, len(t.Changes))
	for _, c := range t.Changes {
		out = append(out, AuditRecord{
			Number: t.Number, FilingID: t.FilingID, Operator: t.Operator, At: t.At,
			Scope: c.Scope, Before: before.values[c.Scope], After: c.Value,
		})
	}
	return out
}
