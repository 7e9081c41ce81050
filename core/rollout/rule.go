package rollout

import "slices"

// Rule tells which targets of a service a send may go to, by their version. The zero
// Rule prefers all. A send goes to a preferred target if one can be used now, else to a
// permitted one.
type Rule struct {
	kind    ruleKind
	version Version   // of the order; unused by anyVersion
	base    Version   // the only version besides that of the order, if not ""
	barred  []Version // of orders that were rolled back
	// lastResort has the versions whose decision this instance may not know.
	lastResort []Version
}

// ruleKind is which versions a Rule prefers and permits.
type ruleKind int

const (
	anyVersion ruleKind = iota
	oldOnly
	newOnly
	newPreferred // old targets are permitted
)

// Prefers reports whether targets of the version are used before others.
func (r Rule) Prefers(v Version) bool {
	if r.kind == newPreferred {
		return v == r.version
	}
	return r.Permits(v)
}

// Permits reports whether a target of the version may be used if no preferred one can
// be used now.
func (r Rule) Permits(v Version) bool {
	switch {
	case slices.Contains(r.barred, v) || v != r.version && slices.Contains(r.lastResort, v):
		return false
	case r.kind == newOnly:
		return v == r.version
	case v == r.version && r.kind != anyVersion:
		return r.kind == newPreferred
	default:
		return r.base == "" || v == r.base
	}
}

// PermitsUnreached reports whether a target of the version may be used if no permitted
// target is listed or can be reached. Busy, cold, paced and limited targets can be
// reached.
func (r Rule) PermitsUnreached(v Version) bool { return slices.Contains(r.lastResort, v) }
