package claim

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/topology"
)

// State is the recorded state of a claim.
type State string

// States of a claim.
const (
	StateClaimed  State = "claimed" // the claimant may run the request
	StateAnswered State = "answered"
	StateNotRun   State = "notRun"
	StateUnknown  State = "unknown" // it is not known whether the request ran
)

// Claim is one entry of a journal: the right of an instance to run the request with
// an idempotency key, and the outcome once it is known.
type Claim struct {
	Workspace     topology.WorkspaceID   `json:"tenant"`
	Key           message.IdempotencyKey `json:"key"`
	Claimant      topology.InstanceRef   `json:"claimant"`
	Attempt       uint32                 `json:"attempt"` // 1 for the first; grows when a claim that was not run is claimed again
	State         State                  `json:"state"`
	At            int64                  `json:"at"` // Unix ms of the claim
	Content       ContentHash            `json:"content,omitempty"`
	Answer        []byte                 `json:"answer,omitempty"`
	AnswerOmitted bool                   `json:"answerOmitted,omitempty"`
}

// ContentHash is a hash of a request's content. It distinguishes requests that use
// the same key. It is empty in claims of earlier releases, which match any request.
type ContentHash string

// HashContent returns the ContentHash of a request.
func HashContent(r message.RunRequest) ContentHash {
	return ContentHash(strconv.FormatUint(topology.Hash64(string(r.Collection), r.Payload), 16))
}

// differs reports whether c is known to belong to another request than other.
func (c ContentHash) differs(other ContentHash) bool { return c != "" && c != other }

// ID identifies a request that must not be repeated.
type ID struct {
	Workspace topology.WorkspaceID
	Key       message.IdempotencyKey
}

// ID returns the ID of the request that c claims.
func (c Claim) ID() ID { return ID{c.Workspace, c.Key} }

// Partition returns the partition of id, from 0 to n-1. Each partition has its own
// journal.
func Partition(id ID, n uint32) uint32 {
	return uint32(topology.Hash64(string(id.Workspace), string(id.Key)) % uint64(n))
}

// Key returns the key of the object that holds a partition's journal.
func Key(partition uint32) object.Key {
	return object.Key("claims/" + strconv.FormatUint(uint64(partition), 10))
}

// JournalError reports that a stored journal cannot be decoded.
type JournalError struct {
	Cause error
}

// Error implements error.
func (e *JournalError) Error() string { return fmt.Sprintf("journal: %v", e.Cause) }

// Unwrap returns the cause.
func (e *JournalError) Unwrap() error { return e.Cause }

const (
	journalPrefix = `{"claims":[`
	journalSuffix = `]}`
)

// record is a claim with its encoding, so that a write encodes only what it
// changes.
type record struct {
	Claim
	raw []byte
}

func newRecord(c Claim) record {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err) // a Claim has no field that can fail to encode
	}
	return record{c, raw}
}

// contents holds the claims of a journal in the order in which they were first
// made.
type contents struct {
	order   []*record
	records map[ID]*record
	size    int // sum of the encoded records and one separator each
}

func newContents() *contents { return &contents{records: map[ID]*record{}} }

// decodeContents decodes a stored journal; an absent one is empty. It fails with
// *JournalError.
func decodeContents(value []byte) (*contents, error) {
	decoded := newContents()
	if len(value) == 0 {
		return decoded, nil
	}
	var wire struct {
		Claims []json.RawMessage `json:"claims"`
	}
	if err := json.Unmarshal(value, &wire); err != nil {
		return nil, &JournalError{err}
	}
	for _, raw := range wire.Claims {
		var c Claim
		if err := json.Unmarshal(raw, &c); err != nil {
			return nil, &JournalError{err}
		}
		decoded.put(record{c, raw})
	}
	return decoded, nil
}

func (c *contents) put(r record) {
	c.size += len(r.raw) + 1
	if old := c.records[r.ID()]; old != nil {
		c.size -= len(old.raw) + 1
		*old = r
		return
	}
	c.order = append(c.order, &r)
	c.records[r.ID()] = &r
}

// get returns the claim of id, or a zero one when there is none.
func (c *contents) get(id ID) (Claim, bool) {
	if r := c.records[id]; r != nil {
		return r.Claim, true
	}
	return Claim{}, false
}

// dropExpired removes the claims that were made before the given time, except those
// for which keep returns true.
func (c *contents) dropExpired(before int64, keep func(ID) bool) {
	c.order = slices.DeleteFunc(c.order, func(r *record) bool {
		if r.At >= before || keep(r.ID()) {
			return false
		}
		c.size -= len(r.raw) + 1
		delete(c.records, r.ID())
		return true
	})
}

// oldest returns the time of the oldest claim in Unix ms, or 0.
func (c *contents) oldest() int64 {
	var at int64
	for _, r := range c.order {
		if at == 0 || r.At < at {
			at = r.At
		}
	}
	return at
}

// encodedSize returns the size of the stored form.
func (c *contents) encodedSize() int { return len(journalPrefix) + c.size + len(journalSuffix) }

// encode returns the stored form with some records replaced and others added.
func (c *contents) encode(replaced map[*record][]byte, added [][]byte) []byte {
	parts := make([][]byte, 0, len(c.order)+len(added))
	for _, r := range c.order {
		raw := r.raw
		if with := replaced[r]; with != nil {
			raw = with
		}
		parts = append(parts, raw)
	}
	parts = append(parts, added...)
	size := len(journalPrefix) + len(journalSuffix)
	for _, p := range parts {
		size += len(p) + 1
	}
	out := append(make([]byte, 0, size), journalPrefix...)
	for i, p := range parts {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, p...)
	}
	return append(out, journalSuffix...)
}

// Decode returns the claims of a stored journal. It fails with *JournalError.
func Decode(value []byte) ([]Claim, error) {
	decoded, err := decodeContents(value)
	if err != nil {
		return nil, err
	}
	out := make([]Claim, 0, len(decoded.order))
	for _, r := range decoded.order {
		out = append(out, r.Claim)
	}
	return out, nil
}
