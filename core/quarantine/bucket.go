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
	crashBuckets  = 16
	minStorePause = 200 * clock.Millisecond
	maxStorePause = 5 * clock.Second
)

// bucket is the copy of one object crashes/<n>.
type bucket struct {
	key     object.Key
	version object.Version
	loaded  bool // version is believed current, and its crashes are in the ledger
	dirty   bool // the ledger has a crash that the object may lack
	calling bool
	stored  map[chargeID]bool // crashes seen in the object; nil before the first read
	writing map[chargeID]bool
	pause   clock.Duration
	retryAt clock.Time // the store is away until then
}

type chargeID struct {
	fp     message.Fingerprint
	keeper topology.InstanceRef
	seq    uint64
}

// crash is the stored form of a crashed charge.
type crash struct {
	Fingerprint string               `json:"fingerprint"` // hexadecimal
	Keeper      topology.InstanceRef `json:"keeper"`
	Seq         uint64               `json:"seq"`
	At          int64                `json:"at"` // Unix ms
}

func bucketOf(fp message.Fingerprint) int {
	return int(topology.Hash64(string(fp[:])) % crashBuckets)
}

func bucketKey(n int) object.Key { return object.Key("crashes/" + strconv.Itoa(n)) }

// wake returns when the bucket needs the next Tick, or 0.
func (b *bucket) wake() clock.Time {
	if b.dirty && !b.calling {
		return b.retryAt
	}
	return 0
}

// bucketSettled reports whether the bucket of fp was read and holds the given
// crashes of fp. While the store is away it counts as settled, because the
// backup acknowledges the crashes instead.
func (k *Coordinator) bucketSettled(now clock.Time, fp message.Fingerprint, charges []message.CrashRecord) bool {
	b := &k.buckets[bucketOf(fp)]
	if !b.calling && now < b.retryAt {
		return true
	}
	for _, c := range charges {
		if c.Crashed && !b.stored[chargeID{fp, c.Coordinator, c.Seq}] {
			b.dirty = true
			return false
		}
	}
	return b.stored != nil
}

// Start reads all buckets, so that crashes found before this process started
// count. Without it a bucket is read when it is first needed.
func (k *Coordinator) Start(clock.Time) []Command {
	var out []Command
	for i := range k.buckets {
		k.buckets[i].calling = true
		out = append(out, ReadObject{Key: k.buckets[i].key})
	}
	return out
}

// pumpBucket starts the next read or write of bucket n if one is needed. A
// bucket that was never read is read before the first canary in it.
func (k *Coordinator) pumpBucket(now clock.Time, n int) []Command {
	b := &k.buckets[n]
	if b.calling || now < b.retryAt || b.loaded && !b.dirty {
		return nil
	}
	if !b.loaded {
		if !b.dirty && !k.storing(n) {
			return nil
		}
		b.calling = true
		return []Command{ReadObject{Key: b.key}}
	}
	value, ids := k.encodeBucket(now, n)
	b.calling = true
	b.writing = ids
	return []Command{WriteObject{Key: b.key, Expect: b.version, Value: value}}
}

func (k *Coordinator) storing(n int) bool {
	for fp, l := range k.lines {
		if l.phase == phaseStoring && bucketOf(fp) == n {
			return true
		}
	}
	return false
}

// encodeBucket returns the object with all crashes known here.
func (k *Coordinator) encodeBucket(now clock.Time, n int) ([]byte, map[chargeID]bool) {
	wire := struct {
		Crashes []crash `json:"crashes"`
	}{Crashes: []crash{}}
	ids := map[chargeID]bool{}
	for _, fp := range k.ledger.fingerprints() {
		if bucketOf(fp) != n {
			continue
		}
		for _, c := range k.ledger.get(k.unix(now), fp) {
			if c.Crashed {
				wire.Crashes = append(wire.Crashes, crash{hex.EncodeToString(fp[:]), c.Coordinator, c.Seq, c.At})
				ids[chargeID{fp, c.Coordinator, c.Seq}] = true
			}
		}
	}
	value, err := json.Marshal(wire)
	if err != nil {
		panic(err) // a crash has no field that can fail to encode
	}
	return value, ids
}

