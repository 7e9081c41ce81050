package message

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// IdempotencyKey is chosen by a caller for one request that must not run twice;
// it is unique within the workspace.
type IdempotencyKey string

// Outcome is what the tier knows of a request that may not be repeated.
type Outcome string

// Outcomes.
const (
	// OutcomeAnswered means that the request ran once and was answered.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun promises that this submission was not run and never will
	// be. It says nothing about other submissions of the key, which may be sent
	// again.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run; it runs no second
	// time.
	OutcomeUnknown Outcome = "unknown"
)

// Reasons of refused runs, besides those of sub-requests.
const (
	ReasonStoreUnavailable Reason = "storeUnavailable"
	ReasonJournalFull      Reason = "journalFull"
	ReasonInterrupted      Reason = "interrupted" // the claim's owner was lost or is another instance
	ReasonKeyReused        Reason = "keyReused"   // the key belongs to a request with another collection or payload
)

// RunRequest asks the writer of a key's partition to run a request at most
// once.
type RunRequest struct {
	ID          RequestID             `cbor:"1,keyasint"`
	Workspace   topology.WorkspaceID  `cbor:"2,keyasint" json:"Tenant"`
	Collection  topology.CollectionID `cbor:"3,keyasint"`
	Key         IdempotencyKey        `cbor:"4,keyasint"`
	Payload     string                `cbor:"5,keyasint"`
	RemainingMS clock.Duration        `cbor:"6,keyasint"` // time left to the deadline when the message was sent
}

// RunReply answers a RunRequest. ID and Workspace repeat the request's.
type RunReply struct {
	ID            RequestID            `cbor:"1,keyasint"`
	Workspace     topology.WorkspaceID `cbor:"2,keyasint" json:"Tenant"`
	Outcome       Outcome              `cbor:"3,keyasint"`
	Answer        []byte               `cbor:"4,keyasint,omitempty"` // set when Outcome is answered
	AnswerOmitted bool                 `cbor:"5,keyasint,omitempty"` // the answer was too large to be recorded
	Reason        Reason               `cbor:"6,keyasint,omitempty"` // set unless Outcome is answered
	At            int64                `cbor:"7,keyasint,omitempty"` // Unix ms of the submission or claim that the outcome comes from; 0 when none was taken
	RetryAfterMS  clock.Duration       `cbor:"8,keyasint,omitempty"` // set when Outcome is notRun
	Recorded      bool                 `cbor:"9,keyasint,omitempty"` // the outcome is that of another request with the key
}

// PeerMessage implements Body.
func (RunRequest) PeerMessage() {}

// PeerMessage implements Body.
func (RunReply) PeerMessage() {}
