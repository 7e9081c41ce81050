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
	// requestInterval is the minimum interval between two requests to one peer
	// for its newer data.
	requestInterval = 200 * clock.Millisecond
	// announceDelay is the time between a change of the holder table and its
	// announcement, so that a burst of changes causes one announcement.
	announceDelay = 50 * clock.Millisecond
	// announceFanout is the number of peers that receive an announcement. The
	// headers of their frames pass it on, so a change reaches 690 instances in
	// about five steps.
	announceFanout = 3

	holdingsPrefix = "holdings/"
)

// propagation is the state of passing the configuration and the holder table
// from instance to instance. The header of every frame tells which versions the
// sender has, and a receiver whose versions are older requests the newer ones.
type propagation struct {
	buckets          map[string]message.StoredObject // local copy of the holder table, by key
	tableHash        uint64
	askedAt          map[topology.InstanceRef]clock.Time // when newer data was last requested from each peer
	announceAt       clock.Time                          // when a change is to be announced; 0 if there is none
	announceCount    uint64                              // selects other peers for each announcement
	membersHash      uint64                              // of the members that were last passed on
	nextMembersCheck clock.Time
}

func newPropagation() propagation {
	return propagation{buckets: map[string]message.StoredObject{}, askedAt: map[topology.InstanceRef]clock.Time{}}
}

// handleHeader requests from a peer the data that its header shows to be newer.
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

// tableDigest sends a peer the buckets of which it has an older version or none,
// and requests those of which it has a newer version.
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

// bucketSeen applies a bucket of the holder table if it is newer than the local
// copy.
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
		hash ^= topology.Hash64(key, strconv.FormatInt(b.Version, 10)) // XOR, because the order of a map is random
	}
	return hash
}

// scheduleAnnounce schedules an announcement, so that some peers learn of a change
// before the next regular message.
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

// announce sends a frame to a few peers. Its header carries the current versions.
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
