package ticket

import (
	"encoding/json"

	"knapweedstall/core/message"
)

// Limits of what a Log remembers beyond its state, so that it can serve peers
// that are a little behind. Older tickets are read from the store.
const (
	keptTickets = 4 * CheckpointInterval
	keptBytes   = 8 << 20
	// replyBytes bounds one Tickets message; a single larger ticket is sent alone.
	replyBytes = 256 << 10
)

// Log holds the applied tickets and the state in force. Its number never
// decreases.
type Log struct {
	state *State
	kept  []kept // consecutive, the last one is the state's number
	bytes int    // encoded size of kept
}

type kept struct {
	ticket  Ticket
	encoded []byte
	records []AuditRecord
}

// NewLog returns a log in which no ticket was applied.
func NewLog() *Log { return &Log{state: NewState()} }

// State returns the state in force.
func (l *Log) State() *State { return l.state }

// Number returns the number in force.
func (l *Log) Number() Number { return l.state.number }

// Apply applies the next ticket. A number that is already in force is ignored.
// It fails with *GapError when tickets are missing in between, and with
// *FaultError or *FaultsError when the ticket is invalid; then nothing changes. Since filers
// check a ticket against the state ahead of it, an invalid one comes from a
// different version or from outside, and the log stays where it is.
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
	l.keep(kept{ticket: t, encoded: encoded, records: records(l.state, t)})
	l.state = l.state.with(t)
	return nil
}

func (l *Log) keep(k kept) {
	l.kept = append(l.kept, k)
	l.bytes += len(k.encoded)
	for len(l.kept) > keptTickets || l.bytes > keptBytes && len(l.kept) > 1 {
		l.bytes -= len(l.kept[0].encoded)
		l.kept[0] = kept{}
		l.kept = l.kept[1:]
	}
}

// Restore starts from a checkpoint if it is ahead of the state in force, and
// reports whether it was.
func (l *Log) Restore(s *State) bool {
	if s.number <= l.state.number {
		return false
	}
	l.state = s
	l.kept = nil
	l.bytes = 0
	return true
}

// Draft returns the ticket that follows the state in force, ready to be filed.
// It fails with *FaultError, *FaultsError, or *AlreadyFiledError when the filing id is
// among the tickets that the log remembers.
func (l *Log) Draft(id FilingID, operator Operator, at int64, force bool, changes []Change) (Ticket, error) {
	for _, k := range l.kept {
		if k.ticket.FilingID == id {
			return Ticket{}, &AlreadyFiledError{FilingID: id, Number: k.ticket.Number}
		}
	}
	t := Ticket{Number: l.state.number + 1, FilingID: id, Operator: operator, At: at, Force: force, Changes: changes}
	if err := joinFaults(Check(l.state, t)); err != nil {
		return Ticket{}, err
	}
	return t, nil
}

// CheckpointDue reports whether a checkpoint should be written when the stored
// one, or none (0), has the given number.
func (l *Log) CheckpointDue(stored Number) bool {
	return l.state.number >= stored+CheckpointInterval
}

// Answer returns what a peer that is behind needs next. It may ask again for
// the rest. It fails with *FaultError when a checkpoint is needed and too large.
func (l *Log) Answer(r message.TicketsRequest) (message.Tickets, error) {
	var m message.Tickets
	if r.After >= l.state.number {
		return m, nil
	}
	first := l.state.number - Number(len(l.kept)) // newest number that kept does not contain
	if r.After < first {
		data, err := EncodeCheckpoint(l.state)
		m.Checkpoint = data
		return m, err
	}
	size := 0
	for _, k := range l.kept[r.After-first:] {
		size += len(k.encoded)
		if size > replyBytes && len(m.Tickets) > 0 {
			break
		}
		m.Tickets = append(m.Tickets, k.encoded)
	}
	return m, nil
}

// Receive applies what a peer answered. It fails like Apply, DecodeCheckpoint
// and Decode; what came before the fault stays applied.
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

// Record is one line of the audit trail.
type AuditRecord struct {
	Number   Number
	FilingID FilingID
	Operator Operator
	At       int64 // Unix ms
	Scope    Scope
	Before   Value // nil when the scope was not set
	After    Value // nil when the scope was removed
}

// Audit returns the records of the tickets that the log remembers, oldest
// first.
func (l *Log) AuditRecords() []AuditRecord {
	var out []AuditRecord
	for _, k := range l.kept {
		out = append(out, k.records...)
	}
	return out
}

// Trail folds tickets from the state base and returns their records. With base
// NewState and all tickets of the store it is the whole audit trail. It fails
// like Log.Apply.
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

func records(before *State, t Ticket) []AuditRecord {
	out := make([]AuditRecord, 0, len(t.Changes))
	for _, c := range t.Changes {
		out = append(out, AuditRecord{
			Number: t.Number, FilingID: t.FilingID, Operator: t.Operator, At: t.At,
			Scope: c.Scope, Before: before.values[c.Scope], After: c.Value,
		})
	}
	return out
}
