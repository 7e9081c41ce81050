package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/object"
)

// store keeps who waits for the results of operations on the store.
type store struct {
	last   OpID
	reads  map[OpID]func(clock.Time, object.ReadResult)
	writes map[OpID]func(clock.Time, object.WriteResult)
}

func newStore() store {
	return store{
		reads:  map[OpID]func(clock.Time, object.ReadResult){},
		writes: map[OpID]func(clock.Time, object.WriteResult){},
	}
}

func (n *Node) read(key object.Key, done func(clock.Time, object.ReadResult)) {
	n.store.last++
	n.store.reads[n.store.last] = done
	n.stats.StoreReads++
	n.emit(ReadObject{Op: n.store.last, Key: key})
}

func (n *Node) write(key object.Key, expect object.Version, value []byte, done func(clock.Time, object.WriteResult)) {
	n.store.last++
	n.store.writes[n.store.last] = done
	n.stats.StoreWrites++
	n.emit(WriteObject{Op: n.store.last, Key: key, Expect: expect, Value: value})
}

func (n *Node) objectRead(now clock.Time, e ObjectRead) {
	done := n.store.reads[e.Op]
	delete(n.store.reads, e.Op)
	if e.Result.Known {
		n.storeReplied(now)
	}
	if done != nil {
		done(now, e.Result)
	}
}

func (n *Node) objectWritten(now clock.Time, e ObjectWritten) {
	done := n.store.writes[e.Op]
	delete(n.store.writes, e.Op)
	if e.Result.Status == object.Written || e.Result.Status == object.Conflict {
		n.storeReplied(now)
	}
	if done != nil {
		done(now, e.Result)
	}
}

func (n *Node) storeReplied(now clock.Time) {
	n.members.StoreReplied(now)
	n.holding(n.holder.StoreReachable(now, true))
}
