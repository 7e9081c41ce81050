package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

const (
	// stopGrace is the time in which the load balancer and the peers learn that
	// this instance is leaving. It serves as usual until then.
	stopGrace = 2000 * clock.Millisecond
	// stopLimit is the maximum duration of a graceful stop, for the case that a
	// handover cannot be completed, for example because the store is unavailable.
	stopLimit = 15000 * clock.Millisecond
)

func (n *Node) stopRequested(now clock.Time) {
	if n.stopping {
		return
	}
	n.stopping = true
	n.stopAt = now
	n.self.State = topology.MemberLeaving
	n.logf(LevelInfo, "stopRequested")
	n.executeHolder(n.holder.Leave(now))
	n.announce(now)
}

// checkStopped completes a graceful stop when nothing is in progress and no share
// is held any more, or when stopLimit has passed.
func (n *Node) checkStopped(now clock.Time) {
	if !n.stopping || n.stopped || now.Sub(n.stopAt) < stopGrace {
		return
	}
	inProgress := n.countInProgress()
	if inProgress+n.holder.ServicesInUse(now) > 0 && now.Sub(n.stopAt) < stopLimit {
		return
	}
	n.stopped = true
	n.logf(LevelInfo, "stopped", Attr{"unfinished", formatUint(uint64(inProgress))})
	n.emit(Stopped{})
}

// countInProgress counts what is in progress: requests of callers and operators,
// and work for other instances as a holder, as a coordinator of canaries and as a
// writer of claims.
func (n *Node) countInProgress() int {
	inProgress := len(n.searches) + len(n.filings) + n.runsInProgress() + n.canaries.coordinator.Pending()
	for _, h := range n.held {
		if !h.idle() {
			inProgress++
		}
	}
	for _, j := range n.runs.journals {
		if !j.Idle() {
			inProgress++
		}
	}
	return inProgress
}
