package target

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"knapweedstall/core/topology"
)

// UnknownTargetError reports that a selector matches no server of the fleet.
type UnknownTargetError struct{ Selector Selector }

// Error implements error.
func (e *UnknownTargetError) Error() string {
	return fmt.Sprintf("no target matches %+v", e.Selector)
}

// Fleet runs one Server for every target of several collections, in one process.
type Fleet struct {
	collections  []topology.Collection
	servers      []*Server // ordered by collection, service and target as given to StartFleet
	collectionOf map[*Server]topology.CollectionID

	mu        sync.Mutex
	snapshots map[topology.CollectionID][]topology.Snapshot // newest first
}

// FleetOption changes how a fleet is started.
type FleetOption func(*fleetConfig)

// fleetConfig is what FleetOptions set.
type fleetConfig struct {
	useTargetAddresses bool
	configure          func(topology.Collection, *Config)
}

// WithTargetAddresses makes every server listen on its Target.Address, which must be
// on loopback. By default servers listen on free loopback ports.
func WithTargetAddresses() FleetOption {
	return func(c *fleetConfig) { c.useTargetAddresses = true }
}

// WithConfig lets change modify the DefaultConfig of every server before it starts.
func WithConfig(change func(topology.Collection, *Config)) FleetOption {
	return func(c *fleetConfig) { c.configure = change }
}

// StartFleet starts a server for every target of the collections, with the
// given snapshots (newest first). When one server fails to start, all are stopped.
func StartFleet(collections []topology.Collection, snapshots map[topology.CollectionID][]topology.Snapshot, opts ...FleetOption) (*Fleet, error) {
	var fc fleetConfig
	for _, o := range opts {
		o(&fc)
	}
	f := &Fleet{collectionOf: map[*Server]topology.CollectionID{}, snapshots: map[topology.CollectionID][]topology.Snapshot{}}
	for _, c := range collections {
		started, err := f.startCollection(c, fc)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.collections = append(f.collections, started)
		for _, snapshot := range slices.Backward(snapshots[c.ID]) {
			f.AddSnapshot(c.ID, snapshot)
		}
	}
	return f, nil
}

// startCollection starts the servers of c and returns c with the addresses on which
// they listen.
func (f *Fleet) startCollection(c topology.Collection, fc fleetConfig) (topology.Collection, error) {
	out := topology.Collection{ID: c.ID}
	for _, service := range c.Services {
		service.Targets = slices.Clone(service.Targets)
		for i := range service.Targets {
			config := DefaultConfig(service.ID, service.Targets[i])
			config.ListenOnFreePort = !fc.useTargetAddresses
			if fc.configure != nil {
				fc.configure(c, &config)
			}
			s := NewServer(config)
			if err := s.Start(); err != nil {
				return out, err
			}
			f.servers = append(f.servers, s)
			f.collectionOf[s] = c.ID
			service.Targets[i].Address = s.Address()
		}
		out.Services = append(out.Services, service)
	}
	return out, nil
}

// Stop stops all servers.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	limit := make(chan struct{}, runtime.GOMAXPROCS(0))
	for _, s := range f.servers {
		limit <- struct{}{}
		wg.Go(func() {
			s.Stop()
			<-limit
		})
	}
	wg.Wait()
}

// Collections returns the collections with the addresses on which the servers
// listen.
func (f *Fleet) Collections() []topology.Collection { return f.collections }

// Snapshots returns the snapshots of a collection, newest first.
func (f *Fleet) Snapshots(id topology.CollectionID) []topology.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.snapshots[id])
}

// AddSnapshot makes all servers of a collection serve a snapshot as the newest one.
func (f *Fleet) AddSnapshot(id topology.CollectionID, snapshot topology.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots[id] = append([]topology.Snapshot{snapshot}, snapshotsWithout(f.snapshots[id], snapshot.ID)...)
	for _, s := range f.servers {
		if f.collectionOf[s] == id {
			s.AddSnapshot(snapshot)
		}
	}
}

// RetireSnapshot makes all servers of a collection stop serving a snapshot.
func (f *Fleet) RetireSnapshot(id topology.CollectionID, snapshot topology.SnapshotID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots[id] = snapshotsWithout(f.snapshots[id], snapshot)
	for _, s := range f.servers {
		if f.collectionOf[s] == id {
			s.RetireSnapshot(snapshot)
		}
	}
}

// snapshotsWithout returns a copy of all without the snapshot of that id.
func snapshotsWithout(all []topology.Snapshot, id topology.SnapshotID) []topology.Snapshot {
	return slices.DeleteFunc(slices.Clone(all), func(s topology.Snapshot) bool { return s.ID == id })
}

// Selector selects servers of a fleet. Empty fields match all servers; the zero value
// selects the whole fleet.
type Selector struct {
	Collection topology.CollectionID
	Service    topology.ServiceID
	Target     topology.TargetID
	Zone       topology.ZoneID
}

// Select returns the matching servers, or *UnknownTargetError if there are none.
func (f *Fleet) Select(sel Selector) ([]*Server, error) {
	var out []*Server
	for _, s := range f.servers {
		if f.matches(sel, s) {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return nil, &UnknownTargetError{sel}
	}
	return out, nil
}

func (f *Fleet) matches(sel Selector, s *Server) bool {
	c := s.config
	return (sel.Collection == "" || sel.Collection == f.collectionOf[s]) &&
		(sel.Service == "" || sel.Service == c.Service) &&
		(sel.Target == "" || sel.Target == c.Target.ID) &&
		(sel.Zone == "" || sel.Zone == c.Target.Zone)
}

// Server returns the server of a target, or nil.
func (f *Fleet) Server(id topology.TargetID) *Server {
	for _, s := range f.servers {
		if s.config.Target.ID == id {
			return s
		}
	}
	return nil
}

// CallsSince counts the calls that the selected servers received after since. It
// fails with *UnknownTargetError when no server matches.
func (f *Fleet) CallsSince(sel Selector, since time.Time) (int, error) {
	servers, err := f.Select(sel)
	n := 0
	for _, s := range servers {
		for _, c := range s.callLog.Calls() {
			if c.Started.After(since) {
				n++
			}
		}
	}
	return n, err
}

// Counts returns the sums of the counts of all servers.
func (f *Fleet) Counts() Counts { return sumCounts(f.servers) }

// sumCounts returns the sums of the counts of the given servers.
func sumCounts(servers []*Server) Counts {
	total := Counts{Outcomes: map[Outcome]int64{}}
	for _, s := range servers {
		total.add(s.callLog.Counts())
	}
	return total
}

// RunCounts returns how often each request to /v1/run was started, summed over all
// servers.
func (f *Fleet) RunCounts() map[RunKey]int {
	total := map[RunKey]int{}
	for _, s := range f.servers {
		for key, n := range s.callLog.RunCounts() {
			total[key] += n
		}
	}
	return total
}
