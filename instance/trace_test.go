package instance_test

import (
	"context"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"knapweedstall/core/node"
	"knapweedstall/core/topology"
	"knapweedstall/emulator/platform"
	"knapweedstall/instance"
	"knapweedstall/settings"
)

// Guards against a trace of a running instance that cannot be replayed, and against
// a trace that is truncated when the instance is aborted.
func TestTraceOfARunningInstanceReplays(t *testing.T) {
	store := httptest.NewServer(platform.NewServer())
	defer store.Close()
	s := settings.Defaults()
	s.Instance, s.Zone, s.Region = "i", "z", "r"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.PeerAddress, s.Platform = s.Listen.Peers, store.Listener.Addr().String()
	s.Trace = filepath.Join(t.TempDir(), "other.trace")
	path := filepath.Join(t.TempDir(), "run.trace")
	in := instance.New(s, topology.NewIncarnation(time.Now().UnixMilli(), 1), log.New(io.Discard), instance.WithTrace(path))
	time.AfterFunc(time.Second, in.Abort)
	if err := in.Serve(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(s.Trace); err == nil {
		t.Error("the trace was also written to the path of the settings; the option must override it")
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if steps, err := node.Replay(file); err != nil || steps < 10 {
		t.Errorf("replayed %d steps: %v", steps, err)
	}
}

// Guards against an instance that serves although the configured trace file cannot be
// opened.
func TestUnwritableTraceIsReported(t *testing.T) {
	s := settings.Defaults()
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.PeerAddress, s.Trace = s.Listen.Peers, filepath.Join(t.TempDir(), "missing", "run.trace")
	if err := instance.New(s, 1, log.New(io.Discard)).Serve(context.Background()); err == nil {
		t.Error("Serve returned no error for a trace file that cannot be opened")
	}
}
