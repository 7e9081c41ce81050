package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/deployment"
	"knapweedstall/emulator/target"
	"knapweedstall/load"
	"knapweedstall/tier"
)

// zoneOutLimit is the time after which a zone that was taken out must receive no new
// calls. The config experiment also waits for that time after a cut from the platform.
const zoneOutLimit = 3 * time.Second

// zone takes an availability zone out and back in under load.
func zone(ctx context.Context, o Options, r *Report) error {
	t, err := tier.Start(o.deployment(), tier.WithInstances(o.Instances))
	if err != nil {
		return err
	}
	defer t.Close()
	id := t.Deployment.Zones[0]
	var outAt, backAt time.Time
	change := func(state string, when *time.Time) func() error {
		return func() error {
			*when = time.Now()
			_, err := t.FileChanges(t.Deployment.ZoneChange(id, state))
			return err
		}
	}
	const rate = 100
	outAfter, backAfter := o.DurationMS/4, o.DurationMS*3/4
	if observed := (backAfter - outAfter).Std() - zoneOutLimit; observed < time.Second {
		return &DurationError{DurationMS: o.DurationMS, Need: "the zone must be out for at least 1 s after its limit of 3 s: at least 8,000 ms"}
	}
	result, err := runWithSteps(ctx, t, o.plan("zone out and back", t, rate),
		step{outAfter, change("out", &outAt)}, step{backAfter, change("in", &backAt)})
	if err != nil {
		return err
	}
	lateCalls := 0
	servers, err := t.Targets.Select(target.Selector{Zone: id})
	if err != nil {
		return err
	}
	for _, s := range servers {
		for _, c := range s.CallLog().Calls() {
			if c.Started.After(outAt.Add(zoneOutLimit)) && c.Started.Before(backAt) {
				lateCalls++
			}
		}
	}
	r.addWithGoal("calls to the zone later than 3 s after it was taken out", "calls", float64(lateCalls), "0", lateCalls == 0)
	after, err := t.Targets.CallsSince(target.Selector{Zone: id}, backAt)
	if err != nil {
		return err
	}
	r.addWithGoal("work after the zone is back", "calls", float64(after), "over 0", after > 0)
	addPhases(r, result, outAfter, backAfter, "before", "out", "back")
	counts := t.Targets.Counts()
	r.addWithGoal("calls over what targets bear", "calls", float64(counts.OverLimit), "0", counts.OverLimit == 0)
	return nil
}

// DurationError reports that a run is too short to yield figures.
type DurationError struct {
	DurationMS clock.Duration
	Need       string // the shortest duration, and why
}

// Error implements error.
func (e *DurationError) Error() string {
	return fmt.Sprintf("a run of %d ms is too short: %s", e.DurationMS, e.Need)
}

// addPhases adds the figures of the three phases of a run. The first phase ends at
// first, the second at second and the third with the run.
func addPhases(r *Report, result *load.Result, first, second clock.Duration, names ...string) {
	worst, coverage := make([]float64, 3), []float64{1, 1, 1}
	for _, p := range result.Series {
		i := 0
		if p.FromMS >= float64(first) {
			i++
		}
		if p.FromMS >= float64(second) {
			i++
		}
		worst[i] = max(worst[i], p.Summary.LatencyMS.P99)
		if p.Summary.Answered > 0 {
			coverage[i] = min(coverage[i], p.Summary.OfferedCoverage)
		}
	}
	for i, name := range names {
		r.add("worst p99 of a bucket, "+name, "ms", worst[i])
		r.add("worst mean coverage of a bucket, "+name, "share", coverage[i])
	}
	r.add("p99 of the whole run", "ms", result.Total.LatencyMS.P99)
	r.add("mean coverage of the whole run", "share", result.Total.OfferedCoverage)
	r.add("complete answers", "share", float64(result.Total.Complete)/float64(max(result.Total.Offered, 1)))
	r.add("wrong answers", "answers", float64(result.Total.Wrong))
}

// cold restarts targets one after the other under load, so that each is cold for a
// while.
func cold(ctx context.Context, o Options, r *Report) error {
	t, err := tier.Start(o.deployment(), tier.WithInstances(o.Instances))
	if err != nil {
		return err
	}
	defer t.Close()
	var steps []step
	servers, err := t.Targets.Select(target.Selector{Collection: t.Deployment.Collections[0].ID})
	if err != nil {
		return err
	}
	// One target of each service crashes and restarts cold, one service after the other.
	for i, s := range servers {
		if i%2 == 0 {
			after := o.DurationMS * clock.Duration(i+1) / clock.Duration(2*len(servers))
			steps = append(steps, step{after, func() error { s.Crash(); return nil }})
		}
	}
	result, err := runWithSteps(ctx, t, o.plan("cold targets", t, 100), steps...)
	if err != nil {
		return err
	}
	counts := t.Targets.Counts()
	r.addWithGoal("calls over what a cold target bears", "calls", float64(counts.OverLimitCold), "0", counts.OverLimitCold == 0)
	r.addWithGoal("calls over what targets bear", "calls", float64(counts.OverLimit), "0", counts.OverLimit == 0)
	addPhases(r, result, o.DurationMS/3, o.DurationMS*2/3, "first third", "second third", "last third")
	return nil
}

