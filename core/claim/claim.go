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

// State is what a journal records of a claim.
type State string

// States of a claim. StateClaimed means that its claimant may run it.
const (
	StateClaimed  State = "claimed"
	StateAnswered State = "answered"
	StateNotRun   State = "notRun"
	StateUnknown  State = "unknown"
)

// Claim is one entry of a journal.
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

// Content tells requests apart that use the same key. It is empty in claims of
// earlier releases, which agree with any request.
type ContentHash string

// ContentOf returns the Content of a request.
func HashContent(r message.RunRequest) ContentHash {
	return ContentHash(strconv.FormatUint(topology.Hash64(string(r.Collection), r.Payload), 16))
}

// differs reports whether c is known to be that of another request.
func (c ContentHash) differs(other ContentHash) bool { return c != "" && c != other }

// ID names a request that may not be repeated.
type ID struct {
	Workspace topology.WorkspaceID
	Key       message.IdempotencyKey
}

// ID returns the request that c claims.
func (c Claim) ID() ID { return ID{c.Workspace, c.Key} }

// Partition returns the partition of id among n.
func Partition(id ID, n uint32) uint32 {
	return uint32(topology.Hash64(string(id.Workspace), string(id.Key)) % uint64(n))
}

// Key returns the object that holds a partition's journal.
func Key(partition uint32) object.Key {
	return object.Key("claims/" + strconv.FormatUint(uint64(partition), 10))
}

// JournalError says that a stored journal cannot be decoded.
type JournalError struct {
	Cause error
}

// Error implements error.
func (e *JournalError) Error() string { return fmt.Sprintf("journal: %v", e.Cause) }

// Unwrap returns the cause.
func (e *JournalError) Unwrap() error { return e.Cause }

const (
	bookPrefix = `{"claims":[`
	bookSuffix = `]}`
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

// book is the content of a journal, in the order in which claims were first
// made.
type book struct {
	order   []*record
	records map[ID]*record
	size    int // sum of the encoded records and one separator each
}

func newBook() *book { return &book{records: map[ID]*record{}} }

// decodeBook decodes a stored journal; an absent one is empty. It fails with
// *JournalError.
func decodeBook(value []byte) (*book, error) {
	b := newBook()
	if len(value) == 0 {
		return b, nil
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
		b.put(record{c, raw})
	}
	return b, nil
}

func (b *book) put(r record) {
	b.size += len(r.raw) + 1
	if old := b.records[r.ID()]; old != nil {
		b.size -= len(old.raw) + 1
		*old = r
		return
	}
	b.order = append(b.order, &r)
	b.records[r.ID()] = &r
}

// get returns the claim of id, or a zero one when there is none.
func (b *book) get(id ID) (Claim, bool) {
	if r := b.records[id]; r != nil {
		return r.Claim, true
	}
	return Claim{}, false
}

// drop removes the claims made before the time for which keep is false.
func (b *book) drop(before int64, keep func(ID) bool) {
	b.order = slices.DeleteFunc(b.order, func(r *record) bool {
		if r.At >= before || keep(r.ID()) {
			return false
		}
		b.size -= len(r.raw) + 1
		delete(b.records, r.ID())
		return true
	})
}

// oldest returns the time of the oldest claim, or 0.
func (b *book) oldest() int64 {
	var at int64
	for _, r := range b.order {
		if at == 0 || r.At < at {
			at = r.At
		}
	}
	return at
}

// encodedSize returns the size of the stored form.
func (b *book) encodedSize() int { return len(bookPrefix) + b.size + len(bookSuffix) }

// encode returns the stored form with some records replaced and others added.
func (b *book) encode(replaced map[*record][]byte, added [][]byte) []byte {
	parts := make([][]byte, 0, len(b.order)+len(added))
	for _, r := range b.order {
		raw := r.raw
		if with := replaced[r]; with != nil {
			raw = with
		}
		parts = append(parts, raw)
	}
	parts = append(parts, added...)
	size := len(bookPrefix) + len(bookSuffix)
	for _, p := range parts {
		size += len(p) + 1
	}
	out := append(make([]byte, 0, size), bookPrefix...)
	for i, p := range parts {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, p...)
	}
	return append(out, bookSuffix...)
}

// Decode returns the claims of a stored journal. It fails with *JournalError.
func Decode(value []byte) ([]Claim, error) {
	b, err := decodeBook(value)
	if err != nil {
		return nil, err
	}
	out := make([]Claim, 0, len(b.order))
	for _, r := range b.order {
		out = append(out, r.Claim)
	}
	return out, nil
}
