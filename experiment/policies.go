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

type hit = message.Hit

// straggler is a target that is slow once in 100 calls.
var straggler = target.Timing{BaseMS: 3.5, ItemMS: 0.5, Sigma: 0.25, SlowShare: 0.01, SlowFactor: 10}

// measured is one run of a plan on a tier of its own.
type measured struct {
	result *load.Result
	counts target.Counts
	status []node.Status
}

// measure starts a tier, runs the plan and closes the tier.
func measure(ctx context.Context, o Options, name string, rate float64, opts ...tier.Option) (measured, error) {
	t, err := tier.Start(o.deployment(), append([]tier.Option{tier.WithInstances(o.Instances)}, opts...)...)
	if err != nil {
		return measured{}, err
	}
	defer t.Close()
	result, err := run(ctx, t, o.plan(name, t, rate))
	if err != nil {
		return measured{}, err
	}
	m := measured{result: result, counts: t.Targets.Counts()}
	for _, member := range t.Members() {
		if s, ok := member.Status(); ok {
			m.status = append(m.status, s)
		}
	}
	return m, nil
}

// extra returns the share of sub-requests that were sent again.
func (m measured) extra() float64 {
	var first, again uint64
	for _, s := range m.status {
		for _, h := range s.Holdings {
			first += h.First
			again += h.Extra
		}
	}
	if first == 0 {
		return 0
	}
	return float64(again) / float64(first)
}

func stragglers(ctx context.Context, o Options, r *Report) error {
	const rate = 150
	baseline, err := measure(ctx, o, "no hedging", rate, timing(straggler), tier.WithNode(node.WithoutHedging()))
	if err != nil {
		return err
	}
	ours, err := measure(ctx, o, "hedging", rate, timing(straggler))
	if err != nil {
		return err
	}
	r.Comparisons = append(r.Comparisons, load.Compare("hedging", baseline.result, ours.result))
	ratio := ours.result.Total.LatencyMS.P99 / baseline.result.Total.LatencyMS.P99
	r.judge("p99 with hedging / without", "", ratio, "at most 0.5", ratio <= 0.5)
	r.judge("extra sub-requests", "share", ours.extra(), "under 0.05", ours.extra() < 0.05)
	r.judge("calls over what targets bear", "calls", float64(ours.counts.OverLimit), "0", ours.counts.OverLimit == 0)
	return nil
}

// heavy makes targets slow enough for their slots, and not this machine's
// processors, to be the limit. The cost is in the items, so that batches do not
// raise the capacity.
var heavy = target.Timing{BaseMS: 1, ItemMS: 19, Sigma: 0.25}

// heavyCapacity is what a service of 2 targets with 2 slots each can answer, in
// queries per second.
const heavyCapacity = 4 * 1000 / 20

func overload(ctx context.Context, o Options, r *Report) error {
	at, err := measure(ctx, o, "at capacity", heavyCapacity, timing(heavy))
	if err != nil {
		return err
	}
	twice, err := measure(ctx, o, "twice the capacity", 2*heavyCapacity, timing(heavy))
	if err != nil {
		return err
	}
	without, err := measure(ctx, o, "twice the capacity, no admission", 2*heavyCapacity, timing(heavy), tier.WithNode(node.WithoutAdmission()))
	if err != nil {
		return err
	}
	r.Comparisons = append(r.Comparisons,
		load.Compare("twice the capacity against capacity", at.result, twice.result),
		load.Compare("admission at twice the capacity", without.result, twice.result))
	ratio := twice.result.Total.GoodPerSec / at.result.Total.GoodPerSec
	r.judge("goodput at twice the capacity / at capacity", "", ratio, "at least 0.95", ratio >= 0.95)
	r.add("refusals without a time to come back", "refusals", float64(twice.result.Total.WithoutRetryAfter))
	r.add("refusal latency p99", "ms", twice.result.Total.RefusalMS.P99)
	r.judge("calls over what targets bear", "calls", float64(twice.counts.OverLimit), "0", twice.counts.OverLimit == 0)
	return nil
}

func fairness(ctx context.Context, o Options, r *Report) error {
	const share = heavyCapacity * 4 / 10 // 80 % of one of two equal shares
	alone, err := measureWorkspaces(ctx, o, "well-behaved tenant alone", share, 0)
	if err != nil {
		return err
	}
	beside, err := measureWorkspaces(ctx, o, "beside a tenant at 10 times its share", share, 10*heavyCapacity/2)
	if err != nil {
		return err
	}
	before, after := alone.result.Streams[0].Summary.GoodPerSec, beside.result.Streams[0].Summary.GoodPerSec
	r.add("goodput of the well-behaved tenant alone", "1/s", before)
	r.add("goodput beside the other tenant", "1/s", after)
	r.judge("ratio", "", after/before, "at least 0.95", after >= 0.95*before)
	return nil
}

func measureWorkspaces(ctx context.Context, o Options, name string, first, second float64) (measured, error) {
	t, err := tier.Start(o.deployment(), tier.WithInstances(o.Instances), timing(heavy))
	if err != nil {
		return measured{}, err
	}
	defer t.Close()
	p := o.plan(name, t, first+second)
	p.Streams[0].Weight, p.Streams[1].Weight = first, second
	if second == 0 {
		p.Streams = p.Streams[:1]
	}
	result, err := run(ctx, t, p)
	return measured{result: result, counts: t.Targets.Counts()}, err
}

func canary(ctx context.Context, o Options, r *Report) error {
	const rate = 60
	unseen := func(name string, opts ...tier.Option) (measured, error) {
		t, err := tier.Start(o.deployment(), append([]tier.Option{tier.WithInstances(o.Instances)}, opts...)...)
		if err != nil {
			return measured{}, err
		}
		defer t.Close()
		p := o.plan(name, t, rate)
		for i := range p.Streams {
			p.Streams[i].Queries = words(100_000)
		}
		result, err := run(ctx, t, p)
		return measured{result: result}, err
	}
	without, err := unseen("unseen queries, no canary", tier.WithNode(node.WithoutCanary()))
	if err != nil {
		return err
	}
	with, err := unseen("unseen queries, canary")
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

// at runs steps at their times while a plan is measured, and returns the first
// fault of either.
func at(ctx context.Context, t *tier.Tier, p load.Plan, steps ...step) (*load.Result, error) {
	done := make(chan error, 1)
	start := time.Now().Add(p.WarmupMS.Std())
	go func() {
		for _, s := range steps {
			time.Sleep(time.Until(start.Add(s.after.Std())))
			if err := s.do(); err != nil {
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

// step is something that happens during a measurement.
type step struct {
	after clock.Duration // from the start of the recorded part
	do    func() error
}
