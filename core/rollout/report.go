package rollout

import (
	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
)

// Report is what an instance tells the decider of some orders. All counts are
// cumulative, so a lost or duplicated report changes nothing.
type Report struct {
	Run    topology.Incarnation `cbor:"1,keyasint"` // of the instance's process
	Number uint64               `cbor:"2,keyasint"` // increases with each report of a run
	Orders []OrderReport        `cbor:"3,keyasint"`
}

// OrderReport is the part of a Report about one order. The counts begin when the
// instance saw the order.
type OrderReport struct {
	Service routing.ServiceName `cbor:"1,keyasint"`
	Target  Version             `cbor:"2,keyasint"`
	Created view.Revision       `cbor:"3,keyasint"`
	Epoch   uint64              `cbor:"4,keyasint"` // tells the order from an earlier one of the same run
	Age     clock.Duration      `cbor:"5,keyasint"` // time since the instance saw the order

	Sends       int64 `cbor:"6,keyasint"`           // to the service
	NewSends    int64 `cbor:"7,keyasint"`           // to the new version
	OldInFlight int64 `cbor:"8,keyasint,omitempty"` // sends to old targets without an outcome
	Bad         int64 `cbor:"9,keyasint,omitempty"` // failures and slow answers of the new version, including those left out of Evidence
	Stage       Stage `cbor:"10,keyasint"`          // highest stage seen
	Moved       bool  `cbor:"11,keyasint,omitempty"`

	Evidence []Evidence `cbor:"12,keyasint,omitempty"`
}

// Evidence counts the answers of one target to the requests of one route. Of the bad
// answers of a target between two reports, only some count, see maxBad.
type Evidence struct {
	New      bool              `cbor:"1,keyasint,omitempty"` // the target has the new version
	Route    routing.RouteName `cbor:"2,keyasint"`
	Target   topology.TargetID `cbor:"3,keyasint"`
	Answers  int64             `cbor:"4,keyasint"`
	Failures int64             `cbor:"5,keyasint,omitempty"`
	Timed    int64             `cbor:"6,keyasint,omitempty"` // answers whose latency counts
	Slow     int64             `cbor:"7,keyasint,omitempty"` // of Timed
}
