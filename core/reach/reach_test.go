package reach_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/clock"
	"knapweedstall/core/reach"
	"knapweedstall/core/topology"
)

// targetCount is the number of known targets.
const targetCount = 20

func newMonitor() *reach.Monitor {
	m := &reach.Monitor{}
	m.SetTargets(targetCount)
	m.Heard("t", 1)
	return m
}

// TestProbeIsMade guards against an instance that does not notice that it has lost its
// targets, and against probes for each target that crashes or is slow.
func TestProbeIsMade(t *testing.T) {
	const hung, refused = 300 * clock.Millisecond, clock.Millisecond
	for name, c := range map[string]struct {
		play func(m *reach.Monitor) bool
		want bool
	}{
		"one target refuses": {func(m *reach.Monitor) bool { return m.ConnectFailed("a", 10, clock.Time(10).Add(refused)) }, false},
		"three targets refuse": {func(m *reach.Monitor) bool {
			m.ConnectFailed("a", 10, 11)
			m.ConnectFailed("b", 10, 11)
			return m.ConnectFailed("c", 10, 11)
		}, true},
		"three targets refuse while others answer": {func(m *reach.Monitor) bool {
			m.ConnectFailed("a", 10, 11)
			m.ConnectFailed("b", 10, 11)
			m.Heard("d", 12)
			return m.ConnectFailed("c", 10, 13)
		}, true},
		"two targets refuse, and one answers again": {func(m *reach.Monitor) bool {
			m.ConnectFailed("a", 10, 11)
			m.ConnectFailed("b", 10, 11)
			m.Heard("a", 12)
			return m.ConnectFailed("c", 10, 13)
		}, false},
		"a connection hangs and nothing is heard": {func(m *reach.Monitor) bool { return m.ConnectFailed("a", 10, clock.Time(10).Add(hung)) }, true},
		"a connection hangs while others answer": {func(m *reach.Monitor) bool {
			m.Heard("d", 100)
			return m.ConnectFailed("a", 10, clock.Time(10).Add(hung))
		}, false},
		"two sends are unanswered": {func(m *reach.Monitor) bool {
			m.Unanswered("a", 10)
			return m.Unanswered("b", 10)
		}, false},
		"three sends are unanswered": {func(m *reach.Monitor) bool {
			m.Unanswered("a", 10)
			m.Unanswered("b", 10)
			return m.Unanswered("c", 10)
		}, true},
		"three sends are unanswered since the latest answer": {func(m *reach.Monitor) bool {
			m.Heard("d", 10)
			m.Unanswered("a", 10)
			m.Unanswered("b", 10)
			return m.Unanswered("c", 10)
		}, true},
		"three sends are unanswered while others answer": {func(m *reach.Monitor) bool {
			m.Unanswered("a", 10)
			m.Unanswered("b", 10)
			m.Heard("d", 41)
			return m.Unanswered("c", 10)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.play(newMonitor())); diff != "" {
				t.Errorf("probe (-want +got):\n%s", diff)
			}
		})
	}
}

// failThree lets three connections fail and reports whether a probe must be made.
func failThree(m *reach.Monitor, now clock.Time) (probe bool) {
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		probe = m.ConnectFailed(id, now, now) || probe
	}
	return probe
}

// TestIsolation guards against an instance that stays isolated although it reaches
// targets again, and against probes that follow each other without a pause while some
// targets are down.
func TestIsolation(t *testing.T) {
	m := newMonitor()
	type step struct{ Probe, Changed, Isolated bool }
	var got []step
	probe := failThree(m, 10)
	for _, s := range []struct {
		reached int
		now     clock.Time
	}{{0, 20}, {0, 500}, {1, 1000}} {
		changed := m.Probed(s.reached, s.now)
		got = append(got, step{probe, changed, m.Isolated()})
		probe = false
	}
	got = append(got, step{Probe: failThree(m, 1100)}, step{Probe: failThree(m, 1110)})
	want := []step{{true, true, true}, {false, false, true}, {false, true, false}, {Probe: true}, {Probe: false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("steps (-want +got):\n%s", diff)
	}
	if pause := m.ProbeAt().Sub(1000); pause < 100 {
		t.Errorf("the next probe may follow after %d ms, want 100 or more", pause)
	}
}

// TestFewTargets guards against a deployment with fewer targets than a suspicion needs.
func TestFewTargets(t *testing.T) {
	m := &reach.Monitor{}
	m.SetTargets(1)
	if !m.ConnectFailed("a", 10, 11) {
		t.Error("no probe after the only target failed")
	}
}
