package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"strconv"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/object"
	"knapweedstall/core/topology"
)

const (
	numBuckets      = 16
	minStoreBackoff = 200 * clock.Millisecond
	maxStoreBackoff = 5 * clock.Second
)

// bucket is the local copy of one object crashes/<n> in the platform's store,
// which holds the crash records of the fingerprints that hash to n.
type bucket struct {
	key         object.Key
	version     object.Version
	loaded      bool              // version is believed current, and its crashes are in the coordinator's records
	dirty       bool              // the coordinator's records have a crash that the object may lack
	callPending bool              // a read or write is outstanding
	stored      map[recordID]bool // crashes that the object holds; nil before the first read
	inWrite     map[recordID]bool // crashes that the outstanding write contains
	backoff     clock.Duration    // next wait while the store is unavailable
	retryAt     clock.Time        // no store call is made before then
}

// recordID identifies a crash record.
type recordID struct {
	fp          message.Fingerprint
	coordinator topology.InstanceRef
	seq         uint64
}

// storedCrash is the stored form of a record with Crashed set.
type storedCrash struct {
	Fingerprint string               `json:"fingerprint"` // hexadecimal
	Coordinator topology.InstanceRef `json:"keeper"`
	Seq         uint64               `json:"seq"`
	At          int64                `json:"at"` // Unix ms
}

func bucketOf(fp message.Fingerprint) int {
	return int(topology.Hash64(string(fp[:])) % numBuckets)
}

func bucketKey(n int) object.Key { return object.Key("crashes/" + strconv.Itoa(n)) }

// nextWake returns when the bucket needs the next Tick, or 0.
func (b *bucket) nextWake() clock.Time {
	if b.dirty && !b.callPending {
		return b.retryAt
	}
	return 0
}

// bucketReady reports whether the bucket of fp was read and holds the given
// crashes of fp. While the store is unavailable it reports true, because the
// backup acknowledges the crashes instead.
func (co *Coordinator) bucketReady(now clock.Time, fp message.Fingerprint, records []message.CrashRecord) bool {
	b := &co.buckets[bucketOf(fp)]
	if !b.callPending && now < b.retryAt {
		return true
	}
	for _, c := range records {
		if c.Crashed && !b.stored[recordID{fp, c.Coordinator, c.Seq}] {
			b.dirty = true
			return false
		}
	}
	return b.stored != nil
}

// Start reads all buckets, so that crashes recorded before this process started
// count. Without Start a bucket is read when it is first needed.
func (co *Coordinator) Start(clock.Time) []Command {
	var out []Command
	for i := range co.buckets {
		co.buckets[i].callPending = true
		out = append(out, ReadObject{object.Read{Key: co.buckets[i].key}})
	}
	return out
}

// startStoreCall starts the next read or write of bucket n if one is needed. A
// bucket that was never read is read before the first canary of one of its
// fingerprints.
func (co *Coordinator) startStoreCall(now clock.Time, n int) []Command {
	b := &co.buckets[n]
	if b.callPending || now < b.retryAt || b.loaded && !b.dirty {
		return nil
	}
	if !b.loaded {
		if !b.dirty && !co.awaitsBucket(n) {
			return nil
		}
		b.callPending = true
		return []Command{ReadObject{object.Read{Key: b.key}}}
	}
	value, ids := co.encodeBucket(now, n)
	b.callPending = true
	b.inWrite = ids
	return []Command{WriteObject{object.Write{Key: b.key, Expect: b.version, Value: value}}}
}

// awaitsBucket reports whether a queue waits for bucket n.
func (co *Coordinator) awaitsBucket(n int) bool {
	for fp, q := range co.queues {
		if q.phase == phaseAwaitingBucket && bucketOf(fp) == n {
			return true
		}
	}
	return false
}

// encodeBucket returns the encoded object with all crashes known here, and the
// ids of these crashes.
func (co *Coordinator) encodeBucket(now clock.Time, n int) ([]byte, map[recordID]bool) {
	wire := struct {
		Crashes []storedCrash `json:"crashes"`
	}{Crashes: []storedCrash{}}
	ids := map[recordID]bool{}
	for _, fp := range co.records.fingerprints() {
		if bucketOf(fp) != n {
			continue
		}
		for _, c := range co.records.get(co.unix(now), fp) {
			if c.Crashed {
				wire.Crashes = append(wire.Crashes, storedCrash{hex.EncodeToString(fp[:]), c.Coordinator, c.Seq, c.At})
				ids[recordID{fp, c.Coordinator, c.Seq}] = true
			}
		}
	}
	value, err := json.Marshal(wire)
	if err != nil {
		panic(err) // a crash has no field that can fail to encode
	}
	return value, ids
}

