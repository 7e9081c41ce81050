package ticket

import (
	"encoding/json"

	"knapweedstall/core/clock"
	"knapweedstall/core/object"
)

// Command is an instruction from a Filing to its driver.
type Command interface {
	command()
}

// ReadObject asks for one read; its result goes to ReadDone.
type ReadObject struct {
	Key object.Key
}

func (ReadObject) command() {}

// WriteObject asks for one conditional write; its result goes to WriteDone.
type WriteObject struct {
	Key    object.Key
	Expect object.Version // 0: create only if absent
	Value  []byte
}

func (WriteObject) command() {}

// Finish ends a filing. Err is nil when the ticket was accepted, and otherwise
// *ConflictError, *UnavailableError, *FaultError or *FaultsError.
type Finish struct {
	Ticket Ticket
	Err    error
}

func (Finish) command() {}

// Defaults of a Filing.
const (
	defaultPatience = 10 * clock.Second
	retryPause      = 200 * clock.Millisecond
)

type filingPhase uint8

const (
	filingIdle filingPhase = iota
	filingCreate
	filingRead
	filingPause // a retry follows at wake
	filingDone
)

// Filing creates tickets/N and finds out whether it was accepted. Each command
// is answered by exactly one result before the next one is given.
type Filing struct {
	ticket   Ticket
	patience clock.Duration
	deadline clock.Time
	wake     clock.Time
	phase    filingPhase
	exposed  bool // a create may have reached the store and was not settled
}

// FilingOption changes a Filing.
type FilingOption func(*Filing)

// WithPatience sets how long the outcome is looked for; the default is 10 s.
func WithTimeout(d clock.Duration) FilingOption {
	return func(f *Filing) { f.patience = d }
}

// NewFiling returns the machine that files t, which comes from Log.Draft.
func NewFiling(t Ticket, opts ...FilingOption) *Filing {
	f := &Filing{ticket: t, patience: defaultPatience}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Start begins the filing.
func (f *Filing) Start(now clock.Time) []Command {
	if f.phase != filingIdle {
		return nil
	}
	f.deadline = now.Add(f.patience)
	return f.create()
}

// Resume begins by reading, for a process that was restarted while it filed the
// same ticket: an earlier create may be in the store.
func (f *Filing) Resume(now clock.Time) []Command {
	if f.phase != filingIdle {
		return nil
	}
	f.deadline = now.Add(f.patience)
	f.exposed = true
	return f.read()
}

// WriteDone takes the result of the create.
func (f *Filing) WriteDone(now clock.Time, r object.WriteResult) []Command {
	if f.phase != filingCreate {
		return nil
	}
	switch r.Status {
	case object.Written:
		return f.finish(nil)
	case object.NotSent:
		return f.pause(now)
	case object.Unknown:
		f.exposed = true
	}
	// A conflict can be with an earlier create of this filing whose reply was
	// lost, so only a read tells who won.
	return f.read()
}

// ReadDone takes the result of a read.
func (f *Filing) ReadDone(now clock.Time, r object.ReadResult) []Command {
	if f.phase != filingRead {
		return nil
	}
	switch {
	case !r.Known:
		return f.pause(now)
	case r.Version == 0:
		if now >= f.deadline {
			return f.giveUp()
		}
		// An earlier create may still arrive. Creating again is safe, since
		// both carry the same filing id.
		return f.create()
	}
	var winner struct {
		FilingID FilingID `json:"filingId"`
		Operator Operator `json:"operator"`
	}
	if json.Unmarshal(r.Value, &winner) == nil && winner.FilingID == f.ticket.FilingID {
		return f.finish(nil)
	}
	return f.finish(&ConflictError{Number: f.ticket.Number, Winner: winner.FilingID, WinnerOperator: winner.Operator})
}

// Tick retries when a pause is over and gives up at the deadline. While a read
// or write is outstanding it also gives up, and the late result is ignored.
func (f *Filing) Tick(now clock.Time) []Command {
	switch {
	case f.phase == filingIdle || f.phase == filingDone:
		return nil
	case now >= f.deadline:
		f.exposed = f.exposed || f.phase == filingCreate
		return f.giveUp()
	case f.phase != filingPause || now < f.wake:
		return nil
	case f.exposed:
		return f.read()
	}
	return f.create()
}

// NextWake returns when Tick is next needed, or 0 for never.
func (f *Filing) NextWake() clock.Time {
	switch f.phase {
	case filingIdle, filingDone:
		return 0
	case filingPause:
		return min(f.wake, f.deadline)
	}
	return f.deadline
}

func (f *Filing) create() []Command {
	data, err := json.Marshal(f.ticket)
	if err != nil {
		return f.finish(&FaultError{Code: FaultSyntax, Detail: err.Error()})
	}
	f.phase = filingCreate
	return []Command{WriteObject{Key: Key(f.ticket.Number), Value: data}}
}

func (f *Filing) read() []Command {
	f.phase = filingRead
	return []Command{ReadObject{Key: Key(f.ticket.Number)}}
}

func (f *Filing) pause(now clock.Time) []Command {
	if now >= f.deadline {
		return f.giveUp()
	}
	f.phase = filingPause
	f.wake = now.Add(retryPause)
	return nil
}

func (f *Filing) giveUp() []Command {
	return f.finish(&UnavailableError{Number: f.ticket.Number, Unknown: f.exposed})
}

func (f *Filing) finish(err error) []Command {
	f.phase = filingDone
	return []Command{Finish{Ticket: f.ticket, Err: err}}
}
