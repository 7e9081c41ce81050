package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"knapweedstall/cmd"
	"knapweedstall/io/porttest"
	"knapweedstall/platform/platformtest"
)

// programVariable makes the test binary behave as the program.
const programVariable = "KNAPWEEDSTALL_SOAK_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(cmd.Main(os.Args))
	}
	os.Exit(m.Run())
}

// restartDelay is how long the platform waits before it starts a process again.
const restartDelay = 100 * time.Millisecond

// grace is the time from SIGTERM to SIGKILL.
const grace = 2 * time.Second

// world is a store and targets in this process, and instances in processes of
// their own that reach the store and each other through proxies.
type world struct {
	t       *testing.T
	store   *platformtest.Store
	targets []*platformtest.Target
	nodes   []*node
	version int
}

// node is an instance: its process, and the proxies on the way to the store and
// from other instances.
type node struct {
	settings string // path of the settings file
	callers  string
	ready    string
	toStore  *proxy
	fromPeer *proxy

	mu      sync.Mutex
	process *exec.Cmd
	logs    bytes.Buffer
	done    chan struct{}
	over    bool // no process is started any more
}

func newWorld(t *testing.T, instances int) *world {
	w := &world{t: t, store: platformtest.NewStore()}
	server := httptest.NewServer(w.store)
	t.Cleanup(server.CloseClientConnections)
	for _, service := range append([]string{"once"}, shards...) {
		for i := range 2 {
			target := platformtest.StartTarget(w.store, fmt.Sprintf("%s-%d", service, i), service, "z1", record(service))
			t.Cleanup(target.Close)
			w.targets = append(w.targets, target)
		}
	}
	w.configure()
	var peers []string
	var proxied []string // pairs of an instance's address and that of its proxy
	for i := range instances {
		peer := porttest.Address(t)
		n := &node{
			callers: porttest.Address(t), ready: porttest.Address(t),
			toStore: newProxy(t, strings.TrimPrefix(server.URL, "http://")), fromPeer: newProxy(t, peer),
		}
		peers = append(peers, `"`+n.fromPeer.address()+`"`)
		proxied = append(proxied, `"`+peer+`"`, `"`+n.fromPeer.address()+`"`)
		w.store.SetRewrite(rewriter(proxied))
		n.settings = filepath.Join(t.TempDir(), "gateway.hujson")
		text := fmt.Sprintf(`{"instance": "i%d", "zone": "z%d", "capacity": %v, "peers": [%s],
			"listen": {"callers": %q, "readiness": %q, "peers": %q, "metrics": %q},
			"store": {"address": %q, "catchUpMs": 4000, "configDueMs": 3000},
			"repeats": {"windowSeconds": 10, "ratio": 0.2, "slack": 200}, "shutdown": {"graceSeconds": 2}}`,
			i, i%2, 0.1+float64(i%3), strings.Join(peers, ","), n.callers, n.ready, peer, porttest.Address(t), n.toStore.address())
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.nodes = append(w.nodes, n)
		n.start(t, nil)
	}
	t.Cleanup(func() {
		for _, n := range w.nodes {
			n.end()
		}
	})
	return w
}

// rewriter returns what replaces the addresses that instances write of
// themselves.
func rewriter(pairs []string) func(string, json.RawMessage) json.RawMessage {
	replacer := strings.NewReplacer(pairs...)
	return func(_ string, spec json.RawMessage) json.RawMessage {
		return json.RawMessage(replacer.Replace(string(spec)))
	}
}

// configure writes the next version. Each has a route of its own, which tells
// which version is in force.
func (w *world) configure() {
	w.version++
	w.store.PutConfig(w.version, []platformtest.Route{
		{Name: "search", Host: host, Prefix: "/search/", Shards: shards, TopK: 2, MinCoverage: 0.5},
		{Name: "once", Host: host, Prefix: "/once/", Service: "once", NonIdempotent: true},
		{Name: "version", Host: host, Prefix: fmt.Sprintf("/version-%d/", w.version), Service: "once"},
	})
}

// start starts a process of the instance after the earlier one has ended, and
// again whenever it ends, as the platform does.
func (n *node) start(t *testing.T, after *exec.Cmd) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != after || n.over {
		return
	}
	p := exec.Command(os.Args[0], "gateway", "-settings", n.settings)
	p.Env = append(os.Environ(), programVariable+"=1")
	p.Stdout, p.Stderr = &n.logs, &n.logs
	if err := p.Start(); err != nil {
		t.Error(err)
		return
	}
	done := make(chan struct{})
	n.process, n.done = p, done
	go func() {
		_ = p.Wait() // the state of the process tells how it ended
		close(done)
		if status, ok := p.ProcessState.Sys().(syscall.WaitStatus); ok && status.Exited() && status.ExitStatus() != 0 {
			t.Errorf("an instance ended by itself with status %d", status.ExitStatus())
		}
		time.Sleep(restartDelay)
		n.start(t, p)
	}()
}

// signal sends a signal to the process of the instance, and returns the process
// and what is closed when it has ended.
func (n *node) signal(s syscall.Signal) (*exec.Cmd, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(s) // it may have ended
	return n.process, n.done
}

// end ends the instance for good.
func (n *node) end() {
	n.mu.Lock()
	n.over = true
	n.mu.Unlock()
	_, ended := n.signal(syscall.SIGKILL)
	<-ended
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get("http://" + n.ready + platformtest.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
