// Package topk keeps the greatest records of the parts of a search.
package topk

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record.
const RecordBytes = 16

// Best holds the greatest records added so far, at most a fixed number.
type Collector struct {
	limit   int
	records [][RecordBytes]byte // greatest first, at most limit
}

// New returns an empty Best that keeps limit records.
func New(limit int) *Collector { return &Collector{limit: limit} }

// Add takes the records of a part. A remainder shorter than a record is
// ignored. Equal records all count.
func (b *Collector) Add(part []byte) {
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		b.add([RecordBytes]byte(part[:RecordBytes]))
	}
}

func (b *Collector) add(r [RecordBytes]byte) {
	if len(b.records) == b.limit {
		if b.limit == 0 || bytes.Compare(r[:], b.records[b.limit-1][:]) <= 0 {
			return
		}
		b.records = b.records[:b.limit-1]
	}
	at, _ := slices.BinarySearchFunc(b.records, r, func(have, add [RecordBytes]byte) int {
		return bytes.Compare(add[:], have[:])
	})
	b.records = slices.Insert(b.records, at, r)
}

// Bytes returns the records, greatest first, without a gap.
func (b *Collector) Bytes() []byte {
	out := make([]byte, 0, len(b.records)*RecordBytes)
	for i := range b.records {
		out = append(out, b.records[i][:]...)
	}
	return out
}
