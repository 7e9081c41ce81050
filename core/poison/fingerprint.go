// Package poison detects poison requests, that is, requests that crash the targets
// that run them, so that they are sent to no further targets. All instances share
// what they see of it through the store: crashes, answers that show that a suspected
// request is harmless, and trials.
//
// A crash alone says little about the requests that the target was running. A request
// is refused if it has crashed several targets, none has answered it since, and no
// worse request was running at these targets. From time to time, one instance of all
// sends it once, as a trial.
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
