package message

// TableDigest lists the versions of the holder table buckets that the sender
// has. The receiver returns the buckets that it has in a newer version, and a
// TableDigest of its own when the sender has newer ones.
type TableDigest struct {
	Versions map[string]int64 `cbor:"1,keyasint"`
	Reply    bool             `cbor:"2,keyasint,omitempty"` // it answers a digest, so the receiver sends no further digest
}

// StoredObject is a copy of an object in the store of the platform.
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

// Announce has no content. The header of its frame tells the receiver the
// sender's configuration and table versions.
type Announce struct{}

// PeerMessage implements Body.
func (Announce) PeerMessage() {}