// silent makes all open connections to targets stop answering under load.
func silent(ctx context.Context, o Options, r *Report) error {
	t, err := tier.Start(o.deployment(), tier.WithInstances(o.Instances))
	if err != nil {
		return err
	}
	defer t.Close()
	servers, err := t.Targets.Select(target.Selector{})
	if err != nil {
		return err
	}
	third := o.DurationMS / 3
	result, err := runWithSteps(ctx, t, o.plan("silent connections", t, 100), step{third, func() error {
		for _, s := range servers {
			if err := s.SetFaults(target.Faults{Silence: target.SilenceOpen}); err != nil {
				return err
			}
		}
		return nil
	}})
	if err != nil {
		return err
	}
	addPhases(r, result, third, 2*third, "before", "silent", "last third")
	r.add("time until answers are complete again", "ms", recoveryMS(result, third))
	return nil
}

// recoveryMS returns the time in ms from the fault to the end of the last bucket in
// which a request did not get a complete answer.
func recoveryMS(result *load.Result, fault clock.Duration) float64 {
	last := float64(fault)
	for _, p := range result.Series {
		if p.FromMS >= float64(fault) && p.Summary.Complete < p.Summary.Offered {
			last = p.FromMS + p.WidthMS
		}
	}
	return last - float64(fault)
}

// config measures the time until a ticket is in force in all instances, with all
// instances connected to the store and with only one connected.
func config(ctx context.Context, o Options, r *Report) error {
	t, err := tier.Start(o.deployment(), tier.WithInstances(o.Instances))
	if err != nil {
		return err
	}
	defer t.Close()
	const tickets = 30
	connected, err := inForceDelays(ctx, t, tickets)
	if err != nil {
		return err
	}
	addDelays(r, "store reachable", connected)
	// All instances but the first lose their connection to the platform.
	for _, m := range t.Members()[1:] {
		m.BlockPlatform(true)
	}
	time.Sleep(zoneOutLimit)
	cut, err := inForceDelays(ctx, t, tickets)
	if err != nil {
		return err
	}
	addDelays(r, "all but one instance cut off from the store", cut)
	return nil
}

// addDelays adds the median and the maximum of delays in ms.
func addDelays(r *Report, name string, delays []float64) {
	slices.Sort(delays)
	r.add("median, "+name, "ms", delays[len(delays)/2])
	worst := delays[len(delays)-1]
	r.addWithGoal("slowest, "+name, "ms", worst, "at most 5000", worst <= 5000)
}

// inForceDelays files n tickets and returns for each the time in ms from its
// acceptance until it is in force in all instances.
func inForceDelays(ctx context.Context, t *tier.Tier, n int) ([]float64, error) {
	var delays []float64
	for range n {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		accepted, err := t.FileChanges(deployment.Change{Scope: "tuning", Value: map[string]any{"hedging": true, "maxBatch": 8, "canary": true}})
		if err != nil {
			return nil, err
		}
		start := time.Now()
		if err := t.WaitForTicket(accepted.Number, 10*time.Second); err != nil {
			return nil, err
		}
		delays = append(delays, float64(time.Since(start).Microseconds())/1000)
	}
	return delays, nil
}

// restart stops one instance gracefully and kills another under load, and starts a
// replacement for each.
func restart(ctx context.Context, o Options, r *Report) error {
	t, err := tier.Start(o.deployment(), tier.WithInstances(o.Instances))
	if err != nil {
		return err
	}
	defer t.Close()
	third := o.DurationMS / 3
	members := t.Members()
	p := o.plan("instances restarted", t, 100)
	p.Addresses = p.Addresses[2:] // the load balancer no longer sends to the two instances that are about to end
	result, err := runWithSteps(ctx, t, p,
		step{third, func() error { t.Stop(members[0]); _, err := t.Add(); return err }},
		step{2 * third, func() error { t.Kill(members[1]); _, err := t.Add(); return err }})
	if err != nil {
		return err
	}
	addPhases(r, result, third, 2*third, "before", "after the stop", "after the kill")
	counts := t.Targets.Counts()
	r.addWithGoal("calls over what targets bear", "calls", float64(counts.OverLimit), "0", counts.OverLimit == 0)
	return nil
}
