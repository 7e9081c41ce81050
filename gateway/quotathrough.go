package gateway

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/quota"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// leaseWriteTopic is the topic of the writes of a lease that a holder which does not reach
// the store has another coordinator make. The condition of the write makes them safe.
const leaseWriteTopic = "quota-lease-write"

// leaseWrite is a write that another coordinator makes.
type leaseWrite struct {
	Group      quota.Group          `cbor:"1,keyasint"`
	Holder     topology.InstanceID  `cbor:"2,keyasint"`
	Run        topology.Incarnation `cbor:"3,keyasint"`
	Revision   view.Revision        `cbor:"4,keyasint"` // that the object must have; not 0
	UnixMillis int64                `cbor:"5,keyasint"`
}

// leaseWritten is the store's answer to a leaseWrite.
type leaseWritten struct {
	Object   view.Object `cbor:"1,keyasint"`           // as it is in the store
	Conflict bool        `cbor:"2,keyasint,omitempty"` // the write was refused because of Object
}

// writeLeaseThrough has the first other coordinator of the group that answers make a write.
// It fails with *platform.ConflictError like the write itself.
func (g *Gateway) writeLeaseThrough(ctx context.Context, step quota.Step, unixMillis int64) (view.Object, error) {
	payload, err := cbor.Marshal(leaseWrite{step.Group, step.Lease.Holder, step.Lease.Run, step.Revision, unixMillis})
	if err != nil {
		return view.Object{}, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeThroughTimeout.Std())
	defer cancel()
	for _, in := range g.quotaCoordinators(quotaKey(step.Group)) {
		if in.ID == g.settings.Instance {
			continue
		}
		var data []byte
		if data, err = g.call(ctx, in, leaseWriteTopic, payload); err != nil {
			continue
		}
		var out leaseWritten
		if err = cbor.Unmarshal(data, &out); err != nil {
			return view.Object{}, errors.WithStack(err)
		}
		if out.Conflict {
			return view.Object{}, errors.WithStack(&platform.ConflictError{Kind: platform.KindQuotas, Name: step.Group.String(), Object: out.Object})
		}
		return out.Object, nil
	}
	return view.Object{}, err
}

// handleLeaseWrite makes a write for a holder that does not reach the store.
func (g *Gateway) handleLeaseWrite(ctx context.Context, from topology.InstanceID, payload []byte) ([]byte, error) {
	var w leaseWrite
	if err := cbor.Unmarshal(payload, &w); err != nil {
		return nil, errors.WithStack(err)
	}
	lease := quota.Lease{Holder: w.Holder, Run: w.Run}
	object, err := g.store.PutIf(ctx, platform.KindQuotas, w.Group.String(), w.Revision, platform.QuotaLeaseObject(lease, w.UnixMillis))
	out := leaseWritten{Object: object}
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		out = leaseWritten{Object: conflict.Object, Conflict: true}
	case err != nil:
		return nil, err
	default:
		g.log.Info("lease on quotas written for another instance", "group", w.Group.String(), "holder", from)
	}
	data, err := cbor.Marshal(out)
	return data, errors.WithStack(err)
}
