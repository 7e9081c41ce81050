package node

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/object"
)

// storeOps holds the functions that wait for the results of operations on the
// store.
type storeOps struct {
	lastOp OpID
	reads  map[OpID]func(clock.Time, object.ReadResult)
	writes map[OpID]func(clock.Time, object.WriteResult)
}

func newStoreOps() storeOps {
	return storeOps{
		reads:  map[OpID]func(clock.Time, object.ReadResult){},
		writes: map[OpID]func(clock.Time, object.WriteResult){},
	}
}

func (n *Node) read(key object.Key, done func(clock.Time, object.ReadResult)) {
	n.storeOps.lastOp++
	n.storeOps.reads[n.storeOps.lastOp] = done
	n.counters.StoreReads++
	n.emit(ReadObject{Op: n.storeOps.lastOp, Key: key})
}

func (n *Node) write(key object.Key, expect object.Version, value []byte, done func(clock.Time, object.WriteResult)) {
	n.storeOps.lastOp++
	n.storeOps.writes[n.storeOps.lastOp] = done
	n.counters.StoreWrites++
	n.emit(WriteObject{Op: n.storeOps.lastOp, Key: key, Expect: expect, Value: value})
}

func (n *Node) objectRead(now clock.Time, e ObjectRead) {
	done := n.storeOps.reads[e.Op]
	delete(n.storeOps.reads, e.Op)
	if e.Result.Known {
		n.storeReplied(now)
	}
	if done != nil {
		done(now, e.Result)
	}
}

func (n *Node) objectWritten(now clock.Time, e ObjectWritten) {
	done := n.storeOps.writes[e.Op]
	delete(n.storeOps.writes, e.Op)
	if e.Result.Status == object.Written || e.Result.Status == object.Conflict {
		n.storeReplied(now)
	}
	if done != nil {
		done(now, e.Result)
	}
}

func (n *Node) storeReplied(now clock.Time) {
	n.members.StoreReplied(now)
	n.executeHolder(n.holder.StoreReachable(now, true))
}
