package ticket

import "knapweedstall/core/topology"

// Value is the complete new value of a scope: Zone, Collection, Snapshots, Workspace
// or Tuning. Values are shared between states and must not be changed.
type Value interface {
	kind() Kind
}

// ZoneState says whether an availability zone receives new work.
type ZoneState string

// Zone states.
const (
	ZoneIn  ZoneState = "in"  // in service: receives new work
	ZoneOut ZoneState = "out" // out of service: receives no new work
)

// Zone is the value of zone/<id>.
type Zone struct {
	Region topology.RegionID `json:"region"`
	State  ZoneState         `json:"state"`
}

func (Zone) kind() Kind { return KindZone }

// Collection is the value of collection/<id>. Its ID equals that of the scope.
type Collection struct {
	topology.Collection
}

func (Collection) kind() Kind { return KindCollection }

// Snapshots is the value of snapshot/<collection>: the usable snapshots,
// newest first.
type Snapshots []topology.Snapshot

func (Snapshots) kind() Kind { return KindSnapshot }

// Workspace is the value of a scope tenant/<id>.
type Workspace struct {
	Weight      int                     `json:"weight"`      // share under overload, relative to the other workspaces; at least 1
	Collections []topology.CollectionID `json:"collections"` // collections that the workspace may use
}

func (Workspace) kind() Kind { return KindWorkspace }

// Tuning is the value of the scope tuning. All fields are required.
type Tuning struct {
	Hedging  bool `json:"hedging"`  // send slow reads to a second target
	MaxBatch int  `json:"maxBatch"` // sub-requests of one workspace in one call to a target; 1 to MaxBatchLimit
	Canary   bool `json:"canary"`   // run queries that have not passed a canary on one target first
}

func (Tuning) kind() Kind { return KindTuning }

// MaxBatchLimit bounds Tuning.MaxBatch.
const MaxBatchLimit = 256

// DefaultTuning is in force until a ticket sets tuning.
func DefaultTuning() Tuning { return Tuning{Hedging: true, MaxBatch: 8, Canary: true} }

// requiredFields returns the top-level fields that a value must contain. A value is
// the complete new value of its scope, so an omitted field would silently become
// zero.
func requiredFields(k Kind) []string {
	switch k {
	case KindZone:
		return []string{"region", "state"}
	case KindCollection:
		return []string{"id", "services"}
	case KindWorkspace:
		return []string{"weight", "collections"}
	case KindTuning:
		return []string{"hedging", "maxBatch", "canary"}
	}
	return nil
}
