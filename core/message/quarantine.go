package message

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// CanaryRequest asks the keeper of the sub-request's fingerprint to run it, one
// at a time: a search whose fingerprint is not known to be safe, or a run.
type CanaryRequest struct {
	Sub SubRequest `cbor:"1,keyasint"`
}

// Verdict is a keeper's answer to a CanaryRequest.
type Verdict string

// Verdicts.
const (
	VerdictRan         Verdict = "ran"         // the sub-request was run itself; Reply holds its result
	VerdictPassed      Verdict = "passed"      // a canary of the fingerprint passed on the same snapshot; the query may fan out
	VerdictQuarantined Verdict = "quarantined" // the fingerprint is refused
	VerdictNotRun      Verdict = "notRun"      // no target started it, and none will
)

// CanaryVerdict answers a CanaryRequest. ID repeats the sub-request's.
type CanaryVerdict struct {
	ID           SubID               `cbor:"1,keyasint"`
	Fingerprint  Fingerprint         `cbor:"2,keyasint"`
	Snapshot     topology.SnapshotID `cbor:"3,keyasint"`
	Verdict      Verdict             `cbor:"4,keyasint"`
	Reply        *SubReply           `cbor:"5,keyasint,omitempty"` // set when Verdict is ran
	Reason       Reason              `cbor:"6,keyasint,omitempty"` // set when Verdict is quarantined or notRun
	RetryAfterMS clock.Duration      `cbor:"7,keyasint,omitempty"` // set when Verdict is quarantined or notRun
}

// ReasonNoBackup says that no other instance acknowledged a canary.
const ReasonNoBackup Reason = "noBackup"

// Charge is one canary that crashed a target, or that may do so: it was
// announced and its result is not known.
type CrashRecord struct {
	Coordinator topology.InstanceRef `cbor:"1,keyasint" json:"keeper"`
	Seq         uint64               `cbor:"2,keyasint" json:"seq"` // grows by one for each canary of the keeper
	Crashed     bool                 `cbor:"3,keyasint" json:"crashed"`
	At          int64                `cbor:"4,keyasint" json:"at"` // Unix ms of the announcement, or of the crash
}

// CanaryNotice announces a canary to the next instance by hash before it runs.
// Charges are all that the keeper knows, including the one for Seq; of the
// keeper's own charges they are complete.
type CanaryNotice struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Seq         uint64        `cbor:"2,keyasint"`
	Records     []CrashRecord `cbor:"3,keyasint" json:"Charges"`
}

// NoticeStatus is the answer to a CanaryNotice.
type NoticeStatus string

// Answers to a CanaryNotice.
const (
	NoticeGranted NoticeStatus = "granted" // the charge is recorded; the canary may run
	NoticeBusy    NoticeStatus = "busy"    // another canary of the fingerprint is under way
	NoticeRefused NoticeStatus = "refused" // two other charges are known
)

// NoticeAck answers a CanaryNotice with the other charges that the sender knows.
type NoticeAck struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Seq         uint64        `cbor:"2,keyasint"`
	Status      NoticeStatus  `cbor:"3,keyasint"`
	Records     []CrashRecord `cbor:"4,keyasint,omitempty" json:"Charges"`
}

// CanaryEnd tells an announced canary's result. Without Crashed the charge is
// withdrawn.
type CanaryEnd struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Seq         uint64      `cbor:"2,keyasint"`
	Crashed     bool        `cbor:"3,keyasint,omitempty"`
	At          int64       `cbor:"4,keyasint,omitempty"` // Unix ms of the crash
}

// CanaryQuery asks the keeper of an open charge for its result. The answer is a
// CanaryEnd, or nothing while the canary is under way.
type CanaryQuery struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Seq         uint64      `cbor:"2,keyasint"`
}

// PeerMessage implements Body.
func (CanaryQuery) PeerMessage() {}

// CrashRecords hands the charges of a fingerprint to its keeper and backup
// after a change of membership.
type CrashRecords struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Records     []CrashRecord `cbor:"2,keyasint" json:"Charges"`
}

// CrashReport tells the keeper that a sub-request crashed a target after its
// canary had passed.
type CrashReport struct {
	Fingerprint Fingerprint         `cbor:"1,keyasint"`
	Snapshot    topology.SnapshotID `cbor:"2,keyasint"`
}

// PeerMessage implements Body.
func (CrashReport) PeerMessage() {}

// PeerMessage implements Body.
func (CanaryRequest) PeerMessage() {}

// PeerMessage implements Body.
func (CanaryVerdict) PeerMessage() {}

// PeerMessage implements Body.
func (CanaryNotice) PeerMessage() {}

// PeerMessage implements Body.
func (NoticeAck) PeerMessage() {}

// PeerMessage implements Body.
func (CanaryEnd) PeerMessage() {}

// PeerMessage implements Body.
func (CrashRecords) PeerMessage() {}
