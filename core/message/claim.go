package message

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// IdempotencyKey is chosen by a caller for one request that must not run twice.
// It is unique within the workspace.
type IdempotencyKey string

// Outcome is what the tier knows about a request that must not be repeated.
type Outcome string

// Outcomes.
const (
	// OutcomeAnswered means that the request ran once and was answered.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun guarantees that this submission was not run and never will
	// be. It says nothing about other submissions of the key. The request may be
	// sent again.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run. It is not run a second
	// time.
	OutcomeUnknown Outcome = "unknown"
)

// Reasons for refusing a run, in addition to those of sub-requests.
const (
	ReasonStoreUnavailable Reason = "storeUnavailable"
	ReasonJournalFull      Reason = "journalFull"
	ReasonInterrupted      Reason = "interrupted" // the instance that made the claim was lost, or is not the one that replies
	ReasonKeyReused        Reason = "keyReused"   // the key belongs to a request with another collection or payload
)

// RunRequest asks the writer of a key's partition to run a request at most once.
// The writer is the live instance, chosen by hash, that writes the journal of the
// partition's claims.
type RunRequest struct {
	ID          RequestID             `cbor:"1,keyasint"`
	Workspace   topology.WorkspaceID  `cbor:"2,keyasint" json:"Tenant"`
	Collection  topology.CollectionID `cbor:"3,keyasint"`
	Key         IdempotencyKey        `cbor:"4,keyasint"`
	Payload     string                `cbor:"5,keyasint"`
	RemainingMS clock.Duration        `cbor:"6,keyasint"` // time left to the deadline when the message was sent
}

// RunReply answers a RunRequest. ID and Workspace repeat those of the request.
type RunReply struct {
	ID            RequestID            `cbor:"1,keyasint"`
	Workspace     topology.WorkspaceID `cbor:"2,keyasint" json:"Tenant"`
	Outcome       Outcome              `cbor:"3,keyasint"`
	Answer        []byte               `cbor:"4,keyasint,omitempty"` // set when Outcome is answered
	AnswerOmitted bool                 `cbor:"5,keyasint,omitempty"` // the answer was too large to be recorded
	Reason        Reason               `cbor:"6,keyasint,omitempty"` // set unless Outcome is answered
	At            int64                `cbor:"7,keyasint,omitempty"` // Unix ms of the submission or claim that the outcome comes from; 0 when there is none
	RetryAfterMS  clock.Duration       `cbor:"8,keyasint,omitempty"` // set when Outcome is notRun
	Recorded      bool                 `cbor:"9,keyasint,omitempty"` // the outcome belongs to another request with the same key
}

// PeerMessage implements Body.
func (RunRequest) PeerMessage() {}

// PeerMessage implements Body.
func (RunReply) PeerMessage() {}
