package gateway

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/rollout"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/core/view"
	"knapweedstall/platform"
)

// rolloutWriteTopic is the topic of the writes that a decider which does not reach the
// store has another instance make. They are safe to repeat at several instances, since
// the store accepts one write for a revision.
const rolloutWriteTopic = "rollout-write"

// writeThroughTimeout is longer than the timeout of a write of the store, which is 1 s.
const writeThroughTimeout = 1200 * clock.Millisecond

// statusWrite is a write that another instance makes.
type statusWrite struct {
	Service  routing.ServiceName `cbor:"1,keyasint"`
	Revision view.Revision       `cbor:"2,keyasint"`
	State    rollout.State       `cbor:"3,keyasint"`
	Target   rollout.Version     `cbor:"4,keyasint"`
}

// statusWritten is the store's answer to a statusWrite.
type statusWritten struct {
	Object   view.Object `cbor:"1,keyasint"`           // as it is in the store; unset if Removed
	Conflict bool        `cbor:"2,keyasint,omitempty"` // the write was refused because of Object
	Removed  bool        `cbor:"3,keyasint,omitempty"` // there is no object
}

// resultUnknown reports whether the error of a write does not tell what the store did.
func resultUnknown(err error) bool {
	var conflict *platform.ConflictError
	return err != nil && !errors.As(err, &conflict) && !removed(err)
}

// removed reports whether the error of a write tells that there is no such object.
func removed(err error) bool {
	var status *platform.StatusError
	return errors.As(err, &status) && status.Status == http.StatusNotFound
}

// writeThrough has the next other coordinator of the order make a write that this
// instance could not make because of cause. It fails like putStatus.
func (g *Gateway) writeThrough(ctx context.Context, w rollout.Write, cause error) (view.Object, error) {
	payload, err := cbor.Marshal(statusWrite{w.Service, w.Revision, w.Status.State, w.Status.Target})
	if err != nil {
		return view.Object{}, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeThroughTimeout.Std())
	defer cancel()
	for _, in := range g.coordinatorsOf("rollout/" + string(w.Service)) {
		if in.ID == g.settings.Instance || g.isSilent(in.ID) {
			continue
		}
		data, err := g.call(ctx, in, rolloutWriteTopic, payload)
		if err != nil {
			return view.Object{}, errors.WithMessage(cause, "also not written through "+string(in.ID)+": "+err.Error())
		}
		var written statusWritten
		if err := cbor.Unmarshal(data, &written); err != nil {
			return view.Object{}, errors.WithStack(err)
		}
		g.log.Info("rollout status sent through another instance", "service", w.Service, "state", string(w.Status.State), "through", in.ID, "err", cause)
		return written.result(w)
	}
	return view.Object{}, cause
}

// result returns what putStatus returns for the store's answer.
func (s statusWritten) result(w rollout.Write) (view.Object, error) {
	switch {
	case s.Removed:
		return view.Object{}, errors.WithStack(&platform.StatusError{Call: rolloutWriteTopic, Status: http.StatusNotFound})
	case s.Conflict:
		return view.Object{}, errors.WithStack(&platform.ConflictError{Kind: platform.KindRollouts, Name: string(w.Service), Object: s.Object})
	}
	return s.Object, nil
}

// isSilent reports whether a coordinator has not answered lately.
func (g *Gateway) isSilent(id topology.InstanceID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock.Now().Before(g.rollouts.silent[id])
}

// writeForDecider makes a write for an instance that could not make it.
func (g *Gateway) writeForDecider(ctx context.Context, from topology.InstanceID, payload []byte) ([]byte, error) {
	var in statusWrite
	if err := cbor.Unmarshal(payload, &in); err != nil {
		return nil, errors.WithStack(err)
	}
	w := rollout.Write{Service: in.Service, Revision: in.Revision, Status: rollout.Status{State: in.State, Target: in.Target}}
	o, err := g.putStatus(ctx, w)
	if resultUnknown(err) {
		return nil, err
	}
	answer := statusWritten{Object: o, Removed: removed(err)}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		answer.Object, answer.Conflict = conflict.Object, true
	}
	g.log.Info("rollout status written for another instance", "service", in.Service, "target", in.Target, "state", string(in.State),
		"decider", from, "conflict", answer.Conflict, "removed", answer.Removed)
	data, err := cbor.Marshal(answer)
	return data, errors.WithStack(err)
}
