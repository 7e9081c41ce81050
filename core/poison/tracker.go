// Package poison detects poison requests, that is, requests that crash the targets
// that run them, so that they are sent to no further targets. All instances share
// the crashes that they see through the store.
package poison

import (
	"crypto/sha256"
	"encoding/hex"

	"knapweedstall/core/topology"
)

// Fingerprint identifies a request by its content, as a target receives it.
type Fingerprint string

// fingerprintBytes is the length of the hash that is kept; it is enough to
// distinguish requests.
const fingerprintBytes = 12

// NewFingerprint returns the Fingerprint of a request of a workspace, "" for none. It
// covers the workspace, since a target may crash on the requests of one caller only, but
// not the key, which targets don't get. It covers neither the request's id nor other
// headers: a caller that sends the request again may change them each time. Without a
// workspace, it is that of earlier builds.
func NewFingerprint(caller topology.WorkspaceID, method, host, uri string, body []byte) Fingerprint {
	h := sha256.New()
	parts := []string{method, host, uri}
	if caller != "" {
		parts = append([]string{"", string(caller)}, parts...) // no method is empty
	}
	for _, part := range parts {
		h.Write([]byte(part)) // a hash never returns an error
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// Crash is the crash of one target while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Target      topology.TargetID
	UnixMS      int64 // when it was seen
}

const (
	// refuseThreshold is the number of crashed targets from which a request is
	// refused. One may be a coincidence.
	refuseThreshold = 2
	// crashTTLMS is the time for which a crash counts, in milliseconds.
	crashTTLMS = 10 * 60 * 1000
)

// Tracker counts the crashes of each request.
type Tracker struct {
	crashes map[Fingerprint]map[topology.TargetID]int64 // time of the latest crash of each target
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{crashes: map[Fingerprint]map[topology.TargetID]int64{}}
}

// Add counts a crash, which may be known already. A target counts once for each
// request, with the time of its latest crash.
func (t *Tracker) Add(c Crash) {
	crashes := t.crashes[c.Fingerprint]
	if crashes == nil {
		crashes = map[topology.TargetID]int64{}
		t.crashes[c.Fingerprint] = crashes
	}
	if at, known := crashes[c.Target]; !known || at < c.UnixMS {
		crashes[c.Target] = c.UnixMS
	}
}

// Refused reports whether the request has crashed so many targets that it must not
// be sent to another one.
func (t *Tracker) Refused(f Fingerprint, nowUnixMS int64) bool {
	n := 0
	for _, at := range t.crashes[f] {
		if isRecent(at, nowUnixMS) {
			n++
		}
	}
	return n >= refuseThreshold
}

// isRecent reports whether a crash that was seen at a time still counts.
func isRecent(at, nowUnixMS int64) bool { return nowUnixMS-at < crashTTLMS }

// Expired reports whether the crash no longer counts.
func Expired(c Crash, nowUnixMS int64) bool { return !isRecent(c.UnixMS, nowUnixMS) }

// Expire drops the crashes that no longer count.
func (t *Tracker) Expire(nowUnixMS int64) {
	for f, crashes := range t.crashes {
		for target, at := range crashes {
			if !isRecent(at, nowUnixMS) {
				delete(crashes, target)
			}
		}
		if len(crashes) == 0 {
			delete(t.crashes, f)
		}
	}
}
