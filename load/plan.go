// Package load measures a query tier over its caller protocol (docs/design.md section
// 15.3) with an open-loop load generator: requests are sent at random arrival times
// that do not depend on earlier answers, and latency is measured from the intended
// arrival. A tier that stalls thereby shows in the percentiles. The generator sends
// requests to loopback addresses only.
package load

import (
	"fmt"
	"net/netip"
	"slices"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
)

// Plan is the configuration of one run of the load generator.
type Plan struct {
	Name           string         `json:"name"`
	Addresses      []string       `json:"addresses"`   // caller endpoints of the instances: loopback IP address and port
	RatePerSec     float64        `json:"ratePerSec"`  // mean of the Poisson arrivals
	DurationMS     clock.Duration `json:"durationMs"`  // time in which requests arrive and are recorded
	WarmupMS       clock.Duration `json:"warmupMs"`    // time before it, in which requests arrive and are not recorded
	DeadlineMS     clock.Duration `json:"deadlineMs"`  // deadline stated in requests; later answers do not count as good; default 250
	TimeoutMS      clock.Duration `json:"giveUpMs"`    // time from the intended arrival after which a request fails; default: deadline + 1,000
	MaxOutstanding int            `json:"outstanding"` // limit of requests in flight; requests over it fail without being sent; default 2,048
	Limit          int            `json:"limit"`       // number of hits requested; default 10
	BucketMS       clock.Duration `json:"bucketMs"`    // width of a bucket of the time series; default: a 60th of the duration, at least 100
	Seed           uint64         `json:"seed"`        // seed of the random arrivals, streams, queries and addresses
	Streams        []Stream       `json:"streams"`     // at least 1
}

// Stream is the share of one workspace and collection in the load.
type Stream struct {
	Workspace  topology.WorkspaceID  `json:"tenant"`
	Token      string                `json:"token,omitempty"` // bearer token; left out of results
	Collection topology.CollectionID `json:"collection"`
	Weight     float64               `json:"weight"`  // share relative to the other streams; over 0
	Queries    []string              `json:"queries"` // drawn with equal probability; at least 1
}

// AddressError reports an address of a plan that is not a loopback IP address with a
// port.
type AddressError struct{ Address string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("load: address %q is not a loopback IP address with a port", e.Address)
}

// PlanError reports a field of a plan that is missing or outside its range.
type PlanError struct {
	Field string // such as "streams[1].weight"
}

// Error implements error.
func (e *PlanError) Error() string { return fmt.Sprintf("load: plan: invalid %s", e.Field) }

// Check returns an error for the first invalid field of the plan: *AddressError or
// *PlanError.
func (p Plan) Check() error {
	for _, a := range p.Addresses {
		if err := checkLoopback(a); err != nil {
			return err
		}
	}
	for _, f := range []struct {
		field string
		ok    bool
	}{
		{"addresses", len(p.Addresses) > 0},
		{"ratePerSec", p.RatePerSec > 0},
		{"durationMs", p.DurationMS > 0},
		{"warmupMs", p.WarmupMS >= 0},
		{"deadlineMs", p.DeadlineMS >= 0},
		{"giveUpMs", p.TimeoutMS == 0 || p.TimeoutMS >= p.DeadlineMS},
		{"outstanding", p.MaxOutstanding >= 0},
		{"limit", p.Limit >= 0},
		{"bucketMs", p.BucketMS >= 0},
		{"streams", len(p.Streams) > 0},
	} {
		if !f.ok {
			return &PlanError{f.field}
		}
	}
	for i, s := range p.Streams {
		if s.Weight <= 0 || s.Collection == "" || len(s.Queries) == 0 {
			return &PlanError{fmt.Sprintf("streams[%d]", i)}
		}
	}
	return nil
}

// checkLoopback returns *AddressError unless address is a loopback IP address with a
// port.
func checkLoopback(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().IsLoopback() || a.Port() == 0 {
		return &AddressError{address}
	}
	return nil
}

// withDefaults returns p with the defaults in place of its zero fields.
func (p Plan) withDefaults() Plan {
	setDefault(&p.DeadlineMS, 250)
	setDefault(&p.TimeoutMS, p.DeadlineMS+clock.Second)
	setDefault(&p.MaxOutstanding, 2048)
	setDefault(&p.Limit, 10)
	setDefault(&p.BucketMS, max(p.DurationMS/60, 100))
	return p
}

// setDefault sets a field to value if it is zero.
func setDefault[T ~int | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// withoutTokens returns p without the bearer tokens, which results must not contain.
func (p Plan) withoutTokens() Plan {
	p.Streams = slices.Clone(p.Streams)
	for i := range p.Streams {
		p.Streams[i].Token = ""
	}
	return p
}
