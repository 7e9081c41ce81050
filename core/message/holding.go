package message

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// FormerHolder is an earlier holder of a share whose lease is not yet known to
// have expired.
type FormerHolder struct {
	Ref topology.InstanceRef `cbor:"1,keyasint" json:"ref"`
	// Partners are the instances that could renew the lease of Ref: first its
	// partner, the holder of the other share, in the last epoch in which it held
	// the share, then earlier holders of the other share whose leases were not
	// known to have expired at that time. Ref itself is listed when it held both
	// shares.
	Partners []topology.InstanceRef `cbor:"2,keyasint" json:"partners"`
}

// HoldingEntry is the value of one service in the holder table. The capacity of a
// service's targets is split into two shares, each assigned to one holder: an
// instance that may send work to the targets while its lease is valid. The epoch
// numbers the assignments.
type HoldingEntry struct {
	Epoch   uint64                  `cbor:"1,keyasint" json:"epoch"` // at least 1; increases whenever a holder changes
	Holders [2]topology.InstanceRef `cbor:"2,keyasint" json:"holders"`
	// Since is, for each share, the epoch at which the current holder received
	// it. A holder that missed epochs thereby detects that it lost the share in
	// between.
	Since  [2]uint64         `cbor:"3,keyasint" json:"since"`
	Former [2][]FormerHolder `cbor:"4,keyasint" json:"former"` // instances are removed within an epoch, and added only with a new epoch
}

// SharedHolding names a service, and an epoch at which the sender and the
// receiver both hold a share of it.
type SharedHolding struct {
	Service topology.ServiceID `cbor:"1,keyasint"`
	Epoch   uint64             `cbor:"2,keyasint"`
}

// LeaseRenewal renews the receiver's leases on the listed services at the listed
// epochs, and requests the same from the receiver.
type LeaseRenewal struct {
	RequestedAt clock.Time      `cbor:"1,keyasint"` // sender's clock
	Echo        clock.Time      `cbor:"2,keyasint"` // newest RequestedAt received from the receiver, on the receiver's clock; 0 when there is none
	Shared      []SharedHolding `cbor:"3,keyasint"` // in ascending order of Service
}

// EntryNotice carries the sender's copy of a service's entry. A receiver that
// knows a newer epoch returns its own entry. Otherwise it adopts the received
// entry and, when asked, acknowledges it.
type EntryNotice struct {
	Service topology.ServiceID `cbor:"1,keyasint"`
	Entry   HoldingEntry       `cbor:"2,keyasint"` // epoch 0 when the sender has no entry
	WantAck bool               `cbor:"3,keyasint"`
}

// LeaseAge is the time since the sender last renewed the lease of Ref.
type LeaseAge struct {
	Ref   topology.InstanceRef `cbor:"1,keyasint"`
	AgeMS clock.Duration       `cbor:"2,keyasint"`
}

// EntryAck guarantees that the sender starts no work and renews no lease under an
// epoch before Epoch.
type EntryAck struct {
	Service topology.ServiceID `cbor:"1,keyasint"`
	Epoch   uint64             `cbor:"2,keyasint"`
	BusyMS  [2]clock.Duration  `cbor:"3,keyasint"`                // for each share, the time after which none of the sender's work is in flight
	Leases  []LeaseAge         `cbor:"4,keyasint" json:"Vouched"` // instances whose lease was not renewed recently are omitted
}

// EntryRead asks a peer that can reach the store to read entries of one bucket of
// the holder table from it.
type EntryRead struct {
	Key         string               `cbor:"1,keyasint"`
	RequestedAt clock.Time           `cbor:"2,keyasint"` // requester's clock
	Services    []topology.ServiceID `cbor:"3,keyasint"`
}

// ServiceEntry is the holder table entry of one service.
type ServiceEntry struct {
	Service topology.ServiceID `cbor:"1,keyasint"`
	Entry   HoldingEntry       `cbor:"2,keyasint"`
}

// EntryReadReply answers an EntryRead with the result of a store read that
// started after the request arrived.
type EntryReadReply struct {
	RequestedAt clock.Time     `cbor:"1,keyasint"` // repeated from the request
	OK          bool           `cbor:"2,keyasint"` // false when the store could not be read
	Entries     []ServiceEntry `cbor:"3,keyasint"`
}

// PeerMessage implements Body.
func (LeaseRenewal) PeerMessage() {}

// PeerMessage implements Body.
func (EntryNotice) PeerMessage() {}

// PeerMessage implements Body.
func (EntryAck) PeerMessage() {}

// PeerMessage implements Body.
func (EntryRead) PeerMessage() {}

// PeerMessage implements Body.
func (EntryReadReply) PeerMessage() {}
