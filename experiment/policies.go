package experiment

import (
	"context"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/emulator/target"
	"knapweedstall/load"
	"knapweedstall/tier"
)

// hit is short for message.Hit in function types.
type hit = message.Hit

// stragglerTiming makes a target slow by a factor of 10 in 1 of 100 calls.
var stragglerTiming = target.Timing{BaseMS: 3.5, ItemMS: 0.5, Sigma: 0.25, SlowShare: 0.01, SlowFactor: 10}

// measurement is the outcome of one run of a load plan on a tier of its own.
type measurement struct {
	result *load.Result
	counts target.Counts
	status []node.Status // of the instances, at the end
}

// measure starts a tier, runs the plan and closes the tier.
func measure(ctx context.Context, o Options, name string, rate float64, opts ...tier.Option) (measurement, error) {
	t, err := tier.Start(o.deployment(), append([]tier.Option{tier.WithInstances(o.Instances)}, opts...)...)
	if err != nil {
		return measurement{}, err
	}
	defer t.Close()
	result, err := run(ctx, t, o.plan(name, t, rate))
	if err != nil {
		return measurement{}, err
	}
	m := measurement{result: result, counts: t.Targets.Counts()}
	for _, member := range t.Members() {
		if s, ok := member.Status(); ok {
			m.status = append(m.status, s)
		}
	}
	return m, nil
}

// repeatedShare returns the number of repeated sub-requests, as a share of the first
// sends.
func (m measurement) repeatedShare() float64 {
	var first, repeated uint64
	for _, s := range m.status {
		for _, h := range s.Holdings {
			first += h.FirstSends
			repeated += h.RepeatedSends
		}
	}
	if first == 0 {
		return 0
	}
	return float64(repeated) / float64(first)
}

// stragglers measures hedging against occasional slow sub-requests.
func stragglers(ctx context.Context, o Options, r *Report) error {
	const rate = 150
	baseline, err := measure(ctx, o, "no hedging", rate, withTiming(stragglerTiming), tier.WithNodeOptions(node.WithoutHedging()))
	if err != nil {
		return err
	}
	ours, err := measure(ctx, o, "hedging", rate, withTiming(stragglerTiming))
	if err != nil {
		return err
	}
	r.Comparisons = append(r.Comparisons, load.Compare("hedging", baseline.result, ours.result))
	ratio := ours.result.Total.LatencyMS.P99 / baseline.result.Total.LatencyMS.P99
	r.addWithGoal("p99 with hedging / without", "", ratio, "at most 0.5", ratio <= 0.5)
	r.addWithGoal("extra sub-requests", "share", ours.repeatedShare(), "under 0.05", ours.repeatedShare() < 0.05)
	r.addWithGoal("calls over what targets bear", "calls", float64(ours.counts.OverLimit), "0", ours.counts.OverLimit == 0)
	return nil
}

// slowTiming makes targets so slow that their slots, and not this machine's
// processors, limit the throughput. The cost is per item, so that batches do not
// increase the capacity.
var slowTiming = target.Timing{BaseMS: 1, ItemMS: 19, Sigma: 0.25}

// slowCapacity is the number of queries per second that a service of 2 targets with 2
// slots each can answer with slowTiming, which takes 20 ms for a query.
const slowCapacity = 4 * 1000 / 20

// overload measures goodput at the capacity and at twice the capacity, the latter with
// and without admission control.
func overload(ctx context.Context, o Options, r *Report) error {
	at, err := measure(ctx, o, "at capacity", slowCapacity, withTiming(slowTiming))
	if err != nil {
		return err
	}
	twice, err := measure(ctx, o, "twice the capacity", 2*slowCapacity, withTiming(slowTiming))
	if err != nil {
		return err
	}
	without, err := measure(ctx, o, "twice the capacity, no admission", 2*slowCapacity, withTiming(slowTiming), tier.WithNodeOptions(node.WithoutAdmission()))
	if err != nil {
		return err
	}
	r.Comparisons = append(r.Comparisons,
		load.Compare("twice the capacity against capacity", at.result, twice.result),
		load.Compare("admission at twice the capacity", without.result, twice.result))
	ratio := twice.result.Total.GoodPerSec / at.result.Total.GoodPerSec
	r.addWithGoal("goodput at twice the capacity / at capacity", "", ratio, "at least 0.95", ratio >= 0.95)
	r.add("refusals without a time to come back", "refusals", float64(twice.result.Total.WithoutRetryAfter))
	r.add("refusal latency p99", "ms", twice.result.Total.RefusalMS.P99)
	r.addWithGoal("calls over what targets bear", "calls", float64(twice.counts.OverLimit), "0", twice.counts.OverLimit == 0)
	return nil
}

