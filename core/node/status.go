package node

import (
	"maps"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/ticket"
	"knapweedstall/core/topology"
)

// Counters counts events since the node was created.
type Counters struct {
	Searches       uint64 `json:"searches"`
	Answered       uint64 `json:"answered"`
	Incomplete     uint64 `json:"incomplete"` // queries answered without some of their shards
	Refused        uint64 `json:"refused"`
	Runs           uint64 `json:"runs"`
	Canaries       uint64 `json:"canaries"`    // requested as an entry instance or writer
	SubRequests    uint64 `json:"subRequests"` // accepted as a holder
	TargetCalls    uint64 `json:"targetCalls"`
	TargetItems    uint64 `json:"targetItems"`
	RepliesDropped uint64 `json:"repliesDropped"` // late, duplicate, or belonging to another request
	PeersLost      uint64 `json:"peersLost"`
	TableWrites    uint64 `json:"tableWrites"`
	ClaimWrites    uint64 `json:"claimWrites"`
	StoreReads     uint64 `json:"storeReads"`
	StoreWrites    uint64 `json:"storeWrites"`
}

// HoldingStatus describes a service of which this instance holds a share or still
// has work in progress.
type HoldingStatus struct {
	Service       topology.ServiceID `json:"service"`
	Epoch         uint64             `json:"epoch"`
	Shares        []int              `json:"share"` // indexes of the shares that the holder table assigns to this instance
	Warm          [2]bool            `json:"warm"`  // by share index: whether calls to warm targets are allowed
	Cold          [2]bool            `json:"cold"`  // by share index: whether calls to cold targets are allowed
	Queued        int                `json:"queued"`
	InFlight      int                `json:"inFlight"`
	FirstSends    uint64             `json:"first"` // sub-requests sent for the first time
	RepeatedSends uint64             `json:"extra"` // sub-requests sent again: hedges and retries
}

// AdmissionStatus describes the admission controller of a collection.
type AdmissionStatus struct {
	Collection topology.CollectionID `json:"collection"`
	Limited    bool                  `json:"limited"`
	PerSecond  float64               `json:"perSecond"` // admitted rate; valid if Limited is set
}

// Status describes the state of a Node.
type Status struct {
	Self         topology.Member   `json:"self"`
	Config       ticket.Number     `json:"config"`
	Ready        bool              `json:"ready"`
	Isolated     bool              `json:"isolated"`
	ReachesStore bool              `json:"reachesStore"`
	Watching     bool              `json:"watching"`
	Stopping     bool              `json:"stopping"`
	Live         []topology.Member `json:"live"`
	Suspected    []topology.Member `json:"suspected"`
	Holdings     []HoldingStatus   `json:"holdings"`
	Admission    []AdmissionStatus `json:"admission"`
	Counters     Counters          `json:"counters"`
}

// Status returns the state of the node at now.
func (n *Node) Status(now clock.Time) Status {
	s := Status{
		Self: n.self, Config: n.configLog.Number(), Ready: n.Ready(now), Isolated: n.members.Isolated(now),
		ReachesStore: n.members.ReachesStore(now), Watching: n.watching, Stopping: n.stopping,
		Live: n.members.Live(now), Suspected: n.members.Suspected(now), Counters: n.counters,
	}
	for _, id := range slices.Sorted(maps.Keys(n.held)) {
		s.Holdings = append(s.Holdings, n.holdingStatus(now, id))
	}
	for _, id := range slices.Sorted(maps.Keys(n.admission)) {
		rate, limited := n.admission[id].Rate()
		s.Admission = append(s.Admission, AdmissionStatus{Collection: id, Limited: limited, PerSecond: rate})
	}
	return s
}

func (n *Node) holdingStatus(now clock.Time, id topology.ServiceID) HoldingStatus {
	e, _ := n.holder.Holders(id)
	l := n.held[id].dispatcher.Load()
	s := HoldingStatus{Service: id, Epoch: e.Epoch, Queued: l.Queued, InFlight: l.InFlight, FirstSends: l.FirstSends, RepeatedSends: l.RepeatedSends}
	for k, ref := range e.Holders {
		if ref == n.self.Ref {
			s.Shares = append(s.Shares, k)
		}
	}
	s.Warm, s.Cold = n.holder.UsableShares(now, id)
	return s
}

// Counters returns the event counts since the node was created.
func (n *Node) Counters() Counters { return n.counters }

// ConfigLog returns the log of configuration tickets. The caller must not change
// it.
func (n *Node) ConfigLog() *ticket.Log { return n.configLog }
