package message

// TicketNumber is the position of a ticket, one configuration change, in the
// log. The first ticket has number 1; 0 stands for the empty log.
type TicketNumber uint64

// TicketsRequest asks a peer that announced a higher applied ticket number for
// the tickets after After, the number of the sender's newest ticket.
type TicketsRequest struct {
	After TicketNumber `cbor:"1,keyasint"`
}

// Tickets carries consecutive tickets in the JSON form of the store. When the
// sender no longer has all tickets that the receiver lacks, Checkpoint holds the
// state that results from an initial part of the log, and Tickets continues
// after it.
type Tickets struct {
	Checkpoint []byte   `cbor:"1,keyasint,omitempty"`
	Tickets    [][]byte `cbor:"2,keyasint,omitempty"`
}

// PeerMessage implements Body.
func (TicketsRequest) PeerMessage() {}

// PeerMessage implements Body.
func (Tickets) PeerMessage() {}
