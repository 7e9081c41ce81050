package message

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// CanaryRequest asks the coordinator of the sub-request's fingerprint to run the
// sub-request: a search whose fingerprint is not known to be safe, or a run. The
// coordinator is an instance chosen by a hash of the fingerprint; it runs the
// canaries of a fingerprint one at a time.
type CanaryRequest struct {
	Sub SubRequest `cbor:"1,keyasint"`
}

// Verdict is a coordinator's answer to a CanaryRequest.
type Verdict string

// Verdicts.
const (
	VerdictRan         Verdict = "ran"         // the sub-request itself was run; Reply holds its result
	VerdictPassed      Verdict = "passed"      // a canary of the fingerprint passed on the same snapshot; the query may be sent to all services
	VerdictQuarantined Verdict = "quarantined" // the fingerprint is refused
	VerdictNotRun      Verdict = "notRun"      // no target started it, and none will start it
)

// CanaryVerdict answers a CanaryRequest. ID repeats that of the sub-request.
type CanaryVerdict struct {
	ID           SubID               `cbor:"1,keyasint"`
	Fingerprint  Fingerprint         `cbor:"2,keyasint"`
	Snapshot     topology.SnapshotID `cbor:"3,keyasint"`
	Verdict      Verdict             `cbor:"4,keyasint"`
	Reply        *SubReply           `cbor:"5,keyasint,omitempty"` // set when Verdict is ran
	Reason       Reason              `cbor:"6,keyasint,omitempty"` // set when Verdict is quarantined or notRun
	RetryAfterMS clock.Duration      `cbor:"7,keyasint,omitempty"` // set when Verdict is quarantined or notRun
}

// ReasonNoBackup means that no other instance acknowledged a canary.
const ReasonNoBackup Reason = "noBackup"

// CrashRecord is the record of one canary that crashed a target, or that may do
// so because it was announced and its result is not known. Coordinator is the
// instance that announced it.
type CrashRecord struct {
	Coordinator topology.InstanceRef `cbor:"1,keyasint" json:"keeper"`
	Seq         uint64               `cbor:"2,keyasint" json:"seq"` // increases by one for each canary of the coordinator
	Crashed     bool                 `cbor:"3,keyasint" json:"crashed"`
	At          int64                `cbor:"4,keyasint" json:"at"` // Unix ms of the announcement, or of the crash
}

// CanaryNotice announces a canary to the backup, the next instance by hash, before
// it runs. Records are all crash records of the fingerprint that the coordinator
// knows, including the one for Seq. The list is complete for the coordinator's
// own canaries.
type CanaryNotice struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Seq         uint64        `cbor:"2,keyasint"`
	Records     []CrashRecord `cbor:"3,keyasint" json:"Charges"`
}

// NoticeStatus is the answer to a CanaryNotice.
type NoticeStatus string

// Answers to a CanaryNotice.
const (
	NoticeGranted NoticeStatus = "granted" // the crash record is stored; the canary may run
	NoticeBusy    NoticeStatus = "busy"    // another canary of the fingerprint is running
	NoticeRefused NoticeStatus = "refused" // two other crash records are known
)

// NoticeAck answers a CanaryNotice with the other crash records of the
// fingerprint that the sender knows.
type NoticeAck struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Seq         uint64        `cbor:"2,keyasint"`
	Status      NoticeStatus  `cbor:"3,keyasint"`
	Records     []CrashRecord `cbor:"4,keyasint,omitempty" json:"Charges"`
}

// CanaryEnd reports the result of an announced canary. Unless Crashed is set, the
// receiver removes the crash record.
type CanaryEnd struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Seq         uint64      `cbor:"2,keyasint"`
	Crashed     bool        `cbor:"3,keyasint,omitempty"`
	At          int64       `cbor:"4,keyasint,omitempty"` // Unix ms of the crash
}

// CanaryQuery asks the coordinator of an announced canary for its result. The
// coordinator answers with a CanaryEnd, or not at all while the canary is running.
type CanaryQuery struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Seq         uint64      `cbor:"2,keyasint"`
}

// PeerMessage implements Body.
func (CanaryQuery) PeerMessage() {}

// CrashRecords sends the crash records of a fingerprint to its coordinator and
// backup after a membership change.
type CrashRecords struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Records     []CrashRecord `cbor:"2,keyasint" json:"Charges"`
}

// CrashReport tells the coordinator that a sub-request crashed a target although
// its canary had passed.
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
