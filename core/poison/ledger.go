// Package poison keeps requests that crash the targets that run them from
// crashing more. All instances share what they saw through the store.
package poison

import (
	"crypto/sha256"
	"encoding/hex"

	"knapweedstall/core/topology"
)

// Fingerprint identifies a request by what a target gets to see of it.
type Fingerprint string

// fingerprintBytes is enough to tell requests apart.
const fingerprintBytes = 12

// NewFingerprint returns the Fingerprint of a request. Its id is no part of it,
// since a caller that sends the request again gives it another one.
func NewFingerprint(method, host, uri string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, host, uri} {
		h.Write([]byte(part)) // a hash does not fail
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// Crash is one target that ended while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Target      topology.TargetID
	UnixMS      int64 // when it was seen
}

const (
	// refuseFrom is how many crashes a request must have caused to be refused.
	// One may be a coincidence.
	refuseFrom = 2
	// memoryMS is for how long crashes count, in milliseconds.
	memoryMS = 10 * 60 * 1000
)

// Ledger counts the crashes of requests.
type Tracker struct {
	crashes map[Fingerprint]map[topology.TargetID]int64 // when each target crashed
}

// NewLedger returns an empty Ledger.
func NewTracker() *Tracker {
	return &Tracker{crashes: map[Fingerprint]map[topology.TargetID]int64{}}
}

// Add counts a crash, which may be known already.
func (l *Tracker) Add(c Crash) {
	of := l.crashes[c.Fingerprint]
	if of == nil {
		of = map[topology.TargetID]int64{}
		l.crashes[c.Fingerprint] = of
	}
	if at, known := of[c.Target]; !known || at < c.UnixMS {
		of[c.Target] = c.UnixMS
	}
}

// Refused reports whether the request has crashed so many targets that no other
// one may get it.
func (l *Tracker) Refused(f Fingerprint, nowUnixMS int64) bool {
	n := 0
	for _, at := range l.crashes[f] {
		if counts(at, nowUnixMS) {
			n++
		}
	}
	return n >= refuseFrom
}

// counts reports whether a crash that was seen at a time still counts.
func counts(at, nowUnixMS int64) bool { return nowUnixMS-at < memoryMS }

// Forget drops the crashes that no longer count.
func (l *Tracker) Expire(nowUnixMS int64) {
	for f, of := range l.crashes {
		for target, at := range of {
			if !counts(at, nowUnixMS) {
				delete(of, target)
			}
		}
		if len(of) == 0 {
			delete(l.crashes, f)
		}
	}
}
