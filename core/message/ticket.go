package message

// TicketNumber is the position of a ticket in the log; the first ticket is 1
// and 0 stands for the empty log.
type TicketNumber uint64

// TicketsRequest asks a peer that announced a higher number in force for the
// tickets after the sender's own number.
type TicketsRequest struct {
	After TicketNumber `cbor:"1,keyasint"`
}

// Tickets carries consecutive tickets in the JSON form of the store. When the
// receiver is further behind than the sender remembers, Checkpoint holds a
// fold of the log and Tickets continue after it.
type Tickets struct {
	Checkpoint []byte   `cbor:"1,keyasint,omitempty"`
	Tickets    [][]byte `cbor:"2,keyasint,omitempty"`
}

// PeerMessage implements Body.
func (TicketsRequest) PeerMessage() {}

// PeerMessage implements Body.
func (Tickets) PeerMessage() {}
