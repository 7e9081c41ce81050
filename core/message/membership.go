package message

import "knapweedstall/core/topology"

// Gossip spreads what the sender knows of the fleet. It goes to a few random
// peers every second.
type Gossip struct {
	Changed []topology.Member      `cbor:"1,keyasint,omitempty"` // members that joined or changed state lately
	Ended   []topology.InstanceRef `cbor:"2,keyasint,omitempty"` // incarnations that provably ended lately
	Hash    uint64                 `cbor:"3,keyasint"`           // over all members that the sender knows
}

// MemberList is the whole membership. It is sent to a peer whose Hash differs
// although the recent changes are known to both.
type MemberList struct {
	Members []topology.Member      `cbor:"1,keyasint"`
	Ended   []topology.InstanceRef `cbor:"2,keyasint,omitempty"`
}

// PeerMessage implements Body.
func (Gossip) PeerMessage() {}

// PeerMessage implements Body.
func (MemberList) PeerMessage() {}
