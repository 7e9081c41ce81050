package message

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Header precedes the bodies of every frame between instances, so that any
// traffic also spreads what the sender knows.
type Header struct {
	Config       uint64         `cbor:"1,keyasint"`              // ticket number in force at the sender
	TableHash    uint64         `cbor:"2,keyasint" json:"Table"` // hash over the versions of all holder table buckets that the sender has
	ReachesStore bool           `cbor:"3,keyasint"`              // the sender had a reply from the store in the last 2 s
	Leaving      bool           `cbor:"4,keyasint"`              // the sender is stopping: send it no new work
	SentAt       clock.Time     `cbor:"5,keyasint"`              // the sender's monotonic clock
	QueueDelay   clock.Duration `cbor:"6,keyasint" json:"Load"`  // longest queueing delay at the sender as a holder
}

// Hello is the first body on every connection, in both directions.
type Hello struct {
	Member topology.Member `cbor:"1,keyasint"`
}

// PeerMessage implements Body.
func (Hello) PeerMessage() {}
