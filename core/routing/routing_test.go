package routing_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/routing"
)

// TestMatchTakesLongestPrefix checks that the route with the longest matching
// prefix takes precedence over others that match.
func TestMatchTakesLongestPrefix(t *testing.T) {
	table := routing.NewTable(&routing.Config{Routes: []routing.Route{
		{Name: "short", Host: "a", Prefix: "/x/"},
		{Name: "long", Host: "a", Prefix: "/x/y/"},
		{Name: "root", Host: "b", Prefix: "/"},
	}})
	for _, c := range []struct {
		host, path string
		want       routing.RouteName
	}{
		{"a", "/x/y/1", "long"},
		{"a", "/x/yy/1", "short"},
		{"a", "/x", ""},
		{"a", "/", ""},
		{"b", "/x/y/1", "root"},
		{"c", "/x/", ""},
	} {
		var got routing.RouteName
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s%s (-want +got):\n%s", c.host, c.path, diff)
		}
	}
}

// TestChooseFollowsWeights checks that requests are split in proportion to the
// weights and that services without a weight get none.
func TestChooseFollowsWeights(t *testing.T) {
	r := routing.Route{Split: []routing.WeightedService{{"a", 1}, {"b", 0}, {"c", 3}}}
	got := map[routing.ServiceName]int{}
	for i := range 1000 {
		got[r.Choose(float64(i)/1000)]++
	}
	if diff := cmp.Diff(map[routing.ServiceName]int{"a": 250, "c": 750}, got); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
	if got := (&routing.Route{Split: []routing.WeightedService{{"a", 0}}}).Choose(0.5); got != "" {
		t.Errorf("without weights: got %q, want none", got)
	}
}

// TestUnstatedLimits checks that limits that are not stated get defaults. A
// configuration without limits must not reject all bodies.
func TestUnstatedLimits(t *testing.T) {
	stated := routing.Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4}
	partial := routing.DefaultLimits
	partial.BodyBytes = 2
	for name, c := range map[string]struct{ limits, want routing.Limits }{
		"stated":       {stated, stated},
		"unstated":     {routing.Limits{}, routing.DefaultLimits},
		"one stated":   {routing.Limits{BodyBytes: 2}, partial},
		"not positive": {routing.Limits{HeaderBytes: -1, BodyBytes: 2}, partial},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.limits.WithDefaults()); diff != "" {
				t.Errorf("limits (-want +got):\n%s", diff)
			}
		})
	}
}
