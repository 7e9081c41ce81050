package fanout_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/replica"
)

// TestEarlierSendsCountAsAttempts guards against a request that runs on more targets of a
// service than the route allows, because another instance that was running it has been lost.
func TestEarlierSendsCountAsAttempts(t *testing.T) {
	for name, c := range map[string]struct{ most, earlier, want int }{
		"one allowed, one sent":  {1, 1, 0},
		"two allowed, one sent":  {2, 1, 1},
		"two allowed, two sent":  {2, 2, 0},
		"two allowed, none sent": {2, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			params := searchParams("a")
			params.MaxAttempts, params.AlreadySent, params.EarlierSends = c.most, c.earlier > 0, c.earlier
			call, sends := newTestEnv("a").newCall(params, 10)
			got := 0
			for len(sends) > 0 {
				got++
				sends = call.Done(sends[0].Attempt, replica.Lost, 11)
			}
			sends = call.Tick(500) // a hedge would be due
			if diff := cmp.Diff(c.want, got+len(sends)); diff != "" {
				t.Errorf("sends (-want +got):\n%s", diff)
			}
			if most := call.MostSends(); most != c.earlier+c.want {
				t.Errorf("%d targets may have run it, want %d", most, c.earlier+c.want)
			}
		})
	}
}
