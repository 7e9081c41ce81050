package upstream_test

import (
	"context"
	"testing"
	"time"

	"knapweedstall/core/clock"
	"knapweedstall/io/osclock"
	"knapweedstall/io/upstream"
	"knapweedstall/platform/platformtest"
)

// TestAskCold guards against answers to health probes that are taken for those of the target
// although they come from another one, or that say nothing of it.
func TestAskCold(t *testing.T) {
	own := platformtest.HeaderTarget + ": t1\r\n"
	for name, c := range map[string]struct {
		answer string
		want   clock.Duration
		fails  bool
	}{
		"warm":           {"HTTP/1.1 200 OK\r\n" + own + "Content-Length: 0\r\n\r\n", 0, false},
		"cold":           {"HTTP/1.1 200 OK\r\n" + own + platformtest.HeaderWarmup + ": 1500.5\r\nContent-Length: 0\r\n\r\n", 1501, false},
		"another target": {"HTTP/1.1 200 OK\r\n" + platformtest.HeaderTarget + ": t2\r\nContent-Length: 0\r\n\r\n", 0, true},
		"no target":      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0, true},
		"busy":           {"HTTP/1.1 503 Full\r\n" + own + "Content-Length: 0\r\n\r\n", 0, true},
		"not a time":     {"HTTP/1.1 200 OK\r\n" + own + platformtest.HeaderWarmup + ": soon\r\nContent-Length: 0\r\n\r\n", 0, true},
		"negative time":  {"HTTP/1.1 200 OK\r\n" + own + platformtest.HeaderWarmup + ": -5\r\nContent-Length: 0\r\n\r\n", 0, true},
		"endless time":   {"HTTP/1.1 200 OK\r\n" + own + platformtest.HeaderWarmup + ": +Inf\r\nContent-Length: 0\r\n\r\n", 0, true},
		"half a head":    {"HTTP/1.1 200 OK\r\n" + own, 0, true},
		"none":           {"", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, answerOnceAndClose(c.answer))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			got, err := upstream.NewPool(osclock.New()).AskCold(ctx, "t1", s.listener.Addr().String(), platformtest.HealthPath)
			if got != c.want || (err != nil) != c.fails {
				t.Errorf("cold for %v, error %v; want %v, fails %v", got, err, c.want, c.fails)
			}
		})
	}
}
