// Package topk selects the greatest records from the answers of a search's shards.
// Records are compared as byte strings.
package topk

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record in bytes.
const RecordBytes = 16

// Collector keeps the greatest records added so far, at most a fixed number.
type Collector struct {
	limit   int
	records [][RecordBytes]byte // greatest first, at most limit
}

// New returns an empty Collector that keeps at most limit records.
func New(limit int) *Collector { return &Collector{limit: limit} }

// Add adds the records of one shard's answer. A remainder shorter than a record is
// ignored. Equal records are all kept.
func (c *Collector) Add(answer []byte) {
	for ; len(answer) >= RecordBytes; answer = answer[RecordBytes:] {
		c.add([RecordBytes]byte(answer[:RecordBytes]))
	}
}

// add inserts r if it is among the greatest records.
func (c *Collector) add(r [RecordBytes]byte) {
	if len(c.records) == c.limit {
		if c.limit == 0 || bytes.Compare(r[:], c.records[c.limit-1][:]) <= 0 {
			return
		}
		c.records = c.records[:c.limit-1]
	}
	at, _ := slices.BinarySearchFunc(c.records, r, func(have, added [RecordBytes]byte) int {
		return bytes.Compare(added[:], have[:])
	})
	c.records = slices.Insert(c.records, at, r)
}

// Bytes returns the concatenated records, greatest first.
func (c *Collector) Bytes() []byte {
	out := make([]byte, 0, len(c.records)*RecordBytes)
	for i := range c.records {
		out = append(out, c.records[i][:]...)
	}
	return out
}
