// Package routing holds the active configuration, which operators set, and selects
// the route of a request.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

type (
	// RouteName names a route; it is unique within a configuration.
	RouteName string
	// ServiceName names a service, which is a group of equivalent targets.
	ServiceName string
	// Version is the version of a configuration. A later configuration has a higher
	// one.
	Version int64
	// Key is a secret with which the callers of a workspace identify it. It must not
	// be logged or sent to a target.
	Key string
	// Kind tells whether a request may be run more than once.
	Kind string
)

// String hides the key, so that it is not printed by mistake.
func (Key) String() string { return "(key)" }

// GoString hides the key too.
func (Key) GoString() string { return "(key)" }

// Kinds of requests.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "nonIdempotent"
)

// WeightedService is one service of a traffic split.
type WeightedService struct {
	Service ServiceName
	Weight  float64 // relative to the other services of the split; at least 0
}

// Route describes how the requests of one host below one path prefix are handled.
// It is a plain route, which sends each request to one of several services, or a
// search, which sends each request to all of its shards and merges the answers.
type Route struct {
	Name             RouteName
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Timeout          clock.Duration // maximum time until a request is answered; 0 for none
	LatencyObjective clock.Duration // time within which requests should be answered; 0 when not stated
	Priority         int            // 0 is the highest priority
	Public           bool           // callers need no key
	MaxAttempts      int            // maximum number of targets that one request may be sent to, for each shard; at least 1

	Split []WeightedService // services of a plain route, one of which serves a request; empty for a search

	Shards      []ServiceName // services of a search, all of which get each request; empty for a plain route
	TopK        int           // number of records in a search's answer
	MinCoverage float64       // minimum share of the shards in a successful answer, 0 to 1
}

// IsSearch reports whether the route is a search.
func (r *Route) IsSearch() bool { return len(r.Shards) > 0 }

// Choose returns the service of a plain route for point, a random number from 0 up
// to but not including 1, uniformly distributed over requests. It returns "" when
// no service has a positive weight.
func (r *Route) Choose(point float64) ServiceName {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := point * total
	for _, s := range r.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return ""
}

// Service is the configuration of a group of equivalent targets.
type Service struct {
	Name           ServiceName
	MaxConnections int     // connections that each target accepts from all instances together; 0 when not stated
	HealthPath     string  // URL path at which its targets tell how they are; "" when not stated
	ColdPerSecond  float64 // requests per second that a target may get while it is cold, that is, shortly after its start; 0 when not stated
}

// Limits bound the size of a caller's request and the time for receiving it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Duration
	IdleTimeout   clock.Duration
}

// DefaultLimits apply to limits that a configuration does not state, and until a
// configuration is known.
var DefaultLimits = Limits{
	HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * clock.Second, IdleTimeout: 15 * clock.Second,
}

// WithDefaults returns l with the default in place of each limit that is not
// positive. Without it, a body limit that is not stated would reject all bodies.
func (l Limits) WithDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultLimits.HeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultLimits.BodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
	}
	return l
}

// Workspace is a customer whose callers share keys and a quota.
type Workspace struct {
	ID       topology.WorkspaceID
	Keys     []Key // may be empty
	Priority int   // takes precedence over that of the route; 0 is the highest
	// RatePerSecond and Burst are the quota for all instances together. A
	// RatePerSecond of 0 means that there is none.
	RatePerSecond float64
	Burst         float64
}

// Config is one version of the configuration.
type Config struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace // empty: callers need no keys
}

// Table finds routes and services of one Config.
type Table struct {
	Config   *Config
	byHost   map[string][]*Route // longest prefix first
	byName   map[RouteName]*Route
	services map[ServiceName]*Service
	shards   map[ServiceName]bool
}

// NewTable returns the Table of c, which must not be modified afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		Config: c, byHost: map[string][]*Route{}, byName: map[RouteName]*Route{},
		services: map[ServiceName]*Service{}, shards: map[ServiceName]bool{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		t.byName[r.Name] = r
		for _, name := range r.Shards {
			t.shards[name] = true
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route of host whose prefix is the longest one of path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Route returns the route with the name, or nil.
func (t *Table) Route(name RouteName) *Route { return t.byName[name] }

// IsShard reports whether the service is a shard of a search.
func (t *Table) IsShard(name ServiceName) bool { return t.shards[name] }

// Service returns the configuration of the service with the name, or nil.
func (t *Table) Service(name ServiceName) *Service { return t.services[name] }
