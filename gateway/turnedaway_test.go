package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"knapweedstall/platform"
	"knapweedstall/settings"
)

// TestTurnedAwayReadersDontKeepFromStore guards against instances that reach the store and
// act on an old configuration, because they wait for the readers of their zone, which the
// store turns away.
func TestTurnedAwayReadersDontKeepFromStore(t *testing.T) {
	for name, turnAway := range map[string]func(*storeLink){
		"status 503": (*storeLink).turnAway, "reset": (*storeLink).reset, "silence": (*storeLink).fallSilent,
	} {
		t.Run(name, func(t *testing.T) { testTurnedAwayReaders(t, 7, 3, turnAway) })
	}
}

// TestManyTurnedAwayDontKeepFromStore guards against instances that reach the store and act
// on an old configuration because it turns most of their zone away, all that precede them.
func TestManyTurnedAwayDontKeepFromStore(t *testing.T) {
	testTurnedAwayReaders(t, 16, 13, (*storeLink).fallSilent)
}

func testTurnedAwayReaders(t *testing.T, instances, turnedAway int, turnAway func(*storeLink)) {
	const due = 3 * time.Second // as in the settings
	env := newTestEnv(t)
	var links []*storeLink
	var others []*instance
	for i := range instances {
		in := env.start(func(s *settings.Gateway) {
			s.Capacity = 1 / float64(1+i) // the order in which they take their copies from each other
			if i < turnedAway {
				link, address := env.linkStore()
				links = append(links, link)
				s.Store.Address = address
			}
		})
		if i >= turnedAway {
			others = append(others, in)
		}
	}
	env.eventually("the instances are known", func() bool { return len(env.store.Names(platform.KindInstances)) == instances })
	time.Sleep(5 * time.Second) // each instance has found the one that it follows
	for _, link := range links {
		turnAway(link)
	}
	env.configure(2, false)
	acknowledged := time.Now()
	for _, in := range others {
		for in.do(t, "GET", "/plain/1", "").Status == http.StatusOK {
			if took := time.Since(acknowledged); took > due {
				t.Errorf("%s has not acted on version 2 after %v, want %v at most", in.settings.Instance, took, due)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("version 2 in force at all after %v", time.Since(acknowledged))
}

// TestSilentNeighbourIsReplaced guards against an instance that the store turns away and
// that gets no news from another zone, because the first instances there are gone.
func TestSilentNeighbourIsReplaced(t *testing.T) {
	env := newTestEnv(t)
	env.addSilentInstances("z2", 3)
	link, address := env.linkStore()
	in := env.start(func(s *settings.Gateway) { s.Store.Address = address })
	env.start(func(s *settings.Gateway) { s.Zone = "z2" })
	env.eventually("the instances are known", func() bool { return len(env.store.Names(platform.KindInstances)) == 5 })
	time.Sleep(time.Second) // the instance has the list
	link.turnAway()
	time.Sleep(2 * time.Second) // it has found that the store does not answer
	env.configure(2, false)
	env.eventually("version 2 is in force", func() bool { return in.do(t, "GET", "/plain/1", "").Status != http.StatusOK })
}
