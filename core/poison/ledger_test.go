package poison_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/poison"
)

// TestRefused guards against a request crashing target after target, and
// against refusing one that met a target's crash by chance or long ago.
func TestRefused(t *testing.T) {
	const minute = 60 * 1000
	for name, c := range map[string]struct {
		crashes []poison.Crash
		want    bool
	}{
		"never":                    {nil, false},
		"once":                     {[]poison.Crash{{"f", "a", 0}}, false},
		"once, told twice":         {[]poison.Crash{{"f", "a", 0}, {"f", "a", 0}}, false},
		"two targets":              {[]poison.Crash{{"f", "a", 0}, {"f", "b", minute}}, true},
		"two requests, one each":   {[]poison.Crash{{"f", "a", 0}, {"g", "b", 0}}, false},
		"one of them long ago":     {[]poison.Crash{{"f", "a", -10 * minute}, {"f", "b", 0}}, false},
		"told again after a while": {[]poison.Crash{{"f", "a", -10 * minute}, {"f", "b", 0}, {"f", "a", 0}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := poison.NewTracker()
			for _, crash := range c.crashes {
				l.Add(crash)
			}
			l.Expire(minute)
			if diff := cmp.Diff(c.want, l.Refused("f", minute)); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFingerprint guards against two requests taken for one, and one taken for
// two when it is sent again.
func TestFingerprint(t *testing.T) {
	f := poison.NewFingerprint("GET", "h", "/a", nil)
	if f != poison.NewFingerprint("GET", "h", "/a", []byte{}) {
		t.Error("the same request has two fingerprints")
	}
	for _, other := range []poison.Fingerprint{
		poison.NewFingerprint("POST", "h", "/a", nil), poison.NewFingerprint("GET", "h", "/b", nil),
		poison.NewFingerprint("GET", "h", "/a", []byte("x")), poison.NewFingerprint("GET", "h/", "a", nil),
	} {
		if f == other {
			t.Error("two requests have the same fingerprint")
		}
	}
}
