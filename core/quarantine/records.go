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

// recordSet holds the crash records that an instance knows, as coordinator or as
// backup. A record is open until the result of its canary is known. All records of
// a fingerprint expire together, one retention period after the newest, so that a
// quarantine lasts a whole period after the second crash.
type recordSet struct {
	self          topology.InstanceRef
	retention     clock.Duration
	byFingerprint map[message.Fingerprint][]message.CrashRecord // sorted by compareRecords; no list is empty
}

// fingerprints returns the fingerprints that have records, in ascending order.
func (s *recordSet) fingerprints() []message.Fingerprint {
	return sortedKeys(s.byFingerprint)
}

func sortedKeys[V any](m map[message.Fingerprint]V) []message.Fingerprint {
	return slices.SortedFunc(maps.Keys(m), func(a, b message.Fingerprint) int { return bytes.Compare(a[:], b[:]) })
}

// get returns the records of fp that have not expired.
func (s *recordSet) get(unix int64, fp message.Fingerprint) []message.CrashRecord {
	list := s.byFingerprint[fp]
	if len(list) > 0 && unix >= s.expiresAt(unix, fp) {
		s.removeWhere(fp, func(c message.CrashRecord) bool { return !mayBeRunning(unix, c) })
	}
	return s.byFingerprint[fp]
}

// expiresAt returns when the records of fp expire, in Unix ms. A canary that may
// be running does not prolong the others.
func (s *recordSet) expiresAt(unix int64, fp message.Fingerprint) int64 {
	var newest int64
	for _, c := range s.byFingerprint[fp] {
		if !mayBeRunning(unix, c) {
			newest = max(newest, c.At)
		}
	}
	return newest + int64(s.retention)
}

// mayBeRunning reports whether c is the record of a canary that may be running.
func mayBeRunning(unix int64, c message.CrashRecord) bool {
	return !c.Crashed && unix < c.At+int64(openTimeout)
}

// put adds or updates a record. A coordinator runs one canary of a fingerprint at
// a time and announces it with all its earlier crashes, so only the result of its
// last open record can still be unknown.
func (s *recordSet) put(fp message.Fingerprint, c message.CrashRecord) {
	if !c.Crashed {
		later := func(x message.CrashRecord) bool { return !x.Crashed && x.Coordinator == c.Coordinator && x.Seq > c.Seq }
		if slices.ContainsFunc(s.byFingerprint[fp], later) {
			return
		}
		s.removeWhere(fp, func(x message.CrashRecord) bool { return !x.Crashed && x.Coordinator == c.Coordinator && x.Seq < c.Seq })
	}
	list := s.byFingerprint[fp]
	i, exists := slices.BinarySearchFunc(list, c, compareRecords)
	if !exists {
		s.byFingerprint[fp] = slices.Insert(list, i, c)
		return
	}
	list[i].Crashed = list[i].Crashed || c.Crashed
	list[i].At = max(list[i].At, c.At)
}

func (s *recordSet) remove(fp message.Fingerprint, coordinator topology.InstanceRef, seq uint64) {
	s.removeWhere(fp, func(c message.CrashRecord) bool { return c.Coordinator == coordinator && c.Seq == seq })
}

func (s *recordSet) removeWhere(fp message.Fingerprint, drop func(message.CrashRecord) bool) {
	list := slices.DeleteFunc(s.byFingerprint[fp], drop)
	if len(list) == 0 {
		delete(s.byFingerprint, fp)
		return
	}
	s.byFingerprint[fp] = list
}

// merge adds the records that another instance knows. Each instance is the
// authority for its own open records: a canary of the sender that the sender does
// not list has ended, and so has one of this instance that is not in the set.
func (s *recordSet) merge(from topology.InstanceRef, fp message.Fingerprint, records []message.CrashRecord) {
	s.removeWhere(fp, func(c message.CrashRecord) bool { return c.Coordinator == from && !c.Crashed })
	for _, c := range records {
		if c.Coordinator != s.self || c.Crashed {
			s.put(fp, c)
		}
	}
}

func compareRecords(a, b message.CrashRecord) int {
	return cmp.Or(
		cmp.Compare(a.Coordinator.ID, b.Coordinator.ID),
		cmp.Compare(a.Coordinator.Incarnation, b.Coordinator.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// without returns the records other than the one of coordinator and seq.
func without(list []message.CrashRecord, coordinator topology.InstanceRef, seq uint64) []message.CrashRecord {
	return slices.DeleteFunc(slices.Clone(list), func(c message.CrashRecord) bool { return c.Coordinator == coordinator && c.Seq == seq })
}
