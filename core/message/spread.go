package message

// TableDigest lists the versions of the holder table buckets that the sender
// has. The receiver sends back what is newer, and a TableDigest of its own when
// the sender has something newer.
type TableDigest struct {
	Versions map[string]int64 `cbor:"1,keyasint"`
	Reply    bool             `cbor:"2,keyasint,omitempty"` // it answers a digest, so it asks for no further digest
}

// StoredObject is a copy of an object in the platform's store.
type StoredObject struct {
	Key     string `cbor:"1,keyasint" json:"key"`
	Version int64  `cbor:"2,keyasint" json:"version"`
	Value   []byte `cbor:"3,keyasint" json:"value"`
}

// TableBuckets carries holder table buckets.
type TableBuckets struct {
	Buckets []StoredObject `cbor:"1,keyasint"`
}

// PeerMessage implements Body.
func (TableDigest) PeerMessage() {}

// PeerMessage implements Body.
func (TableBuckets) PeerMessage() {}

// Announce has no content: the header of its frame tells the receiver what is
// in force at the sender.
type Announce struct{}

// PeerMessage implements Body.
func (Announce) PeerMessage() {}
