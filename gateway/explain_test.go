package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"knapweedstall/explain"
)

// logBuffer collects the logs of instances.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns all logs so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (b *logBuffer) reader() io.Reader { return strings.NewReader(b.String()) }

func (b *logBuffer) logger() *log.Logger {
	return log.NewWithOptions(b, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter})
}

// TestExplainFailedRequests checks that an operator can find the cause of a failed
// request from its id with logs alone: the explanation must name the cause. With
// -v, it prints the explanations that docs/OPERATIONS.md shows.
func TestExplainFailedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		fault        func(env *testEnv)
		method, path string
		status       int
		want         []string // substrings of the explanation
	}{
		"partial answer": {
			func(env *testEnv) { env.targets["d1"].Close(); env.targets["d2"].Close() }, "GET", "/search/1", http.StatusOK,
			[]string{"outcome=partial", "missing=[d]", "d/d1/unsent", "d/d2/unsent"},
		},
		"refusal": {
			func(env *testEnv) { env.targets["single1"].SetShedding(true) }, "POST", "/order/1", http.StatusServiceUnavailable,
			[]string{"outcome=refused", "single/single1/shed"},
		},
		"late answer": {
			func(env *testEnv) { env.targets["single1"].SetDelay(1500 * time.Millisecond) }, "GET", "/plain/1", http.StatusGatewayTimeout,
			[]string{"outcome=timedOut", "single/single1/underWay"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			logs := &logBuffer{}
			env.logger = logs.logger()
			in := env.start(nil)
			c.fault(env)
			if got := in.do(t, c.method, c.path, "").Status; got != c.status {
				t.Fatalf("status %d, want %d", got, c.status)
			}
			explanation, err := explain.Explain(lastRequest(), logs.reader())
			if err != nil {
				t.Fatal(err)
			}
			var all strings.Builder
			for _, l := range explanation.Lines {
				for key, value := range l.Fields {
					all.WriteString(key + "=" + value + " ")
				}
			}
			for _, part := range c.want {
				if !strings.Contains(all.String(), part) {
					t.Errorf("the explanation does not contain %s: %s", part, all.String())
				}
			}
			t.Log(all.String())
		})
	}
}
