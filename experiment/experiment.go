// Package experiment measures the policies of the query tier, such as hedging and
// admission control, and its behaviour under faults. It runs a whole deployment in one
// process and compares a policy with a baseline without it.
package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/deployment"
	"knapweedstall/emulator/target"
	"knapweedstall/load"
	"knapweedstall/tier"
)

// Options are common to all experiments.
type Options struct {
	Deployment string         `json:"deployment"`
	Instances  int            `json:"instances"`
	DurationMS clock.Duration `json:"durationMs"` // duration of the recorded part of each run
	RatePerSec float64        `json:"ratePerSec"` // queries per second; 0 for the default of the experiment
	Seed       uint64         `json:"seed"`
}

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Goal  string  `json:"goal,omitempty"` // the required value, as text; "" without one
	Met   *bool   `json:"met,omitempty"`  // set when Goal is
}

// Report is the outcome of an experiment.
type Report struct {
	Experiment  string            `json:"experiment"`
	Options     Options           `json:"options"`
	Comparisons []load.Comparison `json:"comparisons"`
	Figures     []Figure          `json:"figures"`
}

// add appends a figure without a goal.
func (r *Report) add(name, unit string, value float64) {
	r.Figures = append(r.Figures, Figure{Name: name, Unit: unit, Value: value})
}

// addWithGoal appends a figure with its goal and whether the value meets it.
func (r *Report) addWithGoal(name, unit string, value float64, goal string, met bool) {
	r.Figures = append(r.Figures, Figure{Name: name, Unit: unit, Value: value, Goal: goal, Met: &met})
}

// GoalsMet reports whether every figure with a goal meets it.
func (r *Report) GoalsMet() bool {
	for _, f := range r.Figures {
		if f.Met != nil && !*f.Met {
			return false
		}
	}
	return true
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s on %s, %d instances, seed %d\n", r.Experiment, r.Options.Deployment, r.Options.Instances, r.Options.Seed)
	for _, c := range r.Comparisons {
		if err := c.WriteTable(w); err != nil {
			return err
		}
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, f := range r.Figures {
		fmt.Fprintf(t, "%s\t%.4g %s\t%s\n", f.Name, f.Value, f.Unit, goalText(f))
	}
	return t.Flush()
}

// goalText returns the goal of a figure and whether it is met, or "" without a goal.
func goalText(f Figure) string {
	if f.Met == nil {
		return ""
	}
	if *f.Met {
		return "goal " + f.Goal + ": met"
	}
	return "goal " + f.Goal + ": NOT met"
}

// Experiment is one measurement, which can be run by name.
type Experiment struct {
	Name     string
	Synopsis string
	Run      func(ctx context.Context, o Options, r *Report) error
}

// All returns all experiments.
func All() []Experiment {
	return []Experiment{
		{"stragglers", "hedging when 1 in 100 sub-requests is slow", stragglers},
		{"overload", "goodput at 1 to 2 times the capacity, with and without admission control", overload},
		{"fairness", "a workspace that offers ten times its share beside one within its share", fairness},
		{"zone", "an availability zone taken out and brought back under load", zone},
		{"cold", "targets that restart cold under load", cold},
		{"silent", "all open target connections stop answering under load", silent},
		{"config", "time until an accepted ticket is in force everywhere", config},
		{"canary", "cost of the canary for queries not seen before", canary},
		{"restart", "instances stopped gracefully and killed under load", restart},
	}
}

// UnknownExperimentError reports that there is no experiment of that name.
type UnknownExperimentError struct{ Name string }

// Error implements error.
func (e *UnknownExperimentError) Error() string { return fmt.Sprintf("no experiment %q", e.Name) }

// Run runs the named experiment. It fails with *UnknownExperimentError if there is
// none, or with the error of the experiment.
func Run(ctx context.Context, name string, o Options) (*Report, error) {
	all := All()
	i := slices.IndexFunc(all, func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		return nil, &UnknownExperimentError{name}
	}
	r := &Report{Experiment: name, Options: o}
	return r, all[i].Run(ctx, o, r)
}

// deployment returns the deployment that Deployment names; the default is peachline.
func (o Options) deployment() deployment.Deployment {
	if o.Deployment == "berceuse" {
		return deployment.Berceuse()
	}
	return deployment.Peachline()
}

// plan returns a plan that searches the first collection for all workspaces. rate is
// the default of Options.RatePerSec.
func (o Options) plan(name string, t *tier.Tier, rate float64) load.Plan {
	if o.RatePerSec > 0 {
		rate = o.RatePerSec
	}
	p := load.Plan{
		Name: name, Addresses: t.Addresses(), RatePerSec: rate, DurationMS: o.DurationMS,
		WarmupMS: 2 * clock.Second, DeadlineMS: 250, Seed: o.Seed,
	}
	for _, workspace := range t.Deployment.Workspaces {
		p.Streams = append(p.Streams, load.Stream{
			Workspace: workspace, Token: tier.Token(workspace), Collection: t.Deployment.Collections[0].ID, Weight: 1, Queries: queryTexts(200),
		})
	}
	return p
}

// queryTexts returns n different query texts.
func queryTexts(n int) []string {
	vocabulary := target.Words()
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s %s q%d", vocabulary[i%len(vocabulary)], vocabulary[(i/3)%len(vocabulary)], i))
	}
	return out
}

// run runs a load plan and checks every answer against the targets' documents.
func run(ctx context.Context, t *tier.Tier, p load.Plan) (*load.Result, error) {
	return load.Run(ctx, p, load.WithCheck(answerCheck(t)))
}

// answerCheck returns a check of answers against the targets' documents.
func answerCheck(t *tier.Tier) load.Check {
	var corpus target.Corpus
	shards := func(id topology.CollectionID, snapshot topology.SnapshotID) []topology.ShardID {
		for _, s := range t.Targets.Snapshots(id) {
			if s.ID == snapshot {
				return shardsOf(s)
			}
		}
		return nil
	}
	return load.NewCheck(shards, func(q load.Query, snapshot topology.SnapshotID, covered []topology.ShardID) []hit {
		return corpus.Answer(snapshot, covered, q.Workspace, q.Text, q.Limit)
	})
}

// shardsOf returns the shards of a snapshot.
func shardsOf(s topology.Snapshot) []topology.ShardID {
	var out []topology.ShardID
	for _, service := range s.Services() {
		out = append(out, s.Shards[service]...)
	}
	return out
}

// withTiming sets the service times of all targets.
func withTiming(tm target.Timing) tier.Option {
	return tier.WithFleetOptions(target.WithConfig(func(_ topology.Collection, c *target.Config) { c.Timing = tm }))
}
