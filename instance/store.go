package instance

import (
	"context"
	"errors"
	"syscall"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/object"
	"knapweedstall/core/topology"
	"knapweedstall/io/platform"
)

const (
	// shortListPeriod is how often the watcher of a zone, the instance that watches
	// the store for it, reads the instance list. An instance that is not ready
	// reads it as often.
	shortListPeriod = time.Second
	// longListPeriod is how often the other instances read the list. They learn of
	// changes from their peers, so the number of reads grows slowly with the number
	// of instances.
	longListPeriod = 30 * time.Second
	// watchTimeout is how long a watch call waits for changes. It is short enough
	// for each reply to show that the store is reachable now.
	watchTimeout = clock.Second
	// storeRetryDelay is the pause after a failed call of the store.
	storeRetryDelay = 200 * time.Millisecond
)

func (in *Instance) readObject(ctx context.Context, c node.ReadObject) {
	o, err := in.platform.Get(ctx, string(c.Key))
	result := object.ReadResult{Key: c.Key, Known: true}
	var notFound *platform.NotFoundError
	switch {
	case err == nil:
		result.Version, result.Value = object.Version(o.Version), o.Value
	case !errors.As(err, &notFound):
		result.Known = false
	}
	in.post(ctx, node.ObjectRead{Op: c.Op, Result: result})
}

func (in *Instance) writeObject(ctx context.Context, c node.WriteObject) {
	version, err := in.platform.Put(ctx, string(c.Key), int64(c.Expect), c.Value)
	result := object.WriteResult{Key: c.Key}
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		result.Status, result.Version = object.Written, object.Version(version)
	case errors.As(err, &conflict):
		result.Status = object.Conflict
	case errors.Is(err, syscall.ECONNREFUSED):
		result.Status = object.NotSent
	default:
		result.Status = object.Unknown
	}
	in.post(ctx, node.ObjectWritten{Op: c.Op, Result: result})
}

// listObjects retries until the objects are listed, because a new instance can't
// start without them.
func (in *Instance) listObjects(ctx context.Context, c node.ListObjects) {
	for ctx.Err() == nil {
		objects, revision, err := in.platform.Watch(ctx, c.Prefixes, c.Since, 0)
		if err == nil {
			in.post(ctx, node.ObjectsReceived{Revision: revision, Objects: storedObjects(objects)})
			return
		}
		in.post(ctx, node.StoreFailed{})
		time.Sleep(storeRetryDelay)
	}
}

// watchStore starts or ends the watch of the store. A new watch replaces the old one.
func (in *Instance) watchStore(ctx context.Context, c node.WatchStore) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cancelWatch != nil {
		in.cancelWatch()
		in.cancelWatch = nil
	}
	if !c.On {
		return
	}
	ctx, in.cancelWatch = context.WithCancel(ctx)
	go in.watchObjects(ctx, c.Prefixes, c.Since)
}

// watchObjects polls the store for changed objects until ctx ends.
func (in *Instance) watchObjects(ctx context.Context, prefixes []string, since int64) {
	for ctx.Err() == nil {
		objects, revision, err := in.platform.Watch(ctx, prefixes, since, watchTimeout)
		if err != nil {
			in.post(ctx, node.StoreFailed{})
			time.Sleep(storeRetryDelay)
			continue
		}
		since = revision
		in.post(ctx, node.ObjectsReceived{Revision: revision, Objects: storedObjects(objects)})
	}
}

func storedObjects(objects []platform.Object) []message.StoredObject {
	out := make([]message.StoredObject, 0, len(objects))
	for _, o := range objects {
		out = append(out, message.StoredObject{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	return out
}

// listMembers registers this instance and then reads the instance list
// periodically until ctx ends.
func (in *Instance) listMembers(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			registered = in.platform.Register(ctx, in.self) == nil
		}
		members, err := in.platform.Instances(ctx)
		period := shortListPeriod
		if err == nil {
			in.post(ctx, node.MembersListed{Members: members})
			period = in.listPeriod()
		} else {
			in.post(ctx, node.StoreFailed{})
		}
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
}

// listPeriod returns the time until the next read of the instance list.
func (in *Instance) listPeriod() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cancelWatch != nil || !in.ready.Load() {
		return shortListPeriod
	}
	return longListPeriod
}

// markLeaving marks this instance as leaving in the instance list.
func (in *Instance) markLeaving(ctx context.Context) {
	leaving := in.self
	leaving.State = topology.MemberLeaving
	if err := in.platform.Register(ctx, leaving); err != nil {
		in.log.Warn("instance list not updated", "code", "listUnreachable", "err", err)
	}
}
