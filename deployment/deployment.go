// Package deployment builds the topologies of the two deployments in docs/design.md,
// section 1.4. The samples, tests, the demo and measurements use them.
package deployment

import (
	"fmt"
	"net"
	"strconv"

	"knapweedstall/core/topology"
)

// Deployment is one installation of the tier and the targets behind it.
type Deployment struct {
	Name             string
	Region           topology.RegionID
	Zones            []topology.ZoneID
	InterZoneDelayMS float64 // one-way network delay between zones, in ms
	CallerDelayMS    float64 // one-way network delay between a caller and the tier, in ms
	Instances        int     // instances of the tier
	Workspaces       []topology.WorkspaceID
	Collections      []topology.Collection
	Snapshots        map[topology.CollectionID][]topology.Snapshot // newest first; at least one for each collection
	ConnectMS        map[topology.CollectionID]float64             // time to open a connection to a target, in ms
}

// collectionSpec describes the services and targets of one collection.
type collectionSpec struct {
	id          topology.CollectionID
	services    int
	targets     int // for each service
	slots       int
	connections int
	connectMS   float64
}

// config holds the options of a deployment.
type config struct {
	firstPort        int
	maxServices      int
	shardsPerService int
}

// Option changes how a deployment is built.
type Option func(*config)

// WithFirstPort sets the loopback port of the first target. The following targets get
// the following ports.
func WithFirstPort(port int) Option { return func(c *config) { c.firstPort = port } }

// WithMaxServices limits each collection to its first n services, for tests that do
// not need the full size. By default there is no limit.
func WithMaxServices(n int) Option { return func(c *config) { c.maxServices = n } }

// WithShardsPerService sets how many shards each service holds; the default
// is 2.
func WithShardsPerService(n int) Option { return func(c *config) { c.shardsPerService = n } }

// Peachline returns the deployment in region ga-central. Its targets listen on
// loopback ports from 21000.
func Peachline(opts ...Option) Deployment {
	d := Deployment{
		Name:             "peachline",
		Region:           "ga-central",
		Zones:            []topology.ZoneID{"macon-yard", "warner-dock", "perry-shed"},
		InterZoneDelayMS: 1,
		CallerDelayMS:    3,
		Instances:        15,
		Workspaces:       []topology.WorkspaceID{"harbor-ops", "rail-desk"},
	}
	specs := []collectionSpec{
		{id: "dockdesk", services: 20, targets: 2, slots: 2, connections: 55, connectMS: 6},
		{id: "ledgerline", services: 30, targets: 2, slots: 2, connections: 55, connectMS: 6},
		{id: "certvault", services: 1, targets: 15, slots: 2, connections: 210, connectMS: 1},
		{id: "routeboard", services: 1, targets: 7, slots: 2, connections: 210, connectMS: 1},
	}
	return build(d, specs, 21000, opts)
}

// Berceuse returns the deployment in region bzh-west. Its targets listen on
// loopback ports from 22000.
func Berceuse(opts ...Option) Deployment {
	d := Deployment{
		Name:             "berceuse",
		Region:           "bzh-west",
		Zones:            []topology.ZoneID{"bzh-west-a", "bzh-west-b", "bzh-west-c", "bzh-west-d"},
		InterZoneDelayMS: 0.5,
		CallerDelayMS:    3,
		Instances:        14,
		Workspaces:       []topology.WorkspaceID{"studio-armor", "studio-leon"},
	}
	specs := []collectionSpec{
		{id: "takefinder", services: 20, targets: 2, slots: 2, connections: 50, connectMS: 6},
		{id: "mixdesk", services: 30, targets: 2, slots: 2, connections: 50, connectMS: 6},
		{id: "frontdesk", services: 1, targets: 7, slots: 2, connections: 70, connectMS: 1},
		{id: "royalties", services: 1, targets: 4, slots: 2, connections: 70, connectMS: 1},
	}
	return build(d, specs, 22000, opts)
}

func build(d Deployment, specs []collectionSpec, firstPort int, opts []Option) Deployment {
	c := config{firstPort: firstPort, shardsPerService: 2}
	for _, o := range opts {
		o(&c)
	}
	d.Snapshots = map[topology.CollectionID][]topology.Snapshot{}
	d.ConnectMS = map[topology.CollectionID]float64{}
	port := c.firstPort
	for _, s := range specs {
		if c.maxServices > 0 {
			s.services = min(s.services, c.maxServices)
		}
		collection := buildCollection(d, s, &port)
		d.Collections = append(d.Collections, collection)
		d.Snapshots[s.id] = []topology.Snapshot{Partition(collection, 1, c.shardsPerService)}
		d.ConnectMS[s.id] = s.connectMS
	}
	return d
}

func buildCollection(d Deployment, s collectionSpec, port *int) topology.Collection {
	collection := topology.Collection{ID: s.id}
	for i := range s.services {
		service := topology.Service{ID: topology.ServiceID(fmt.Sprintf("%s-%02d", s.id, i)), Region: d.Region}
		for j := range s.targets {
			service.Targets = append(service.Targets, topology.Target{
				ID:          topology.TargetID(fmt.Sprintf("%s-%d", service.ID, j)),
				Address:     net.JoinHostPort("127.0.0.1", strconv.Itoa(*port)),
				Zone:        d.Zones[(i+j)%len(d.Zones)],
				Slots:       s.slots,
				Connections: s.connections,
			})
			*port++
		}
		collection.Services = append(collection.Services, service)
	}
	return collection
}

// Partition returns version n (counted from 1) of the snapshot of a collection. All
// versions have the same shards. Each version assigns every shard to the next service,
// so the partition maps of two consecutive versions differ when there is more than one
// service.
func Partition(c topology.Collection, n, shardsPerService int) topology.Snapshot {
	s := topology.Snapshot{
		ID:     topology.SnapshotID(fmt.Sprintf("%s@%d", c.ID, n)),
		Shards: map[topology.ServiceID][]topology.ShardID{},
	}
	services := len(c.Services)
	for i := range services * shardsPerService {
		owner := c.Services[(i+n-1)%services].ID
		s.Shards[owner] = append(s.Shards[owner], topology.ShardID(fmt.Sprintf("%s/%03d", c.ID, i)))
	}
	return s
}

// TargetCount returns the number of targets of all collections.
func (d Deployment) TargetCount() int {
	n := 0
	for _, c := range d.Collections {
		for _, s := range c.Services {
			n += len(s.Targets)
		}
	}
	return n
}
