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

// zoneOutBound is when a zone that was taken out must get no new work.
const zoneOutBound = 3 * time.Second

func zone(ctx context.Context, o Options, r *Report) error {
	t, err := tier.Start(o.deployment(), tier.WithInstances(o.Instances))
	if err != nil {
		return err
	}
	defer t.Close()
	id := t.Deployment.Zones[0]
	var out, back time.Time
	change := func(state string, when *time.Time) func() error {
		return func() error {
			*when = time.Now()
			_, err := t.FileChanges(t.Deployment.ZoneChange(id, state))
			return err
		}
	}
	const rate = 100
	leaves, returns := o.DurationMS/4, o.DurationMS*3/4
	if seen := (returns - leaves).Std() - zoneOutBound; seen < time.Second {
		return &DurationError{DurationMS: o.DurationMS, Need: "the zone must be out for at least 1 s after its bound of 3 s: at least 8,000 ms"}
	}
	result, err := at(ctx, t, o.plan("zone out and back", t, rate),
		step{leaves, change("out", &out)}, step{returns, change("in", &back)})
	if err != nil {
		return err
	}
	late := 0
	servers, err := t.Targets.Select(target.Selector{Zone: id})
	if err != nil {
		return err
	}
	for _, s := range servers {
		for _, c := range s.CallLog().Calls() {
			if c.Started.After(out.Add(zoneOutBound)) && c.Started.Before(back) {
				late++
			}
		}
	}
	r.judge("calls to the zone later than 3 s after it was taken out", "calls", float64(late), "0", late == 0)
	after, err := t.Targets.CallsSince(target.Selector{Zone: id}, back)
	if err != nil {
		return err
	}
	r.judge("work after the zone is back", "calls", float64(after), "over 0", after > 0)
	addPhases(r, result, leaves, returns, "before", "out", "back")
	counts := t.Targets.Counts()
	r.judge("calls over what targets bear", "calls", float64(counts.OverLimit), "0", counts.OverLimit == 0)
	return nil
}

// DurationError says that a run is too short to show anything.
type DurationError struct {
	DurationMS clock.Duration
	Need       string
}

// Error implements error.
func (e *DurationError) Error() string {
	return fmt.Sprintf("a run of %d ms is too short: %s", e.DurationMS, e.Need)
}

// addPhases adds the figures of the three phases of a run, which end at first,
// at second and with the run.
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
	// One replica of a service after the other restarts cold.
	for i, s := range servers {
		if i%2 == 0 {
			after := o.DurationMS * clock.Duration(i+1) / clock.Duration(2*len(servers))
			steps = append(steps, step{after, func() error { s.Crash(); return nil }})
		}
	}
	result, err := at(ctx, t, o.plan("cold targets", t, 100), steps...)
	if err != nil {
		return err
	}
	counts := t.Targets.Counts()
	r.judge("calls over what a cold target bears", "calls", float64(counts.OverLimitCold), "0", counts.OverLimitCold == 0)
	r.judge("calls over what targets bear", "calls", float64(counts.OverLimit), "0", counts.OverLimit == 0)
	addPhases(r, result, o.DurationMS/3, o.DurationMS*2/3, "first third", "second third", "last third")
	return nil
}

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
	result, err := at(ctx, t, o.plan("silent connections", t, 100), step{third, func() error {
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
	r.add("time until answers are complete again", "ms", recovery(result, third))
	return nil
}

// recovery returns the time from the fault to the end of the last bucket with an
// incomplete answer.
func recovery(result *load.Result, fault clock.Duration) float64 {
	last := float64(fault)
	for _, p := range result.Series {
		if p.FromMS >= float64(fault) && p.Summary.Complete < p.Summary.Offered {
			last = p.FromMS + p.WidthMS
		}
	}
	return last - float64(fault)
}

func config(ctx context.Context, o Options, r *Report) error {
	t, err := tier.Start(o.deployment(), tier.WithInstances(o.Instances))
	if err != nil {
		return err
	}
	defer t.Close()
	const tickets = 30
	connected, err := inForceTimes(ctx, t, tickets)
	if err != nil {
		return err
	}
	addTimes(r, "store reachable", connected)
	// All but the first instance lose the platform.
	for _, m := range t.Members()[1:] {
		m.CutPlatform(true)
	}
	time.Sleep(zoneOutBound)
	cut, err := inForceTimes(ctx, t, tickets)
	if err != nil {
		return err
	}
	addTimes(r, "all but one instance cut off from the store", cut)
	return nil
}

func addTimes(r *Report, name string, times []float64) {
	slices.Sort(times)
	r.add("median, "+name, "ms", times[len(times)/2])
	worst := times[len(times)-1]
	r.judge("slowest, "+name, "ms", worst, "at most 5000", worst <= 5000)
}

func inForceTimes(ctx context.Context, t *tier.Tier, n int) ([]float64, error) {
	var times []float64
	for range n {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		accepted, err := t.FileChanges(deployment.Change{Scope: "tuning", Value: map[string]any{"hedging": true, "maxBatch": 8, "canary": true}})
		if err != nil {
			return nil, err
		}
		start := time.Now()
		if err := t.InForce(accepted.Number, 10*time.Second); err != nil {
			return nil, err
		}
		times = append(times, float64(time.Since(start).Microseconds())/1000)
	}
	return times, nil
}

func restart(ctx context.Context, o Options, r *Report) error {
	t, err := tier.Start(o.deployment(), tier.WithInstances(o.Instances))
	if err != nil {
		return err
	}
	defer t.Close()
	third := o.DurationMS / 3
	members := t.Members()
	p := o.plan("instances restarted", t, 100)
	p.Addresses = p.Addresses[2:] // the balancer has taken out what is about to go
	result, err := at(ctx, t, p,
		step{third, func() error { t.Stop(members[0]); _, err := t.Add(); return err }},
		step{2 * third, func() error { t.Kill(members[1]); _, err := t.Add(); return err }})
	if err != nil {
		return err
	}
	addPhases(r, result, third, 2*third, "before", "after the stop", "after the kill")
	counts := t.Targets.Counts()
	r.judge("calls over what targets bear", "calls", float64(counts.OverLimit), "0", counts.OverLimit == 0)
	return nil
}
