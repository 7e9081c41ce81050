package deployment

import (
	"encoding/json"

	"github.com/pkg/errors"

	"knapweedstall/core/topology"
)

// Ticket is a change ticket, a numbered change of the configuration, in the JSON
// format of docs/design.md, section 5.
type Ticket struct {
	Number   uint64   `json:"number"`
	FilingID string   `json:"filingId"`
	Operator string   `json:"operator"`
	At       int64    `json:"at"` // milliseconds since the Unix epoch
	Changes  []Change `json:"changes"`
}

// Change replaces the state of one scope, the part of the configuration that it names.
type Change struct {
	Scope string `json:"scope"` // one of those listed in docs/design.md, section 5
	Value any    `json:"value"` // a ZoneValue, WorkspaceValue, topology.Collection, or []topology.Snapshot with the newest first
}

// ZoneValue is the state of an availability zone.
type ZoneValue struct {
	Region topology.RegionID `json:"region"`
	State  string            `json:"state"` // "in" or "out"
}

// WorkspaceValue is the state of a workspace.
type WorkspaceValue struct {
	Weight      int                     `json:"weight"`
	Collections []topology.CollectionID `json:"collections"`
}

// FirstTicket returns the ticket that defines the zones, every collection with its
// snapshots, and the workspaces, each of which may use every collection.
func (d Deployment) FirstTicket() Ticket {
	t := Ticket{Number: 1, FilingID: d.Name + "-1", Operator: "setup"}
	for _, zone := range d.Zones {
		t.Changes = append(t.Changes, d.ZoneChange(zone, "in"))
	}
	var all []topology.CollectionID
	for _, c := range d.Collections {
		all = append(all, c.ID)
	}
	for _, workspace := range d.Workspaces {
		t.Changes = append(t.Changes, Change{Scope: "tenant/" + string(workspace), Value: WorkspaceValue{Weight: 1, Collections: all}})
	}
	for _, c := range d.Collections {
		t.Changes = append(t.Changes, collectionChange(c), snapshotChange(c.ID, d.Snapshots[c.ID]))
	}
	return t
}

// ZoneChange returns the change that sets the state of a zone, "in" or "out".
func (d Deployment) ZoneChange(zone topology.ZoneID, state string) Change {
	return Change{Scope: "zone/" + string(zone), Value: ZoneValue{Region: d.Region, State: state}}
}

func collectionChange(c topology.Collection) Change {
	return Change{Scope: "collection/" + string(c.ID), Value: c}
}

func snapshotChange(id topology.CollectionID, snapshots []topology.Snapshot) Change {
	return Change{Scope: "snapshot/" + string(id), Value: snapshots}
}

// Encode returns the ticket as indented JSON with a final newline.
func (t Ticket) Encode() ([]byte, error) {
	out, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return append(out, '\n'), nil
}
