package ticket

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"knapweedstall/core/topology"
)

// Check returns all faults of t when it is applied to s, in a fixed order: first
// those of the ticket itself, then those of the resulting state.
func Check(s *State, t Ticket) []*FaultError {
	if faults := checkTicket(t); len(faults) > 0 {
		return faults
	}
	next := s.apply(t)
	faults := checkState(next)
	if !t.Force {
		faults = append(faults, lastZoneFaults(s, next, t)...)
	}
	return faults
}

func checkTicket(t Ticket) []*FaultError {
	var c checker
	c.check(t.Number > 0, "number", FaultRange, "numbers start at 1")
	c.check(t.FilingID != "", "filingId", FaultMissing, "required field")
	c.check(t.Operator != "", "operator", FaultMissing, "required field")
	c.check(len(t.Changes) > 0, "changes", FaultMissing, "a ticket needs a change")
	seen := map[Scope]bool{}
	for i, change := range t.Changes {
		path := indexPath("changes", i)
		c.scope = change.Scope
		c.check(!seen[change.Scope], path+".scope", FaultDuplicate, "a ticket changes a scope once")
		seen[change.Scope] = true
		c.checkScope(change, path)
	}
	c.scope = Scope{}
	if len(c.faults) == 0 {
		data, err := json.Marshal(t)
		c.check(err == nil && len(data) <= MaxObjectSize, "", FaultSize,
			fmt.Sprintf("%d bytes encoded, at most %d fit", len(data), MaxObjectSize))
	}
	return c.faults
}

// checkScope checks that the scope is valid and that the value is of its kind.
func (c *checker) checkScope(change Change, path string) {
	if _, err := ParseScope(change.Scope.String()); err != nil {
		c.addFault(path+".scope", FaultUnknownField, "unknown scope "+change.Scope.String())
		return
	}
	if change.Value != nil && change.Value.kind() != change.Scope.Kind {
		c.addFault(path+".value", FaultMismatch, "a value of kind "+string(change.Value.kind()))
	}
}

// checker collects faults, and the ids that must be unique in a state.
type checker struct {
	scope     Scope
	faults    []*FaultError
	state     *State
	services  map[topology.ServiceID]Scope
	targets   map[topology.TargetID]Scope
	addresses map[string]Scope
}

func (c *checker) addFault(path string, code FaultCode, detail string) {
	c.faults = append(c.faults, &FaultError{Scope: c.scope, Path: path, Code: code, Detail: detail})
}

func (c *checker) check(ok bool, path string, code FaultCode, detail string) {
	if !ok {
		c.addFault(path, code, detail)
	}
}

// checkState checks every value and every reference between values.
func checkState(s *State) []*FaultError {
	c := checker{
		state:     s,
		services:  map[topology.ServiceID]Scope{},
		targets:   map[topology.TargetID]Scope{},
		addresses: map[string]Scope{},
	}
	for _, scope := range s.Scopes() {
		c.scope = scope
		switch v := s.values[scope].(type) {
		case Zone:
			c.zone(v)
		case Collection:
			c.collection(v.Collection)
		case Snapshots:
			c.snapshots(v)
		case Workspace:
			c.workspace(v)
		case Tuning:
			c.check(v.MaxBatch >= 1 && v.MaxBatch <= MaxBatchLimit, "value.maxBatch", FaultRange,
				fmt.Sprintf("want 1 to %d", MaxBatchLimit))
		}
	}
	return c.faults
}

func (c *checker) zone(z Zone) {
	c.check(z.Region != "", "value.region", FaultMissing, "required field")
	c.check(z.State == ZoneIn || z.State == ZoneOut, "value.state", FaultRange, "want in or out")
}

func (c *checker) collection(v topology.Collection) {
	c.check(string(v.ID) == c.scope.ID, "value.id", FaultMismatch, "differs from the scope")
	c.check(len(v.Services) > 0, "value.services", FaultMissing, "a collection needs a service")
	for i, service := range v.Services {
		c.service(service, indexPath("value.services", i))
	}
}

func (c *checker) service(v topology.Service, path string) {
	c.check(v.ID != "", path+".id", FaultMissing, "required field")
	owner, used := c.services[v.ID]
	c.check(!used, path+".id", FaultDuplicate, "service "+string(v.ID)+" is in "+owner.String())
	c.services[v.ID] = c.scope
	c.check(v.Region != "", path+".region", FaultMissing, "required field")
	c.check(len(v.Targets) > 0, path+".targets", FaultMissing, "a service needs a target")
	for i, target := range v.Targets {
		c.target(v.Region, target, indexPath(path+".targets", i))
	}
}

