package gateway

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/replica"
	"knapweedstall/core/topology"
	"knapweedstall/io/delegate"
	"knapweedstall/platform"
)

// observeStatement notes what the answer to a send says about the target. mu must be held.
func (g *Gateway) observeStatement(s fanout.Send, stated replica.Statement, sent, now clock.Time) {
	if limit := stated.Limit; g.targets.ObserveLimit(s.Target, limit, sent, now) {
		g.log.Info("target's limit of requests changed", "service", s.Service, "target", s.Target.ID, "limit", limit.Kind, "perSecond", float64(limit.Rate))
	}
	if stated.Leaving && g.targets.ObserveLeaving(s.Target, now) {
		g.metrics.targetsLeaving.Inc(1)
		g.log.Info("target states that it is leaving", "service", s.Service, "target", s.Target.ID)
	}
	switch pause := stated.Pause; {
	case pause.Invalid:
		g.log.Warn("invalid pause of a target ignored", "service", s.Service, "target", s.Target.ID)
	case pause.Length > 0:
		g.targets.ObservePause(s.Target, pause, now)
		g.metrics.pausesAsked.Inc(1)
		g.log.Info("target asks for no requests", "service", s.Service, "target", s.Target.ID, "pauseMs", int64(pause.Length))
	}
}

// observeDelegated notes that the target of an answer that another instance has read, and
// that this one forwards, is leaving.
func (g *Gateway) observeDelegated(a delegate.Answer) {
	if a.Target == "" || !platform.Leaving(a.Header) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets.Target(topology.TargetID(a.Target))
	if t != nil && g.targets.ObserveLeaving(t, g.clock.Now()) {
		g.metrics.targetsLeaving.Inc(1)
		g.log.Info("target states that it is leaving", "service", t.Service, "target", t.ID)
	}
}
