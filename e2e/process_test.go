package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"knapweedstall/cmd"
	"knapweedstall/core/clock"
	"knapweedstall/core/topology"
	"knapweedstall/io/caller"
	"knapweedstall/io/porttest"
)

const (
	adminToken = "admin-0123456789abcdef"
	peerToken  = "peers-0123456789abcdef"
	workspaceA = "harbor-ops"
	tokenA     = "token-harbor-0123456789"
	workspaceB = "rail-desk"
	tokenB     = "token-rail-0123456789"
)

// programVariable makes the test binary behave as the program. The tests start
// it as their processes, so a change of the program also changes the test binary
// and a cached result is never reused for it.
const programVariable = "KNAPWEEDSTALL_E2E_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(cmd.Main(os.Args))
	}
	os.Exit(m.Run())
}

// process is one started process.
type process struct {
	cmd  *exec.Cmd
	logs *bytes.Buffer
	done chan struct{}
}

// start runs the program and ends it, by its id, when the test ends.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], args...), logs: &bytes.Buffer{}, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), programVariable+"=1")
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		for _, fault := range []string{"panic:", "panic serving", "fatal error:", "DATA RACE"} {
			if bytes.Contains(p.logs.Bytes(), []byte(fault)) {
				t.Errorf("%v: the log holds %q", args, fault)
			}
		}
		if t.Failed() {
			t.Logf("%v:\n%s", args, tail(p.logs.Bytes(), 4000))
		}
	})
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // a stopped process ignores nothing but SIGKILL; harmless otherwise
	_ = p.cmd.Process.Kill()
	<-p.done
}

func tail(b []byte, n int) []byte { return b[max(0, len(b)-n):] }

// member is one instance of the tier under test.
type member struct {
	id, zone                 string
	callers, peers, operator string
	reach                    string // peerAddress of the settings; empty for peers
	settings                 string
	process                  *process
}

// signal sends a signal to the member's process.
func (m *member) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := m.process.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// cluster is a whole deployment of separate processes.
type cluster struct {
	t        *testing.T
	dir      string
	platform string // address of the platform stand-in
	store    string // address of the platform as the members know it
	control  string // of the targets
	ticket   []byte // the first ticket
	members  []*member
	platProc *process
}

// newCluster starts the stand-ins with the given number of services of each
// collection, and n instances spread over the three zones.
func newCluster(t *testing.T, n, services int) *cluster {
	t.Helper()
	c := newStandIns(t, services)
	for range n {
		c.run(c.addMember())
	}
	return c
}

// maxClusters bounds the clusters that run at the same time. Bounds in seconds
// say nothing when the processes of many clusters wait for one another's
// processor time.
const maxClusters = 6

var clusters = make(chan struct{}, maxClusters)

// newStandIns starts the stand-ins only.
func newStandIns(t *testing.T, services int) *cluster {
	t.Helper()
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
	ports := porttest.Addresses(t, 2)
	c := &cluster{t: t, dir: t.TempDir(), platform: ports[0], store: ports[0], control: ports[1]}
	c.platProc = start(t, "emulate", "-listen", c.platform, "platform")
	ticketFile := filepath.Join(c.dir, "first.json")
	start(t, "emulate", "-listen", c.control, "-services", fmt.Sprint(services), "-ticket", ticketFile, "targets")
	eventually(t, 10*time.Second, "the first ticket is written", func() bool {
		data, err := os.ReadFile(ticketFile)
		c.ticket = data
		return err == nil
	})
	eventually(t, 10*time.Second, "the platform answers", func() bool {
		status, _, err := c.call(http.MethodGet, c.platform, "/v1/instances", "", nil)
		return err == nil && status == http.StatusOK
	})
	return c
}

var zones = []string{"macon-yard", "warner-dock", "perry-shed"}

// addMember adds the next member, which does not run yet.
func (c *cluster) addMember() *member {
	i := len(c.members)
	ports := porttest.Addresses(c.t, 3)
	m := &member{
		id: fmt.Sprintf("peachline-%02d", i), zone: zones[i%len(zones)],
		callers: ports[0], peers: ports[1], operator: ports[2],
	}
	m.settings = filepath.Join(c.dir, m.id+".hujson")
	c.members = append(c.members, m)
	return m
}

// writeSettings writes the settings file of m.
func (c *cluster) writeSettings(m *member) {
	c.t.Helper()
	reach := m.reach
	if reach == "" {
		reach = m.peers
	}
	text := fmt.Sprintf(`{
  "instance": %q, "zone": %q, "region": "ga-central",
  "listen": {"callers": %q, "peers": %q, "operators": %q}, "peerAddress": %q,
  "platform": %q, "adminToken": %q, "peerToken": %q,
  "callers": [{"token": %q, "tenant": %q}, {"token": %q, "tenant": %q}],
}`, m.id, m.zone, m.callers, m.peers, m.operator, reach, c.store, adminToken, peerToken, tokenA, workspaceA, tokenB, workspaceB)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// run starts the process of a member.
func (c *cluster) run(m *member) {
	c.t.Helper()
	c.writeSettings(m)
	m.process = start(c.t, "serve", "-settings", m.settings)
}

// call makes one HTTP request with a short timeout.
func (c *cluster) call(method, address, path, token string, body []byte, header ...string) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// query searches through a member. The status is 0 when there was no reply.
func (c *cluster) query(m *member, token, collection, text string) (int, caller.SearchAnswer, caller.Error) {
	return c.search(m, token, caller.SearchRequest{
		Collection: topology.CollectionID(collection), Query: text, DeadlineMS: clock.Second, Limit: 10,
	})
}

func (c *cluster) search(m *member, token string, r caller.SearchRequest) (int, caller.SearchAnswer, caller.Error) {
	body, _ := json.Marshal(r)
	var a caller.SearchAnswer
	var e caller.Error
	status, data, err := c.call(http.MethodPost, m.callers, "/v1/query", token, body)
	if err != nil {
		return 0, a, e
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(data, &a)
	} else {
		_ = json.Unmarshal(data, &e)
	}
	return status, a, e
}

// complete reports whether the answer covers every shard.
func complete(status int, a caller.SearchAnswer) bool {
	return status == http.StatusOK && a.Coverage.Total > 0 && a.Coverage.Answered == a.Coverage.Total
}

// eventually waits until check holds, or fails the test after limit.
func eventually(t *testing.T, limit time.Duration, what string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
