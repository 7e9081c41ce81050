package deployment

import (
	"encoding/json"

	"github.com/pkg/errors"

	"knapweedstall/core/topology"
)

// Ticket is a change ticket in the JSON form of docs/design.md section 5.
type Ticket struct {
	Number   uint64   `json:"number"`
	FilingID string   `json:"filingId"`
	Operator string   `json:"operator"`
	At       int64    `json:"at"` // milliseconds since the Unix epoch
	Changes  []Change `json:"changes"`
}

// Change holds the whole new state of one scope.
type Change struct {
	Scope string `json:"scope"` // "collection/<id>" or "snapshot/<collection>"
	Value any    `json:"value"` // topology.Collection, or []topology.Snapshot with the newest first
}

// FirstTicket returns the ticket that sets up every collection of d together
// with its snapshots.
func (d Deployment) FirstTicket() Ticket {
	t := Ticket{Number: 1, FilingID: d.Name + "-1", Operator: "setup"}
	for _, c := range d.Collections {
		t.Changes = append(t.Changes, collectionChange(c), snapshotChange(c.ID, d.Snapshots[c.ID]))
	}
	return t
}

func collectionChange(c topology.Collection) Change {
	return Change{Scope: "collection/" + string(c.ID), Value: c}
}

func snapshotChange(id topology.CollectionID, snapshots []topology.Snapshot) Change {
	return Change{Scope: "snapshot/" + string(id), Value: snapshots}
}

// Encode returns the ticket as indented JSON with a final line break.
func (t Ticket) Encode() ([]byte, error) {
	out, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return append(out, '\n'), nil
}
