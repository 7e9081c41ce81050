package message

import "knapweedstall/core/topology"

// Gossip carries recent membership changes that the sender knows. It is sent to
// a few random peers every second.
type Gossip struct {
	Changed []topology.Member      `cbor:"1,keyasint,omitempty"` // members that recently joined or changed state
	Ended   []topology.InstanceRef `cbor:"2,keyasint,omitempty"` // incarnations that have recently been proven to have ended
	Hash    uint64                 `cbor:"3,keyasint"`           // hash of all members that the sender knows
}

// MemberList is the complete membership. It is sent to a peer whose Hash differs
// although both instances know the same recent changes.
type MemberList struct {
	Members []topology.Member      `cbor:"1,keyasint"`
	Ended   []topology.InstanceRef `cbor:"2,keyasint,omitempty"`
}

// PeerMessage implements Body.
func (Gossip) PeerMessage() {}

// PeerMessage implements Body.
func (MemberList) PeerMessage() {}