// target checks one target. It refuses an address that is used twice because each
// target with it would have slots of its own, and the server would receive a
// multiple of what it can handle.
func (c *checker) target(region topology.RegionID, v topology.Target, path string) {
	c.check(v.ID != "", path+".id", FaultMissing, "required field")
	owner, used := c.targets[v.ID]
	c.check(!used, path+".id", FaultDuplicate, "target "+string(v.ID)+" is in "+owner.String())
	c.targets[v.ID] = c.scope
	_, err := netip.ParseAddrPort(v.Address)
	c.check(err == nil, path+".address", FaultSyntax, "want ip:port")
	owner, used = c.addresses[v.Address]
	c.check(!used, path+".address", FaultDuplicate, "address "+v.Address+" is in "+owner.String())
	c.addresses[v.Address] = c.scope
	c.check(v.Slots >= 1, path+".slots", FaultRange, "want at least 1")
	c.check(v.Connections >= v.Slots, path+".connections", FaultRange, "want at least the slots")
	zone, ok := c.state.Zone(v.Zone)
	if !ok {
		c.addFault(path+".zone", FaultNotFound, "no zone "+string(v.Zone))
		return
	}
	c.check(zone.Region == region, path+".zone", FaultMismatch, "zone "+string(v.Zone)+" is in region "+string(zone.Region))
}

func (c *checker) snapshots(list Snapshots) {
	collection, ok := c.state.Collection(topology.CollectionID(c.scope.ID))
	if !ok {
		c.addFault("scope", FaultNotFound, "no collection "+c.scope.ID)
		return
	}
	known := map[topology.ServiceID]bool{}
	for _, service := range collection.Services {
		known[service.ID] = true
	}
	c.check(len(list) > 0, "value", FaultMissing, "want at least one snapshot, or null to remove the scope")
	seen := map[topology.SnapshotID]bool{}
	for i, snapshot := range list {
		path := indexPath("value", i)
		c.check(snapshot.ID != "", path+".id", FaultMissing, "required field")
		c.check(!seen[snapshot.ID], path+".id", FaultDuplicate, "snapshot "+string(snapshot.ID))
		seen[snapshot.ID] = true
		c.partitionMap(snapshot, known, path+".shards")
	}
}

func (c *checker) partitionMap(s topology.Snapshot, known map[topology.ServiceID]bool, path string) {
	c.check(len(s.Shards) > 0, path, FaultMissing, "a snapshot needs a shard")
	placed := map[topology.ShardID]topology.ServiceID{}
	for _, service := range s.Services() {
		at := path + "." + string(service)
		c.check(known[service], at, FaultNotFound, "no service "+string(service)+" in the collection")
		c.check(len(s.Shards[service]) > 0, at, FaultMissing, "a service needs a shard")
		for i, shard := range s.Shards[service] {
			c.check(shard != "", indexPath(at, i), FaultMissing, "empty shard id")
			first, used := placed[shard]
			c.check(!used, indexPath(at, i), FaultDuplicate, "shard "+string(shard)+" is also in "+string(first))
			placed[shard] = service
		}
	}
}

func (c *checker) workspace(v Workspace) {
	c.check(v.Weight >= 1, "value.weight", FaultRange, "want at least 1")
	seen := map[topology.CollectionID]bool{}
	for i, id := range v.Collections {
		path := indexPath("value.collections", i)
		c.check(!seen[id], path, FaultDuplicate, "collection "+string(id))
		seen[id] = true
		_, ok := c.state.Collection(id)
		c.check(ok, path, FaultNotFound, "no collection "+string(id))
	}
}

// lastZoneFaults returns a fault for each change that takes out of service, moves or
// removes the last zone of a region that receives work.
func lastZoneFaults(before, after *State, t Ticket) []*FaultError {
	zonesAfter := zonesIn(after)
	zonesBefore := zonesIn(before)
	var c checker
	for i, change := range t.Changes {
		old, ok := before.values[change.Scope].(Zone)
		if !ok || old.State != ZoneIn {
			continue
		}
		now, _ := change.Value.(Zone)
		staysIn := now.State == ZoneIn && now.Region == old.Region
		c.scope = change.Scope
		c.check(staysIn || zonesBefore[old.Region] == 0 || zonesAfter[old.Region] > 0, indexPath("changes", i), FaultForce,
			"takes out the last zone of region "+string(old.Region))
	}
	return c.faults
}

// zonesIn returns the number of zones in service for each region.
func zonesIn(s *State) map[topology.RegionID]int {
	count := map[topology.RegionID]int{}
	for _, v := range s.values {
		if z, ok := v.(Zone); ok && z.State == ZoneIn {
			count[z.Region]++
		}
	}
	return count
}
