package explain_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/explain"
)

const (
	smallLog = `time=2026-01-02T10:00:00Z level=info msg="configuration in force" instance=small version=6
time=2026-01-02T10:00:04.2Z level=info msg="source lost" instance=small source=10.0.0.1:7
a line of another program
time=2026-01-02T10:00:05.1Z level=info msg=request instance=small id=r1 outcome=partial runner=large missing=1
time=2026-01-02T10:00:05.2Z level=info msg=request instance=small id=r2 outcome=refused
`
	largeLog = `time=2026-01-02T10:00:05.09Z level=info msg=request instance=large id=r1 outcome=partial missing=[d] troubles="[d/d1/lost/12]"
time=2026-01-02T10:00:06Z level=warn msg="store lost" instance=large kind=config
`
)

func messages(lines []explain.Line) []string {
	out := []string{}
	for _, l := range lines {
		out = append(out, l.Instance+": "+l.Message)
	}
	return out
}

// TestExplain guards against a report whose lines are out of order, whose context has
// the wrong lines, or that does not describe missing lines.
func TestExplain(t *testing.T) {
	type report struct{ Lines, Context, Gaps []string }
	for name, c := range map[string]struct {
		id   string
		logs []string
		want report
	}{
		"both logs": {"r1", []string{smallLog, largeLog}, report{
			[]string{"large: request", "small: request"}, []string{"small: configuration in force", "small: source lost"}, []string{},
		}},
		"runner's log missing": {"r1", []string{smallLog}, report{
			[]string{"small: request"}, []string{"small: configuration in force", "small: source lost"},
			[]string{"the log of large, which ran the search, has no line of it"},
		}},
		"unknown request": {"r9", []string{smallLog, largeLog}, report{
			[]string{}, []string{}, []string{"no line names the request: it was complete and not sampled, it reached no instance of these logs, or its line was left out"},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := explain.Explain(c.id, strings.NewReader(c.logs[0]), strings.NewReader(strings.Join(c.logs[1:], "")))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, report{messages(r.Lines), messages(r.Context), r.Gaps}); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
		})
	}
}
