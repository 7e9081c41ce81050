package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// ledger holds the charges that an instance knows, as keeper or backup. All
// charges of a fingerprint expire together, one retention period after the
// newest, so that a quarantine lasts a whole period after the second crash.
type ledger struct {
	self      topology.InstanceRef
	retention clock.Duration
	charges   map[message.Fingerprint][]message.CrashRecord // never empty lists
}

// fingerprints returns the charged fingerprints in ascending order.
func (l *ledger) fingerprints() []message.Fingerprint {
	return sortedKeys(l.charges)
}

func sortedKeys[V any](m map[message.Fingerprint]V) []message.Fingerprint {
	return slices.SortedFunc(maps.Keys(m), func(a, b message.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
}

// get returns the charges of fp that have not expired.
func (l *ledger) get(unix int64, fp message.Fingerprint) []message.CrashRecord {
	list := l.charges[fp]
	if len(list) > 0 && unix >= l.until(unix, fp) {
		l.removeIf(fp, func(c message.CrashRecord) bool { return !young(unix, c) })
	}
	return l.charges[fp]
}

// until returns when the charges of fp expire, in Unix ms. A canary that may be
// under way does not prolong the others.
func (l *ledger) until(unix int64, fp message.Fingerprint) int64 {
	var newest int64
	for _, c := range l.charges[fp] {
		if !young(unix, c) {
			newest = max(newest, c.At)
		}
	}
	return newest + int64(l.retention)
}

// young reports whether c is a canary that may be under way.
func young(unix int64, c message.CrashRecord) bool { return !c.Crashed && unix < c.At+int64(openTerm) }

// put adds a charge or updates it. A keeper runs one canary of a fingerprint at
// a time and announces it with all its earlier crashes, so only the last of its
// open charges can still be unknown.
func (l *ledger) put(fp message.Fingerprint, c message.CrashRecord) {
	if !c.Crashed {
		later := func(x message.CrashRecord) bool { return !x.Crashed && x.Coordinator == c.Coordinator && x.Seq > c.Seq }
		if slices.ContainsFunc(l.charges[fp], later) {
			return
		}
		l.removeIf(fp, func(x message.CrashRecord) bool { return !x.Crashed && x.Coordinator == c.Coordinator && x.Seq < c.Seq })
	}
	list := l.charges[fp]
	i, exists := slices.BinarySearchFunc(list, c, compareCharges)
	if !exists {
		l.charges[fp] = slices.Insert(list, i, c)
		return
	}
	list[i].Crashed = list[i].Crashed || c.Crashed
	list[i].At = max(list[i].At, c.At)
}

func (l *ledger) remove(fp message.Fingerprint, keeper topology.InstanceRef, seq uint64) {
	l.removeIf(fp, func(c message.CrashRecord) bool { return c.Coordinator == keeper && c.Seq == seq })
}

func (l *ledger) removeIf(fp message.Fingerprint, drop func(message.CrashRecord) bool) {
	list := slices.DeleteFunc(l.charges[fp], drop)
	if len(list) == 0 {
		delete(l.charges, fp)
		return
	}
	l.charges[fp] = list
}

// merge takes the charges that another instance knows. Each instance is the
// authority for its own open charges: one of the sender that it does not list
// is over, and one of this instance that is not in the ledger is too.
func (l *ledger) merge(from topology.InstanceRef, fp message.Fingerprint, charges []message.CrashRecord) {
	l.removeIf(fp, func(c message.CrashRecord) bool { return c.Coordinator == from && !c.Crashed })
	for _, c := range charges {
		if c.Coordinator != l.self || c.Crashed {
			l.put(fp, c)
		}
	}
}

func compareCharges(a, b message.CrashRecord) int {
	return cmp.Or(
		cmp.Compare(a.Coordinator.ID, b.Coordinator.ID),
		cmp.Compare(a.Coordinator.Incarnation, b.Coordinator.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// except returns the charges other than the one of keeper and seq.
func except(list []message.CrashRecord, keeper topology.InstanceRef, seq uint64) []message.CrashRecord {
	return slices.DeleteFunc(slices.Clone(list), func(c message.CrashRecord) bool { return c.Coordinator == keeper && c.Seq == seq })
}
