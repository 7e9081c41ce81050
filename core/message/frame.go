package message

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Header precedes the bodies of every frame between instances, so that every
// frame also carries the sender's current state.
type Header struct {
	Config       uint64         `cbor:"1,keyasint"`              // number of the newest configuration ticket that the sender applies
	TableHash    uint64         `cbor:"2,keyasint" json:"Table"` // hash of the versions of all holder table buckets that the sender has
	ReachesStore bool           `cbor:"3,keyasint"`              // the store replied to the sender within the last 2 s
	Leaving      bool           `cbor:"4,keyasint"`              // the sender is stopping: send it no new work
	SentAt       clock.Time     `cbor:"5,keyasint"`              // the sender's monotonic clock
	QueueDelay   clock.Duration `cbor:"6,keyasint" json:"Load"`  // longest queueing delay of the services that the sender holds
}

// Hello is the first body on every connection, in both directions.
type Hello struct {
	Member topology.Member `cbor:"1,keyasint"`
}

// PeerMessage implements Body.
func (Hello) PeerMessage() {}