// loadBucket adds the crashes of the stored object to the records. Entries that
// cannot be decoded are skipped; the next write replaces them.
func (co *Coordinator) loadBucket(now clock.Time, n int, v object.Version, value []byte) {
	var wire struct {
		Crashes []storedCrash `json:"crashes"`
	}
	if len(value) > 0 && json.Unmarshal(value, &wire) != nil {
		wire.Crashes = nil
	}
	b := &co.buckets[n]
	b.version = v
	b.loaded = true
	b.stored = map[recordID]bool{}
	for _, c := range wire.Crashes {
		var fp message.Fingerprint
		if size, err := hex.Decode(fp[:], []byte(c.Fingerprint[:min(len(c.Fingerprint), 2*len(fp))])); err != nil || size != len(fp) {
			continue
		}
		b.stored[recordID{fp, c.Coordinator, c.Seq}] = true
		if c.At+int64(co.records.retention) > co.unix(now) {
			co.records.put(fp, message.CrashRecord{Coordinator: c.Coordinator, Seq: c.Seq, Crashed: true, At: c.At})
		}
	}
	b.dirty = co.hasUnstored(now, n)
}

// hasUnstored reports whether the records have a crash that the object lacks.
func (co *Coordinator) hasUnstored(now clock.Time, n int) bool {
	_, ids := co.encodeBucket(now, n)
	for id := range ids {
		if !co.buckets[n].stored[id] {
			return true
		}
	}
	return false
}

// ApplyBucket handles an object that a watch or a peer delivered. Older versions
// and other keys are ignored.
func (co *Coordinator) ApplyBucket(now clock.Time, r object.ReadResult) []Command {
	n := co.bucketIndex(r.Key)
	if n < 0 || !r.Known || co.buckets[n].callPending || r.Version <= co.buckets[n].version {
		return nil
	}
	co.loadBucket(now, n, r.Version, r.Value)
	return co.advanceBucket(now, n)
}

// ReadDone handles the result of a read.
func (co *Coordinator) ReadDone(now clock.Time, r object.ReadResult) []Command {
	n := co.bucketIndex(r.Key)
	if n < 0 || !co.buckets[n].callPending {
		return nil
	}
	if !r.Known {
		return co.storeFailed(now, n)
	}
	co.buckets[n].storeRecovered()
	co.loadBucket(now, n, r.Version, r.Value)
	return co.advanceBucket(now, n)
}

// WriteDone handles the result of a write. A write holds the union of all known
// crashes, so after a conflict or a lost reply the object is read and, if a crash
// is still missing, written again.
func (co *Coordinator) WriteDone(now clock.Time, r object.WriteResult) []Command {
	n := co.bucketIndex(r.Key)
	if n < 0 || !co.buckets[n].callPending {
		return nil
	}
	b := &co.buckets[n]
	switch r.Status {
	case object.NotSent:
		return co.storeFailed(now, n)
	case object.Written:
		b.version = r.Version
		b.stored = b.inWrite
		b.dirty = co.hasUnstored(now, n)
	default:
		b.loaded = false
	}
	b.storeRecovered()
	return co.advanceBucket(now, n)
}

func (b *bucket) storeRecovered() {
	b.callPending = false
	b.backoff = minStoreBackoff
	b.retryAt = 0
}

func (co *Coordinator) storeFailed(now clock.Time, n int) []Command {
	b := &co.buckets[n]
	b.callPending = false
	b.retryAt = now.Add(b.backoff)
	b.backoff = min(2*b.backoff, maxStoreBackoff)
	return co.advanceBucket(now, n)
}

// advanceBucket starts the next store call of the bucket and continues the queues
// that waited for it.
func (co *Coordinator) advanceBucket(now clock.Time, n int) []Command {
	out := co.startStoreCall(now, n)
	for _, fp := range sortedKeys(co.queues) {
		q := co.queues[fp]
		if q.phase == phaseAwaitingBucket && bucketOf(fp) == n && co.bucketReady(now, fp, co.records.get(co.unix(now), fp)) {
			q.phase = phaseIdle
			out = append(out, co.advance(now, fp)...)
		}
	}
	return out
}

// bucketIndex returns the index of the bucket with the key, or -1.
func (co *Coordinator) bucketIndex(key object.Key) int {
	for i := range co.buckets {
		if co.buckets[i].key == key {
			return i
		}
	}
	return -1
}
