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

// programEnv is the environment variable that makes the test binary run as the
// program. The tests start the test binary itself, so a change of the program also
// changes the binary and invalidates cached test results.
const programEnv = "KNAPWEEDSTALL_E2E_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		os.Exit(cmd.Main(os.Args))
	}
	os.Exit(m.Run())
}

// process is a running program with its output.
type process struct {
	cmd  *exec.Cmd
	logs *bytes.Buffer
	done chan struct{}
}

// startProcess starts the program, and kills that process when the test ends. It
// fails the test if the output shows a panic, a fatal error or a data race.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], args...), logs: &bytes.Buffer{}, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), programEnv+"=1")
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
				t.Errorf("%v: the log contains %q", args, fault)
			}
		}
		if t.Failed() {
			t.Logf("%v:\n%s", args, tail(p.logs.Bytes(), 4000))
		}
	})
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // resumes a paused process; no effect on others
	_ = p.cmd.Process.Kill()
	<-p.done
}

// tail returns the last n bytes of b.
func tail(b []byte, n int) []byte { return b[max(0, len(b)-n):] }

// instance is an instance of the tier under test. The addresses are those that it
// listens on.
type instance struct {
	id, zone                           string
	callerAddr, peerAddr, operatorAddr string
	advertisedPeerAddr                 string // peerAddress in the settings; empty means peerAddr
	settingsFile                       string
	process                            *process
}

// signal sends a signal to the process of the instance.
func (inst *instance) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := inst.process.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// cluster is a deployment: the instances and the emulators, all in separate processes.
type cluster struct {
	t                    *testing.T
	dir                  string
	platformAddr         string // of the platform emulator
	instancePlatformAddr string // of the platform in the settings of the instances; may be a forwarder
	targetControlAddr    string // of the control interface of the target emulator
	firstTicket          []byte // JSON of the ticket that configures the deployment
	instances            []*instance
	platformProcess      *process
}

// newCluster starts the emulators with the given number of services for each
// collection, and n instances spread over the three zones.
func newCluster(t *testing.T, n, services int) *cluster {
	t.Helper()
	c := newEmulators(t, services)
	for range n {
		c.startInstance(c.addInstance())
	}
	return c
}

// maxClusters limits how many clusters run at the same time. With more, their
// processes compete for processor time, and the time limits of the tests become meaningless.
const maxClusters = 6

var clusterSlots = make(chan struct{}, maxClusters)

// newEmulators returns a cluster with running emulators and no instances.
func newEmulators(t *testing.T, services int) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	ports := porttest.Addresses(t, 2)
	c := &cluster{t: t, dir: t.TempDir(), platformAddr: ports[0], instancePlatformAddr: ports[0], targetControlAddr: ports[1]}
	c.platformProcess = startProcess(t, "emulate", "-listen", c.platformAddr, "platform")
	ticketFile := filepath.Join(c.dir, "first.json")
	startProcess(t, "emulate", "-listen", c.targetControlAddr, "-services", fmt.Sprint(services), "-ticket", ticketFile, "targets")
	eventually(t, 10*time.Second, "the first ticket has been written", func() bool {
		data, err := os.ReadFile(ticketFile)
		c.firstTicket = data
		return err == nil
	})
	eventually(t, 10*time.Second, "the platform answers", func() bool {
		status, _, err := c.sendHTTP(http.MethodGet, c.platformAddr, "/v1/instances", "", nil)
		return err == nil && status == http.StatusOK
	})
	return c
}

var zones = []string{"macon-yard", "warner-dock", "perry-shed"}

// addInstance adds an instance to the cluster without starting it.
func (c *cluster) addInstance() *instance {
	i := len(c.instances)
	ports := porttest.Addresses(c.t, 3)
	inst := &instance{
		id: fmt.Sprintf("peachline-%02d", i), zone: zones[i%len(zones)],
		callerAddr: ports[0], peerAddr: ports[1], operatorAddr: ports[2],
	}
	inst.settingsFile = filepath.Join(c.dir, inst.id+".hujson")
	c.instances = append(c.instances, inst)
	return inst
}

// writeSettings writes the settings file of inst.
func (c *cluster) writeSettings(inst *instance) {
	c.t.Helper()
	peerAddr := inst.advertisedPeerAddr
	if peerAddr == "" {
		peerAddr = inst.peerAddr
	}
	text := fmt.Sprintf(`{
  "instance": %q, "zone": %q, "region": "ga-central",
  "listen": {"callers": %q, "peers": %q, "operators": %q}, "peerAddress": %q,
  "platform": %q, "adminToken": %q, "peerToken": %q,
  "callers": [{"token": %q, "tenant": %q}, {"token": %q, "tenant": %q}],
}`, inst.id, inst.zone, inst.callerAddr, inst.peerAddr, inst.operatorAddr, peerAddr, c.instancePlatformAddr, adminToken, peerToken, tokenA, workspaceA, tokenB, workspaceB)
	if err := os.WriteFile(inst.settingsFile, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// startInstance writes the settings of an instance and starts its process.
func (c *cluster) startInstance(inst *instance) {
	c.t.Helper()
	c.writeSettings(inst)
	inst.process = startProcess(c.t, "serve", "-settings", inst.settingsFile)
}

// sendHTTP sends one HTTP request with a timeout of 5 s. The header holds names and
// values in turn.
func (c *cluster) sendHTTP(method, address, path, token string, body []byte, header ...string) (int, []byte, error) {
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

// query searches a collection through an instance. The status is 0 when there was no
// reply.
func (c *cluster) query(inst *instance, token, collection, text string) (int, caller.SearchAnswer, caller.Error) {
	return c.search(inst, token, caller.SearchRequest{
		Collection: topology.CollectionID(collection), Query: text, DeadlineMS: clock.Second, Limit: 10,
	})
}

// search sends a search request to an instance. The status is 0 when there was no
// reply.
func (c *cluster) search(inst *instance, token string, r caller.SearchRequest) (int, caller.SearchAnswer, caller.Error) {
	body, _ := json.Marshal(r)
	var a caller.SearchAnswer
	var e caller.Error
	status, data, err := c.sendHTTP(http.MethodPost, inst.callerAddr, "/v1/query", token, body)
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

// complete reports whether the query succeeded and its answer covers every shard.
func complete(status int, a caller.SearchAnswer) bool {
	return status == http.StatusOK && a.Coverage.Total > 0 && a.Coverage.Answered == a.Coverage.Total
}

// eventually waits until check holds, or fails the test after limit.
func eventually(t *testing.T, limit time.Duration, what string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("did not happen within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
