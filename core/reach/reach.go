// Package reach decides whether an instance is isolated from the targets. A target that
// can't be reached is most often down itself. When several can't be reached, or none is
// heard from, the instance makes a probe: it opens connections to a few targets. If none
// of them can be reached either, the instance is isolated, and other instances should
// run its requests until a probe reaches a target again.
//
// The package does no input or output: its user reports what the targets do, and makes
// the probes.
package reach

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Parameters of the suspicion that the instance is isolated.
const (
	// suspectedTargets is the number of targets that must fail for a suspicion.
	suspectedTargets = 3
	// minSilence is the time without an answer of any target after which one failed
	// connection is enough for a suspicion.
	minSilence = 100 * clock.Millisecond
	// probeBackoff is the time after a probe that reached a target until another one
	// may follow.
	probeBackoff = clock.Second / 2
)

// ProbeSize is the number of targets that a probe tries to reach.
const ProbeSize = 4

// Monitor collects what is known about the reachability of the targets. The zero
// Monitor is ready to use, and its instance is not isolated.
type Monitor struct {
	targets int // that are known

	heardAt  clock.Time                 // latest answer of any target
	failing  map[topology.TargetID]bool // targets whose connections have begun to fail since the last probe that reached a target
	silent   map[topology.TargetID]bool // targets with an unanswered send that has ended or become overdue since heardAt
	probing  bool                       // a probe is due or under way
	probeAt  clock.Time                 // earliest time of the next probe
	isolated bool
}

// SetTargets sets the number of known targets.
func (m *Monitor) SetTargets(n int) { m.targets = n }

// Heard notes an answer of a target.
func (m *Monitor) Heard(id topology.TargetID, now clock.Time) {
	m.heardAt = now
	delete(m.failing, id)
	clear(m.silent)
}

// ConnectFailed notes that the target can't be reached any more. sent is when the send
// began that needed the connection. It reports whether a probe must be made, at ProbeAt.
func (m *Monitor) ConnectFailed(id topology.TargetID, sent, now clock.Time) (probe bool) {
	if m.failing == nil {
		m.failing = map[topology.TargetID]bool{}
	}
	m.failing[id] = true
	silent := !m.HeardSince(sent) && now.Sub(sent) >= minSilence
	return (silent || m.suspicious(len(m.failing))) && m.startProbe()
}

// Unanswered notes that a send to the target, which began at sent, is overdue or was
// lost. It reports whether a probe must be made, at ProbeAt.
func (m *Monitor) Unanswered(id topology.TargetID, sent clock.Time) (probe bool) {
	if m.HeardSince(sent) {
		return false
	}
	if m.silent == nil {
		m.silent = map[topology.TargetID]bool{}
	}
	m.silent[id] = true
	return m.suspicious(len(m.silent)) && m.startProbe()
}

// suspicious reports whether so many failing targets are reason for a probe.
func (m *Monitor) suspicious(targets int) bool { return targets >= min(suspectedTargets, m.targets) }

// startProbe notes that a probe is due. It reports false if one was already.
func (m *Monitor) startProbe() bool {
	if m.probing {
		return false
	}
	m.probing = true
	return true
}

// ProbeAt returns the earliest time of the next probe.
func (m *Monitor) ProbeAt() clock.Time { return m.probeAt }

// Probed notes the end of a probe that reached a number of targets. If it reached none,
// the instance is isolated and the next probe is under way; else the probes end. It
// reports whether the instance has become isolated or has ceased to be.
func (m *Monitor) Probed(reached int, now clock.Time) (changed bool) {
	before := m.isolated
	m.isolated = reached == 0
	if !m.isolated {
		m.probing, m.probeAt = false, now.Add(probeBackoff)
		clear(m.failing)
		clear(m.silent)
	}
	return m.isolated != before
}

// HeardSince reports whether a target has answered since a time.
func (m *Monitor) HeardSince(t clock.Time) bool { return t.Before(m.heardAt) }

// Isolated reports whether the instance reaches no target.
func (m *Monitor) Isolated() bool { return m.isolated }
