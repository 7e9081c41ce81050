package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"

	"knapweedstall/core/node"
	"knapweedstall/core/ticket"
	"knapweedstall/io/operator"
)

// retryAfterMS is when operators may retry a request that failed for a while.
const retryAfterMS = 1000

// File implements operator.Backend.
func (in *Instance) File(ctx context.Context, body []byte) (operator.Accepted, error) {
	t, err := ticket.Decode(body)
	if err != nil {
		return operator.Accepted{}, operatorError(err)
	}
	if t.FilingID == "" {
		t.FilingID = ticket.FilingID(fmt.Sprintf("%016x", rand.Uint64()))
	}
	t.At = in.clock.UnixMillis()
	c, ok := in.submit(ctx, func(call node.CallID) node.Event {
		return node.TicketFiled{Call: call, Ticket: t}
	})
	answer, isTicket := c.(node.AnswerTicket)
	if !ok || !isTicket {
		return operator.Accepted{}, &operator.Error{Code: operator.CodeUnknownOutcome, Message: "the operator disconnected before the answer was ready"}
	}
	if answer.Err != nil {
		return operator.Accepted{}, operatorError(answer.Err)
	}
	return operator.Accepted{Number: uint64(answer.Ticket.Number), FilingID: string(answer.Ticket.FilingID)}, nil
}

// operatorError converts an error of package ticket to one of the operator API.
func operatorError(err error) *operator.Error {
	var conflict *ticket.ConflictError
	var gap *ticket.GapError
	var unavailable *ticket.UnavailableError
	if faults := ticket.FaultsOf(err); len(faults) > 0 {
		e := &operator.Error{Code: operator.CodeInvalid, Message: "the ticket is not valid"}
		for _, fault := range faults {
			e.Faults = append(e.Faults, fault.Error())
		}
		return e
	}
	switch {
	case errors.As(err, &conflict):
		return &operator.Error{
			Code: operator.CodeConflict, Message: conflict.Error(),
			Winner: string(conflict.WinnerOperator), WinnerFiling: string(conflict.Winner),
		}
	case errors.As(err, &gap):
		return &operator.Error{Code: operator.CodeBehind, Message: gap.Error(), InForce: uint64(gap.InForce)}
	case errors.As(err, &unavailable) && unavailable.Unknown:
		return &operator.Error{Code: operator.CodeUnknownOutcome, Message: unavailable.Error(), RetryAfterMS: retryAfterMS}
	default:
		return &operator.Error{Code: operator.CodeUnavailable, Message: err.Error(), RetryAfterMS: retryAfterMS}
	}
}

// auditRecord is a ticket.AuditRecord with the JSON keys of the operator API.
type auditRecord struct {
	Number   ticket.Number   `json:"number"`
	FilingID ticket.FilingID `json:"filingId"`
	Operator ticket.Operator `json:"operator"`
	At       int64           `json:"at"` // Unix ms
	Scope    ticket.Scope    `json:"scope"`
	Before   ticket.Value    `json:"before"` // null when the scope was not set
	After    ticket.Value    `json:"after"`  // null when the scope was removed
}

// Audit implements operator.Backend. It returns only tickets that this instance has
// in memory; older ones are in the store.
func (in *Instance) Audit(ctx context.Context, number uint64) (json.RawMessage, error) {
	records, err := in.auditRecords(ctx, func(r ticket.AuditRecord) bool { return r.Number == ticket.Number(number) }, operator.MaxListed)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 {
		return nil, &operator.Error{Code: operator.CodeNotFound, Message: "this instance does not have the ticket in memory; see the object tickets/N in the platform's store"}
	}
	return encode(records)
}

// List implements operator.Backend.
func (in *Instance) List(ctx context.Context, from uint64, limit int) (json.RawMessage, error) {
	records, err := in.auditRecords(ctx, func(r ticket.AuditRecord) bool { return r.Number >= ticket.Number(from) }, limit)
	if err != nil {
		return nil, err
	}
	for i := range records {
		records[i].Before, records[i].After = nil, nil // Audit returns the values
	}
	return encode(records)
}

// auditRecords returns up to limit audit records that wanted accepts.
func (in *Instance) auditRecords(ctx context.Context, wanted func(ticket.AuditRecord) bool, limit int) ([]auditRecord, error) {
	out := []auditRecord{}
	ok := in.runInLoop(ctx, func() {
		for _, r := range in.node.ConfigLog().AuditRecords() {
			if wanted(r) && len(out) < limit {
				out = append(out, auditRecord(r))
			}
		}
	})
	return out, unavailableUnless(ok)
}

// State implements operator.Backend.
func (in *Instance) State(ctx context.Context) (json.RawMessage, error) {
	var state *ticket.State
	if err := unavailableUnless(in.runInLoop(ctx, func() { state = in.node.ConfigLog().State() })); err != nil {
		return nil, err
	}
	data, err := ticket.EncodeCheckpoint(state)
	if err != nil {
		return nil, operatorError(err)
	}
	return data, nil
}

// Status implements operator.Backend.
func (in *Instance) Status(ctx context.Context) (json.RawMessage, error) {
	var status node.Status
	if err := unavailableUnless(in.runInLoop(ctx, func() { status = in.node.Status(in.clock.Now()) })); err != nil {
		return nil, err
	}
	return encode(status)
}

// unavailableUnless returns nil when ok, and otherwise the error of an instance that
// is busy or stopping. Its result type is error because a nil *operator.Error would
// become a non-nil error.
func unavailableUnless(ok bool) error {
	if ok {
		return nil
	}
	return &operator.Error{Code: operator.CodeUnavailable, Message: "the instance is busy or stopping", RetryAfterMS: retryAfterMS}
}

func encode(v any) (json.RawMessage, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, &operator.Error{Code: operator.CodeUnavailable, Message: err.Error()}
	}
	return data, nil
}
