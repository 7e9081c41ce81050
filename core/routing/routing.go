// Package routing holds the configuration that operators put in force and
// selects the route of a request.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"knapweedstall/core/clock"
)

type (
	// RouteName names a route; it is unique within a configuration.
	RouteName string
	// ServiceName names a group of equal targets.
	ServiceName string
	// Version numbers configurations. A later configuration has a higher one.
	Version int64
	// Kind says whether a request may be repeated.
	Kind string
)

// Kinds of requests.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "nonIdempotent"
)

// Share is one service of a traffic split.
type WeightedService struct {
	Service ServiceName
	Weight  float64 // relative to the other shares; at least 0
}

// Route says what becomes of the requests of one host below one path prefix.
type Route struct {
	Name             RouteName
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             Kind
	Timeout          clock.Duration // longest time that a request is kept waiting; 0 for none
	LatencyObjective clock.Duration // time within which an answer has its full use; 0 when not stated
	Priority         int            // 0 is the most urgent
	MaxAttempts      int            // targets that one request may be sent to, for each shard; at least 1

	Split []WeightedService // services of a plain route, one of which serves a request; empty for a search

	Shards      []ServiceName // services of a search, all of which are asked; empty for a plain route
	TopK        int           // records of a search's answer
	MinCoverage float64       // least share of the shards in a successful answer, 0 to 1
}

// IsSearch reports whether the route asks all shards.
func (r *Route) IsSearch() bool { return len(r.Shards) > 0 }

// Choose returns the service of a plain route for point, which is at least 0
// and below 1 and spread evenly over requests. It returns "" when no share has
// a weight.
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

// Service is what the configuration says of a group of targets.
type Service struct {
	Name           ServiceName
	MaxConnections int     // that each target accepts from all instances together; 0 when not stated
	ColdPerSecond  float64 // requests a second that a cold target bears; 0 when not stated
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Duration
	IdleTimeout   clock.Duration
}

// DefaultLimits hold for what a configuration doesn't state, and until one is
// known.
var DefaultLimits = Limits{
	HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * clock.Second, IdleTimeout: 15 * clock.Second,
}

// OrDefault returns l with the default in place of each limit that is not
// positive. Without it, a body limit that is not stated would refuse all bodies.
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

// Config is one version of the configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table finds routes and services of one Config.
type Table struct {
	Config   *Config
	byHost   map[string][]*Route // longest prefix first
	byName   map[RouteName]*Route
	services map[ServiceName]*Service
	shards   map[ServiceName]bool
}

// NewTable returns the Table of c, which must not change afterwards.
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

// Match returns the route of host with the longest prefix of path, or nil.
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

// IsShard reports whether a search asks the service.
func (t *Table) IsShard(name ServiceName) bool { return t.shards[name] }

// Service returns what the configuration says of name, or nil.
func (t *Table) Service(name ServiceName) *Service { return t.services[name] }
