package message

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// FormerHolder is an earlier holder of a share whose right is not yet known to
// have ended.
type FormerHolder struct {
	Ref topology.InstanceRef `cbor:"1,keyasint" json:"ref"`
	// Partners could vouch for Ref: first its partner in the last epoch in which
	// it held the share, then the holders before that partner that were
	// uncleared at the time. Ref itself is listed when it held both shares.
	Partners []topology.InstanceRef `cbor:"2,keyasint" json:"partners"`
}

// HoldingEntry is the holder table's value for one service.
type HoldingEntry struct {
	Epoch   uint64                  `cbor:"1,keyasint" json:"epoch"` // at least 1; grows whenever a holder changes
	Holders [2]topology.InstanceRef `cbor:"2,keyasint" json:"holders"`
	// Since is, for each share, the epoch at which the present holder received
	// it, so that a holder that missed epochs detects that it lost the share in
	// between.
	Since  [2]uint64         `cbor:"3,keyasint" json:"since"`
	Former [2][]FormerHolder `cbor:"4,keyasint" json:"former"` // shrinks within an epoch, grows only with a new one
}

// SharedHolding names a service at an epoch at which sender and receiver hold it.
type SharedHolding struct {
	Service topology.ServiceID `cbor:"1,keyasint"`
	Epoch   uint64             `cbor:"2,keyasint"`
}

// Vouch confirms the receiver's holdings at the listed epochs, and requests the
// same from the receiver.
type LeaseRenewal struct {
	RequestedAt clock.Time      `cbor:"1,keyasint"` // sender's clock
	Echo        clock.Time      `cbor:"2,keyasint"` // newest RequestedAt received from the receiver, by the receiver's clock; 0 when there is none
	Shared      []SharedHolding `cbor:"3,keyasint"` // ascending by service
}

// EntryNotice tells what the sender knows of a service's entry. A receiver that
// knows a newer epoch returns it; otherwise it adopts the entry and, when asked,
// acknowledges it.
type EntryNotice struct {
	Service topology.ServiceID `cbor:"1,keyasint"`
	Entry   HoldingEntry       `cbor:"2,keyasint"` // zero epoch when the sender knows none
	WantAck bool               `cbor:"3,keyasint"`
}

// VouchAge says how long ago the sender last vouched for Ref.
type LeaseAge struct {
	Ref   topology.InstanceRef `cbor:"1,keyasint"`
	AgeMS clock.Duration       `cbor:"2,keyasint"`
}

// EntryAck is a promise that the sender starts no work and gives no vouch under
// an epoch before Epoch.
type EntryAck struct {
	Service topology.ServiceID `cbor:"1,keyasint"`
	Epoch   uint64             `cbor:"2,keyasint"`
	BusyMS  [2]clock.Duration  `cbor:"3,keyasint"`                // for each share, time until the sender's work in flight must have ended
	Leases  []LeaseAge         `cbor:"4,keyasint" json:"Vouched"` // instances without a recent vouch are left out
}

// EntryRead asks a peer that reaches the store to read entries of one bucket
// from it.
type EntryRead struct {
	Key         string               `cbor:"1,keyasint"`
	RequestedAt clock.Time           `cbor:"2,keyasint"` // requester's clock
	Services    []topology.ServiceID `cbor:"3,keyasint"`
}

// ServiceEntry is one service's entry.
type ServiceEntry struct {
	Service topology.ServiceID `cbor:"1,keyasint"`
	Entry   HoldingEntry       `cbor:"2,keyasint"`
}

// EntryReadReply answers an EntryRead by a store read made after the request
// arrived.
type EntryReadReply struct {
	RequestedAt clock.Time     `cbor:"1,keyasint"` // repeats the request's
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
