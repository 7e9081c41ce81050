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

// journal keeps what instances log.
type journal struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (j *journal) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(p)
}

// String returns what was logged so far.
func (j *journal) String() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.String()
}

func (j *journal) reader() io.Reader { return strings.NewReader(j.String()) }

func (j *journal) logger() *log.Logger {
	return log.NewWithOptions(j, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter})
}

// TestExplainFailedRequests walks, as an engineer on call does, from the id of a
// failed request to its cause, with logs alone. The account must name the cause.
// With -v it prints the accounts that docs/OPERATIONS.md shows.
func TestExplainFailedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		fault        func(w *world)
		method, path string
		status       int
		want         []string // parts of the account
	}{
		"an incomplete answer": {
			func(w *world) { w.targets["d1"].Close(); w.targets["d2"].Close() }, "GET", "/search/1", http.StatusOK,
			[]string{"outcome=partial", "missing=[d]", "d/d1/unsent", "d/d2/unsent"},
		},
		"a refusal": {
			func(w *world) { w.targets["single1"].SetShedding(true) }, "POST", "/order/1", http.StatusServiceUnavailable,
			[]string{"outcome=refused", "single/single1/shed"},
		},
		"a late answer": {
			func(w *world) { w.targets["single1"].SetDelay(1500 * time.Millisecond) }, "GET", "/plain/1", http.StatusGatewayTimeout,
			[]string{"outcome=timedOut", "single/single1/underWay"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			logs := &journal{}
			w.logger = logs.logger()
			in := w.start(nil)
			c.fault(w)
			if got := in.ask(t, c.method, c.path, "").Status; got != c.status {
				t.Fatalf("status %d, want %d", got, c.status)
			}
			account, err := explain.Explain(lastRequest(), logs.reader())
			if err != nil {
				t.Fatal(err)
			}
			var all strings.Builder
			for _, l := range account.Lines {
				for key, value := range l.Fields {
					all.WriteString(key + "=" + value + " ")
				}
			}
			for _, part := range c.want {
				if !strings.Contains(all.String(), part) {
					t.Errorf("the account does not tell %s: %s", part, all.String())
				}
			}
			t.Log(all.String())
		})
	}
}