// fairness measures the goodput of a workspace within its share, alone and beside a
// workspace that offers 10 times its share.
func fairness(ctx context.Context, o Options, r *Report) error {
	const share = slowCapacity * 4 / 10 // 80 % of one of two equal shares
	alone, err := measureWorkspaces(ctx, o, "well-behaved tenant alone", share, 0)
	if err != nil {
		return err
	}
	beside, err := measureWorkspaces(ctx, o, "beside a tenant at 10 times its share", share, 10*slowCapacity/2)
	if err != nil {
		return err
	}
	before, after := alone.result.Streams[0].Summary.GoodPerSec, beside.result.Streams[0].Summary.GoodPerSec
	r.add("goodput of the well-behaved tenant alone", "1/s", before)
	r.add("goodput beside the other tenant", "1/s", after)
	r.addWithGoal("ratio", "", after/before, "at least 0.95", after >= 0.95*before)
	return nil
}

// measureWorkspaces measures a plan in which the first workspace sends first queries
// per second and the second workspace second.
func measureWorkspaces(ctx context.Context, o Options, name string, first, second float64) (measurement, error) {
	t, err := tier.Start(o.deployment(), tier.WithInstances(o.Instances), withTiming(slowTiming))
	if err != nil {
		return measurement{}, err
	}
	defer t.Close()
	p := o.plan(name, t, first+second)
	p.Streams[0].Weight, p.Streams[1].Weight = first, second
	if second == 0 {
		p.Streams = p.Streams[:1]
	}
	result, err := run(ctx, t, p)
	return measurement{result: result, counts: t.Targets.Counts()}, err
}

// canary measures unseen queries with and without the canary, and known queries with
// it. With the canary, an unseen query runs on one target first.
func canary(ctx context.Context, o Options, r *Report) error {
	const rate = 60
	measureUnseen := func(name string, opts ...tier.Option) (measurement, error) {
		t, err := tier.Start(o.deployment(), append([]tier.Option{tier.WithInstances(o.Instances)}, opts...)...)
		if err != nil {
			return measurement{}, err
		}
		defer t.Close()
		p := o.plan(name, t, rate)
		for i := range p.Streams {
			p.Streams[i].Queries = queryTexts(100_000)
		}
		result, err := run(ctx, t, p)
		return measurement{result: result}, err
	}
	without, err := measureUnseen("unseen queries, no canary", tier.WithNodeOptions(node.WithoutCanary()))
	if err != nil {
		return err
	}
	with, err := measureUnseen("unseen queries, canary")
	if err != nil {
		return err
	}
	known, err := measure(ctx, o, "known queries, canary", rate)
	if err != nil {
		return err
	}
	r.Comparisons = append(r.Comparisons,
		load.Compare("canary on queries never seen before", without.result, with.result),
		load.Compare("known queries against unseen without a canary", without.result, known.result))
	return nil
}

// runWithSteps runs a load plan and the steps at their times, in order. It returns the
// error of the plan or else the first error of a step.
func runWithSteps(ctx context.Context, t *tier.Tier, p load.Plan, steps ...step) (*load.Result, error) {
	done := make(chan error, 1)
	start := time.Now().Add(p.WarmupMS.Std())
	go func() {
		for _, s := range steps {
			time.Sleep(time.Until(start.Add(s.after.Std())))
			if err := s.action(); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	result, err := run(ctx, t, p)
	if stepErr := <-done; err == nil {
		err = stepErr
	}
	return result, err
}

// step is an action during the run of a plan.
type step struct {
	after  clock.Duration // from the start of the recorded part
	action func() error
}
