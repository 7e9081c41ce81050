package node

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"knapweedstall/core/clock"
	"knapweedstall/core/holding"
	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

const (
	// askPeriod limits how often one peer is asked for what it has newer.
	requestInterval = 200 * clock.Millisecond
	// announcePeriod collects changes of the table, so that a burst of them
	// causes one announcement.
	announceDelay = 50 * clock.Millisecond
	// announceFanout peers hear of a change at once; their frames carry it on,
	// so that it reaches 690 instances in about five steps.
	announceFanout = 3

	holdingsPrefix = "holdings/"
)

// spread keeps copies of what instances pass on to each other.
type propagation struct {
	buckets          map[string]message.StoredObject
	tableHash        uint64
	askedAt          map[topology.InstanceRef]clock.Time
	announceAt       clock.Time // when a change is announced; 0 when there is none
	announceCount    uint64     // varies the choice of peers
	membersHash      uint64
	nextMembersCheck clock.Time // of the next regular look at the members
}

func newPropagation() propagation {
	return propagation{buckets: map[string]message.StoredObject{}, askedAt: map[topology.InstanceRef]clock.Time{}}
}

// headerSeen asks a peer for what it has newer.
func (n *Node) handleHeader(now clock.Time, from topology.InstanceRef, h message.Header) {
	behind := h.Config > uint64(n.configLog.Number())
	differs := h.TableHash != n.propagation.tableHash
	if !behind && !differs {
		return
	}
	if at, ok := n.propagation.askedAt[from]; ok && now.Sub(at) < requestInterval {
		return
	}
	n.propagation.askedAt[from] = now
	if behind {
		n.sendRef(from, message.TicketsRequest{After: n.configLog.Number()})
	}
	if differs {
		n.sendRef(from, message.TableDigest{Versions: n.bucketVersions()})
	}
}

func (n *Node) bucketVersions() map[string]int64 {
	versions := make(map[string]int64, len(n.propagation.buckets))
	for key, b := range n.propagation.buckets {
		versions[key] = b.Version
	}
	return versions
}

// tableDigest sends a peer the buckets that it lacks, and asks for what it has
// newer.
func (n *Node) tableDigest(from topology.InstanceRef, d message.TableDigest) {
	var newer message.TableBuckets
	wanted := false
	for _, key := range slices.Sorted(maps.Keys(n.propagation.buckets)) {
		if b := n.propagation.buckets[key]; b.Version > d.Versions[key] {
			newer.Buckets = append(newer.Buckets, b)
		}
	}
	for key, version := range d.Versions {
		wanted = wanted || version > n.propagation.buckets[key].Version
	}
	if len(newer.Buckets) > 0 {
		n.sendRef(from, newer)
	}
	if wanted && !d.Reply {
		n.sendRef(from, message.TableDigest{Versions: n.bucketVersions(), Reply: true})
	}
}

func (n *Node) tableBuckets(now clock.Time, m message.TableBuckets) {
	for _, b := range m.Buckets {
		if strings.HasPrefix(b.Key, holdingsPrefix) {
			n.bucketSeen(now, b.Key, b.Version, b.Value)
		}
	}
}

// bucketSeen adopts a bucket of the holder table if it is newer than the copy.
func (n *Node) bucketSeen(now clock.Time, key string, version int64, value []byte) {
	if version <= n.propagation.buckets[key].Version {
		return
	}
	b, err := holding.DecodeBucket(key, version, value)
	if err != nil {
		n.logf(LevelError, "tableMalformed", Attr{"key", key}, Attr{"err", err.Error()})
		return
	}
	n.propagation.buckets[key] = message.StoredObject{Key: key, Version: version, Value: value}
	n.propagation.tableHash = n.computeTableHash()
	n.executeHolder(n.holder.ApplyBucket(now, b))
	for _, id := range slices.Sorted(maps.Keys(b.Entries)) {
		n.heldChanged(now, id)
	}
	n.scheduleAnnounce(now)
}

func (n *Node) computeTableHash() uint64 {
	var hash uint64
	for key, b := range n.propagation.buckets {
		hash ^= topology.Hash64(key, strconv.FormatInt(b.Version, 10)) // the order of a map must not matter
	}
	return hash
}

// announceSoon makes some peers learn of a change without waiting for the next
// regular message.
func (n *Node) scheduleAnnounce(now clock.Time) {
	if n.propagation.announceAt == 0 {
		n.propagation.announceAt = now.Add(announceDelay)
	}
}

func (n *Node) tickPropagation(now clock.Time) {
	if n.propagation.announceAt != 0 && now >= n.propagation.announceAt {
		n.announce(now)
	}
	for ref, at := range n.propagation.askedAt {
		if now.Sub(at) > 10*requestInterval {
			delete(n.propagation.askedAt, ref)
		}
	}
}

// announce sends a few peers a frame, whose header carries what is in force.
func (n *Node) announce(now clock.Time) {
	n.propagation.announceAt = 0
	n.propagation.announceCount++
	live := n.members.Live(now)
	salt := n.self.Ref.String() + strconv.FormatUint(n.propagation.announceCount, 16)
	slices.SortFunc(live, func(a, b topology.Member) int {
		return cmp.Compare(topology.Hash64(salt, string(a.Ref.ID)), topology.Hash64(salt, string(b.Ref.ID)))
	})
	sent := 0
	for _, m := range live {
		if m.Ref != n.self.Ref && sent < announceFanout {
			n.send(m, message.Announce{})
			sent++
		}
	}
}