// loadBucket takes a value of the object into the ledger. Entries that cannot
// be read are skipped; the next write replaces them.
func (k *Coordinator) loadBucket(now clock.Time, n int, v object.Version, value []byte) {
	var wire struct {
		Crashes []crash `json:"crashes"`
	}
	if len(value) > 0 && json.Unmarshal(value, &wire) != nil {
		wire.Crashes = nil
	}
	b := &k.buckets[n]
	b.version = v
	b.loaded = true
	b.stored = map[chargeID]bool{}
	for _, c := range wire.Crashes {
		var fp message.Fingerprint
		if size, err := hex.Decode(fp[:], []byte(c.Fingerprint[:min(len(c.Fingerprint), 2*len(fp))])); err != nil || size != len(fp) {
			continue
		}
		b.stored[chargeID{fp, c.Keeper, c.Seq}] = true
		if c.At+int64(k.ledger.retention) > k.unix(now) {
			k.ledger.put(fp, message.CrashRecord{Coordinator: c.Keeper, Seq: c.Seq, Crashed: true, At: c.At})
		}
	}
	b.dirty = k.unstored(now, n)
}

// unstored reports whether the ledger has a crash that the object lacks.
func (k *Coordinator) unstored(now clock.Time, n int) bool {
	_, ids := k.encodeBucket(now, n)
	for id := range ids {
		if !k.buckets[n].stored[id] {
			return true
		}
	}
	return false
}

// ApplyBucket takes an object that a watch or a peer delivered. Older versions
// and other keys are ignored.
func (k *Coordinator) ApplyBucket(now clock.Time, r object.ReadResult) []Command {
	n := k.bucketAt(r.Key)
	if n < 0 || !r.Known || k.buckets[n].calling || r.Version <= k.buckets[n].version {
		return nil
	}
	k.loadBucket(now, n, r.Version, r.Value)
	return k.bucketDone(now, n)
}

// ReadDone takes the result of a read.
func (k *Coordinator) ReadDone(now clock.Time, r object.ReadResult) []Command {
	n := k.bucketAt(r.Key)
	if n < 0 || !k.buckets[n].calling {
		return nil
	}
	if !r.Known {
		return k.storeAway(now, n)
	}
	k.buckets[n].storeBack()
	k.loadBucket(now, n, r.Version, r.Value)
	return k.bucketDone(now, n)
}

// WriteDone takes the result of a write. Since a write holds the union of all
// known crashes, one whose reply was lost is simply read and made again.
func (k *Coordinator) WriteDone(now clock.Time, r object.WriteResult) []Command {
	n := k.bucketAt(r.Key)
	if n < 0 || !k.buckets[n].calling {
		return nil
	}
	b := &k.buckets[n]
	switch r.Status {
	case object.NotSent:
		return k.storeAway(now, n)
	case object.Written:
		b.version = r.Version
		b.stored = b.writing
		b.dirty = k.unstored(now, n)
	default:
		b.loaded = false
	}
	b.storeBack()
	return k.bucketDone(now, n)
}

func (b *bucket) storeBack() {
	b.calling = false
	b.pause = minStorePause
	b.retryAt = 0
}

func (k *Coordinator) storeAway(now clock.Time, n int) []Command {
	b := &k.buckets[n]
	b.calling = false
	b.retryAt = now.Add(b.pause)
	b.pause = min(2*b.pause, maxStorePause)
	return k.bucketDone(now, n)
}

// bucketDone goes on with the bucket, and with the lines that waited for it.
func (k *Coordinator) bucketDone(now clock.Time, n int) []Command {
	out := k.pumpBucket(now, n)
	for _, fp := range sortedKeys(k.lines) {
		l := k.lines[fp]
		if l.phase == phaseStoring && bucketOf(fp) == n && k.bucketSettled(now, fp, k.ledger.get(k.unix(now), fp)) {
			l.phase = phaseIdle
			out = append(out, k.step(now, fp)...)
		}
	}
	return out
}

func (k *Coordinator) bucketAt(key object.Key) int {
	for i := range k.buckets {
		if k.buckets[i].key == key {
			return i
		}
	}
	return -1
}
