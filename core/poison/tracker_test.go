package poison_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/poison"
)

// TestRefused checks that a request is refused after it has crashed two targets,
// and not because of a single crash, which may be a coincidence, or of old ones.
func TestRefused(t *testing.T) {
	const minute = 60 * 1000
	for name, c := range map[string]struct {
		crashes []poison.Crash
		want    bool
	}{
		"no crash":                               {nil, false},
		"one crash":                              {[]poison.Crash{{"f", "a", 0}}, false},
		"one crash, added twice":                 {[]poison.Crash{{"f", "a", 0}, {"f", "a", 0}}, false},
		"two targets":                            {[]poison.Crash{{"f", "a", 0}, {"f", "b", minute}}, true},
		"two requests, one each":                 {[]poison.Crash{{"f", "a", 0}, {"g", "b", 0}}, false},
		"two targets, one long ago":              {[]poison.Crash{{"f", "a", -10 * minute}, {"f", "b", 0}}, false},
		"old crash, and a new one of its target": {[]poison.Crash{{"f", "a", -10 * minute}, {"f", "b", 0}, {"f", "a", 0}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := poison.NewTracker()
			for _, crash := range c.crashes {
				tracker.Add(crash)
			}
			tracker.Expire(minute)
			if diff := cmp.Diff(c.want, tracker.Refused("f", minute)); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFingerprint checks that different requests have different fingerprints, and
// that a request has the same one when it is sent again.
func TestFingerprint(t *testing.T) {
	f := poison.NewFingerprint("", "GET", "h", "/a", nil)
	if f != poison.NewFingerprint("", "GET", "h", "/a", []byte{}) {
		t.Error("the same request has two fingerprints")
	}
	for _, other := range []poison.Fingerprint{
		poison.NewFingerprint("", "POST", "h", "/a", nil), poison.NewFingerprint("", "GET", "h", "/b", nil),
		poison.NewFingerprint("", "GET", "h", "/a", []byte("x")), poison.NewFingerprint("", "GET", "h/", "a", nil),
		poison.NewFingerprint("w", "GET", "h", "/a", nil), poison.NewFingerprint("GET", "h", "/a", "", nil),
	} {
		if f == other {
			t.Error("two different requests have the same fingerprint")
		}
	}
}
