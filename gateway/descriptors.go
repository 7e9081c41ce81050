package gateway

import (
	"syscall"

	"knapweedstall/core/clock"
)

// Division of the process's file descriptors.
const (
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// callersPart is the part of the others that callers' connections may use. Those to
	// targets, instances and the store, and those of instances, use the rest.
	callersPart = 0.75
)

// acceptLogPeriod is the time between two log lines about connections that could not be
// accepted.
const acceptLogPeriod = clock.Second

// maxCallerConnections returns how many connections of callers may be open, by the limit of
// file descriptors of the process; 0 for no bound, if the limit is not known.
func maxCallerConnections() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur <= reservedDescriptors || limit.Cur > 1<<30 {
		return 0
	}
	return max(int(callersPart*float64(limit.Cur-reservedDescriptors)), 1)
}

// acceptFailed logs that a connection could not be accepted.
func (g *Gateway) acceptFailed(err error) {
	g.metrics.acceptsFailed.Inc(1)
	if more, ok := g.acceptLines.admit(g.clock.Now()); ok {
		g.log.Warn("a connection could not be accepted", "err", err, "moreBefore", more)
	}
}
