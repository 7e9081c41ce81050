// Package overload decides which requests the tier admits when the targets cannot
// answer all of them in time. It serves searches, which need most of their shards: when
// targets shed requests one by one, almost every search fails although the targets work
// at their capacity. A request is therefore refused before any send, or it gets its
// shards.
//
// Routes with the same services form a group. Every instance has a Gate for each group,
// which counts requests, reports the counts to the group's coordinator every
// ReportPeriod and applies the Division that the coordinator returns. The coordinator's
// Controller computes a limit of admitted requests per second and divides it among the
// classes of requests. A Gate without a valid Division uses a Controller of its own.
//
// The package does no input or output; times are passed in and must not decrease.
package overload

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
)

// ReportPeriod is how often an instance reports and a Controller adjusts its limit. It
// is longer than most searches take, so that a report includes results of what the
// division before it admitted.
const ReportPeriod = 250 * clock.Millisecond

// DivisionValidity is how long an instance uses a division. It tolerates three lost
// reports.
const DivisionValidity = clock.Second

// Rate is a rate in requests per second.
type Rate float64

// Share is the share of requests that are admitted, 0 to 1.
type Share float64

// GroupKey identifies a group: the routes with the same services. It is the key of the
// group's coordinator.
type GroupKey string

// KeyOf returns the key of the group with the services.
func KeyOf(services []routing.ServiceName) GroupKey {
	names := slices.Clone(services)
	slices.Sort(names)
	h := sha256.New()
	for _, name := range slices.Compact(names) {
		_, _ = h.Write(append([]byte(name), 0)) // a hash never returns an error
	}
	return GroupKey("overload/" + hex.EncodeToString(h.Sum(nil)[:8]))
}

// Level is the priority of a request. Of two levels, the one with the lower number of
// the workspace, and then of the route, has the higher priority.
type Level struct {
	Workspace int `cbor:"1,keyasint"` // priority of the workspace; 0 is the highest
	Route     int `cbor:"2,keyasint"` // priority of the route; 0 is the highest
}

func (l Level) compare(m Level) int {
	return cmp.Or(cmp.Compare(l.Workspace, m.Workspace), cmp.Compare(l.Route, m.Route))
}

// Class is a set of requests between which a division does not distinguish.
type Class struct {
	Level     Level                `cbor:"1,keyasint"`
	Workspace topology.WorkspaceID `cbor:"2,keyasint,omitempty"`
}

func (c Class) compare(d Class) int {
	return cmp.Or(c.Level.compare(d.Level), cmp.Compare(c.Workspace, d.Workspace))
}

// Result is how an admitted request has ended.
type Result int

// Results of admitted requests.
const (
	InTime Result = iota // answered within the objective
	Late                 // answered after the objective
	// Failed: too few shards answered because their targets were busy, shed the
	// request or did not answer before the deadline.
	Failed
	// Other: failed for a reason that less load does not remove, such as targets that
	// cannot be reached, or the caller has left.
	Other
)

// Totals are cumulative counts, so that a lost or repeated report changes nothing.
type Totals struct {
	Admitted uint64 `cbor:"1,keyasint"`
	InTime   uint64 `cbor:"2,keyasint"`
	Late     uint64 `cbor:"3,keyasint"`
	Failed   uint64 `cbor:"4,keyasint"`
	// Work is the number of answered sends, each divided by the number of sends that
	// a request needs. Under overload it shows what the targets sustain, although
	// almost no request gets enough shards.
	Work float64 `cbor:"5,keyasint"`
}

// ClassCount is the cumulative number of requests of a class that have arrived since a
// report last left the class out.
type ClassCount struct {
	Class   Class  `cbor:"1,keyasint"`
	Arrived uint64 `cbor:"2,keyasint"`
}

// Report is what an instance tells the coordinator of a group.
type Report struct {
	Run    uint64 `cbor:"1,keyasint"` // distinguishes processes with the same instance id
	Number uint64 `cbor:"2,keyasint"` // of the report; increases
	Totals Totals `cbor:"3,keyasint"`
	// Classes leaves out classes without recent requests.
	Classes []ClassCount `cbor:"4,keyasint,omitempty"`
	// Limit is that of the division in force at the instance, 0 for none. A
	// coordinator that takes over continues from it.
	Limit Rate `cbor:"5,keyasint,omitempty"`
}

// Division tells an instance which share of the requests of each class it admits.
type Division struct {
	// Ready is false while a coordinator that has just started does not know the
	// demands. The division before it then stays in force.
	Ready  bool         `cbor:"3,keyasint,omitempty"`
	Limit  Rate         `cbor:"1,keyasint,omitempty"` // of the group; 0 for none, and then all requests are admitted
	Levels []LevelShare `cbor:"2,keyasint,omitempty"` // by priority; levels that are left out are admitted in full
}

// LevelShare is the part of a division for one level.
type LevelShare struct {
	Level      Level            `cbor:"1,keyasint"`
	Share      Share            `cbor:"2,keyasint"`           // of workspaces that Workspaces does not list
	Workspaces []WorkspaceShare `cbor:"3,keyasint,omitempty"` // by descending demand
}

// WorkspaceShare is the share of one workspace within a level.
type WorkspaceShare struct {
	Workspace topology.WorkspaceID `cbor:"1,keyasint"`
	Share     Share                `cbor:"2,keyasint"`
}
