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
	askPeriod = 200 * clock.Millisecond
	// announcePeriod collects changes of the table, so that a burst of them
	// causes one announcement.
	announcePeriod = 50 * clock.Millisecond
	// announceFanout peers hear of a change at once; their frames carry it on,
	// so that it reaches 690 instances in about five steps.
	announceFanout = 3

	holdingsPrefix = "holdings/"
)

// spread keeps copies of what instances pass on to each other.
type spread struct {
	buckets    map[string]message.StoredObject
	tableHash  uint64
	asked      map[topology.InstanceRef]clock.Time
	announceAt clock.Time // when a change is announced; 0 when there is none
	rank       uint64     // varies the choice of peers
	liveHash   uint64
	liveAt     clock.Time // of the next regular look at the members
}

func newSpread() spread {
	return spread{buckets: map[string]message.StoredObject{}, asked: map[topology.InstanceRef]clock.Time{}}
}

// headerSeen asks a peer for what it has newer.
func (n *Node) headerSeen(now clock.Time, from topology.InstanceRef, h message.Header) {
	behind := h.Config > uint64(n.log.Number())
	differs := h.TableHash != n.spread.tableHash
	if !behind && !differs {
		return
	}
	if at, ok := n.spread.asked[from]; ok && now.Sub(at) < askPeriod {
		return
	}
	n.spread.asked[from] = now
	if behind {
		n.sendRef(from, message.TicketsRequest{After: n.log.Number()})
	}
	if differs {
		n.sendRef(from, message.TableDigest{Versions: n.bucketVersions()})
	}
}

func (n *Node) bucketVersions() map[string]int64 {
	versions := make(map[string]int64, len(n.spread.buckets))
	for key, b := range n.spread.buckets {
		versions[key] = b.Version
	}
	return versions
}

// tableDigest sends a peer the buckets that it lacks, and asks for what it has
// newer.
func (n *Node) tableDigest(from topology.InstanceRef, d message.TableDigest) {
	var newer message.TableBuckets
	wanted := false
	for _, key := range slices.Sorted(maps.Keys(n.spread.buckets)) {
		if b := n.spread.buckets[key]; b.Version > d.Versions[key] {
			newer.Buckets = append(newer.Buckets, b)
		}
	}
	for key, version := range d.Versions {
		wanted = wanted || version > n.spread.buckets[key].Version
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
	if version <= n.spread.buckets[key].Version {
		return
	}
	b, err := holding.DecodeBucket(key, version, value)
	if err != nil {
		n.logf(LevelError, "tableMalformed", Attr{"key", key}, Attr{"err", err.Error()})
		return
	}
	n.spread.buckets[key] = message.StoredObject{Key: key, Version: version, Value: value}
	n.spread.tableHash = n.hashTable()
	n.holding(n.holder.ApplyBucket(now, b))
	for _, id := range slices.Sorted(maps.Keys(b.Entries)) {
		n.heldChanged(now, id)
	}
	n.announceSoon(now)
}

func (n *Node) hashTable() uint64 {
	var hash uint64
	for key, b := range n.spread.buckets {
		hash ^= topology.Hash64(key, strconv.FormatInt(b.Version, 10)) // the order of a map must not matter
	}
	return hash
}

// announceSoon makes some peers learn of a change without waiting for the next
// regular message.
func (n *Node) announceSoon(now clock.Time) {
	if n.spread.announceAt == 0 {
		n.spread.announceAt = now.Add(announcePeriod)
	}
}

func (n *Node) tickSpread(now clock.Time) {
	if n.spread.announceAt != 0 && now >= n.spread.announceAt {
		n.announce(now)
	}
	for ref, at := range n.spread.asked {
		if now.Sub(at) > 10*askPeriod {
			delete(n.spread.asked, ref)
		}
	}
}

// announce sends a few peers a frame, whose header carries what is in force.
func (n *Node) announce(now clock.Time) {
	n.spread.announceAt = 0
	n.spread.rank++
	live := n.members.Live(now)
	salt := n.self.Ref.String() + strconv.FormatUint(n.spread.rank, 16)
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
