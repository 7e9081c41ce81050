package ticket

import (
	"encoding/json"

	"knapweedstall/core/clock"
	"knapweedstall/core/object"
)

// Command is an instruction from a Filing to its driver, which performs the I/O and
// reports the results back.
type Command interface {
	command()
}

// ReadObject asks for one read; its result goes to ReadDone.
type ReadObject struct{ object.Read }

func (ReadObject) command() {}

// WriteObject asks for one conditional write; its result goes to WriteDone.
type WriteObject struct{ object.Write }

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
	defaultTimeout = 10 * clock.Second
	retryInterval  = 200 * clock.Millisecond
)

// filingPhase is the progress of a Filing.
type filingPhase uint8

const (
	filingIdle   filingPhase = iota
	filingCreate             // a create is outstanding
	filingRead               // a read is outstanding
	filingPaused             // waits for a retry at retryAt
	filingDone
)

// Filing is the state machine that files a ticket: it creates the object tickets/N
// for the ticket's number N and determines whether the ticket was accepted. The
// driver answers each command with exactly one result before it gets the next one.
type Filing struct {
	ticket      Ticket
	timeout     clock.Duration
	deadline    clock.Time
	retryAt     clock.Time
	phase       filingPhase
	unconfirmed bool // a create may have reached the store, and its result is not known
}

// FilingOption configures a Filing.
type FilingOption func(*Filing)

// WithTimeout sets the time after which the filing ends without an outcome; the
// default is 10 s.
func WithTimeout(d clock.Duration) FilingOption {
	return func(f *Filing) { f.timeout = d }
}

// NewFiling returns a Filing of t, which is a ticket that Log.Draft returned.
func NewFiling(t Ticket, opts ...FilingOption) *Filing {
	f := &Filing{ticket: t, timeout: defaultTimeout}
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
	f.deadline = now.Add(f.timeout)
	return f.create()
}

// Resume continues the filing of a process that was restarted. It begins with a
// read because an earlier create of the same ticket may be in the store.
func (f *Filing) Resume(now clock.Time) []Command {
	if f.phase != filingIdle {
		return nil
	}
	f.deadline = now.Add(f.timeout)
	f.unconfirmed = true
	return f.read()
}

// WriteDone handles the result of the create.
func (f *Filing) WriteDone(now clock.Time, r object.WriteResult) []Command {
	if f.phase != filingCreate {
		return nil
	}
	switch r.Status {
	case object.Written:
		return f.finish(nil)
	case object.NotSent:
		return f.scheduleRetry(now)
	case object.Unknown:
		f.unconfirmed = true
	}
	// The conflict may be with an earlier create of this filing whose reply was
	// lost, so a read is needed to determine which filing was accepted.
	return f.read()
}

// ReadDone handles the result of a read.
func (f *Filing) ReadDone(now clock.Time, r object.ReadResult) []Command {
	if f.phase != filingRead {
		return nil
	}
	switch {
	case !r.Known:
		return f.scheduleRetry(now)
	case r.Version == 0:
		if now >= f.deadline {
			return f.finishUnavailable()
		}
		// An earlier create may still arrive. Creating again is safe, since both
		// have the same filing id.
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

// Tick retries at retryAt and ends the filing at its deadline, also while a read or
// write is outstanding; the late result is then ignored.
func (f *Filing) Tick(now clock.Time) []Command {
	switch {
	case f.phase == filingIdle || f.phase == filingDone:
		return nil
	case now >= f.deadline:
		f.unconfirmed = f.unconfirmed || f.phase == filingCreate
		return f.finishUnavailable()
	case f.phase != filingPaused || now < f.retryAt:
		return nil
	case f.unconfirmed:
		return f.read()
	}
	return f.create()
}

// NextWake returns when Tick is next needed, or 0 for never.
func (f *Filing) NextWake() clock.Time {
	switch f.phase {
	case filingIdle, filingDone:
		return 0
	case filingPaused:
		return min(f.retryAt, f.deadline)
	}
	return f.deadline
}

func (f *Filing) create() []Command {
	data, err := json.Marshal(f.ticket)
	if err != nil {
		return f.finish(&FaultError{Code: FaultSyntax, Detail: err.Error()})
	}
	f.phase = filingCreate
	return []Command{WriteObject{object.Write{Key: Key(f.ticket.Number), Value: data}}}
}

func (f *Filing) read() []Command {
	f.phase = filingRead
	return []Command{ReadObject{object.Read{Key: Key(f.ticket.Number)}}}
}

func (f *Filing) scheduleRetry(now clock.Time) []Command {
	if now >= f.deadline {
		return f.finishUnavailable()
	}
	f.phase = filingPaused
	f.retryAt = now.Add(retryInterval)
	return nil
}

func (f *Filing) finishUnavailable() []Command {
	return f.finish(&UnavailableError{Number: f.ticket.Number, Unknown: f.unconfirmed})
}

func (f *Filing) finish(err error) []Command {
	f.phase = filingDone
	return []Command{Finish{Ticket: f.ticket, Err: err}}
}
