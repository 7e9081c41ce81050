package replica

import (
	"slices"

	"knapweedstall/core/rollout"
	"knapweedstall/core/routing"
)

// VersionRule tells which targets a send may go to, by the version of their software.
type VersionRule interface {
	// Prefers reports whether targets of the version are used before others.
	Prefers(rollout.Version) bool
	// Permits reports whether targets of the version may be used if no preferred one
	// can be used now.
	Permits(rollout.Version) bool
	// PermitsUnreached reports whether targets of the version may be used if no
	// permitted one can be reached. A target that is busy, cold, paced or limited can
	// be reached.
	PermitsUnreached(rollout.Version) bool
}

// selectByRule selects a target of a version that the rule permits. rule is nil when
// there is none.
func (p *pick) selectByRule(rule VersionRule) *Target {
	if rule == nil {
		return p.selectFirst(func(rollout.Version) bool { return true })
	}
	permitted := func(v rollout.Version) bool { return rule.Permits(v) && !rule.Prefers(v) }
	if t := p.selectFirst(rule.Prefers, permitted); t != nil {
		return t
	}
	unreached := func(v rollout.Version) bool { return rule.PermitsUnreached(v) && !rule.Permits(v) && !rule.Prefers(v) }
	if !p.anyUnreached(unreached) || p.reachesPermitted(rule) {
		return nil
	}
	return p.selectFirst(unreached)
}

// selectFirst selects a target of a version that the first of the functions allows for
// which there is one. Targets that are leaving come last.
func (p *pick) selectFirst(allowed ...func(rollout.Version) bool) *Target {
	for _, lastResort := range []bool{false, true} {
		for _, f := range allowed {
			if t := p.selectAmong(f, lastResort); t != nil {
				return t
			}
		}
	}
	return nil
}

// anyUnreached reports whether the service has a target of an allowed version.
func (p *pick) anyUnreached(allowed func(rollout.Version) bool) bool {
	return slices.ContainsFunc(p.set.services[p.service], func(t *Target) bool { return allowed(t.Version) })
}

// reachesPermitted reports whether a target that the rule permits can be reached as far
// as is known, whether or not it is excluded.
func (p *pick) reachesPermitted(rule VersionRule) bool {
	return slices.ContainsFunc(p.set.services[p.service], func(t *Target) bool {
		if !rule.Permits(t.Version) && !rule.Prefers(t.Version) || p.set.unlisted(t, p.now) {
			return false
		}
		reason, _ := p.set.unusableReason(t, p.svc, p.now)
		return reason != Down
	})
}

// HasVersion reports whether a target of the service has the version.
func (s *Set) HasVersion(name routing.ServiceName, v rollout.Version) bool {
	return slices.ContainsFunc(s.services[name], func(t *Target) bool { return t.Version == v })
}
