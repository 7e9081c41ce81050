package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which an ended process is started again.
const restartDelay = 200 * time.Millisecond

// machine runs one process of the tier, with the command of the deploy file.
type machine struct {
	name, zone                         string
	callers, readiness, peers, metrics string
	settings                           string // path
	maxFDs                             int    // limit of the process; 0 for none

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	stopped bool
}

// deployment is a set of machines.
type deployment struct {
	dir      string
	machines []*machine
	perZone  map[string]int // machines so far
}

// Ports of machines. They lie below those that the system gives to outgoing connections, so
// that none of these takes a port between its choice and its use.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freeAddress returns a loopback address with a free port that it has not returned before.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if chosen[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			chosen[address] = true
			return address
		}
	}
}

// chosen holds the addresses that freeAddress has returned.
var chosen = map[string]bool{}

// params are the settings that differ between cases; the others are those of the
// template deploy/gateway.hujson.tmpl, filled in as for a small deployment.
type params struct {
	contactMS, configDeadlineMS, graceS int
	budgetSlack                         int
	quotas                              string   // "" or the quotas section
	maxFDs                              int      // limit of the descriptors of a process; 0 for none
	network                             *network // nil: machines reach each other and the store directly
	// storeAddress returns the address at which a machine reaches the store; nil: its own one.
	storeAddress func(*machine) (string, error)
}

// startDeployment starts one machine in each of the zones.
func startDeployment(st *store, zones []string, p params) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, perZone: map[string]int{}}
	_, err = d.add(st, zones, p)
	return d, err
}

// add starts another machine in each of the zones. The machines of the first call are
// those of a deployment that starts for the first time.
func (d *deployment) add(st *store, zones []string, p params) ([]*machine, error) {
	bootstrap := len(d.machines) == 0
	var added []*machine
	for _, zone := range zones {
		d.perZone[zone]++
		m := &machine{
			name: fmt.Sprintf("frontend-%s-%d", zone, d.perZone[zone]), zone: zone, maxFDs: p.maxFDs,
			callers: freeAddress(), readiness: freeAddress(), peers: freeAddress(), metrics: freeAddress(),
		}
		m.settings = filepath.Join(d.dir, m.name+".hujson")
		d.machines = append(d.machines, m)
		added = append(added, m)
	}
	if p.network != nil {
		if err := p.network.connect(added); err != nil {
			return nil, err
		}
	}
	for _, m := range added {
		storeAddress := st.address
		if p.network != nil {
			storeAddress = p.network.storeAddress(m)
		}
		if p.storeAddress != nil {
			var err error
			if storeAddress, err = p.storeAddress(m); err != nil {
				return nil, err
			}
		}
		var seeds []string
		for _, other := range d.machines[:min(3, len(d.machines))] {
			address := other.peers
			if p.network != nil {
				address = p.network.address(m, other)
			}
			seeds = append(seeds, fmt.Sprintf("%q", address))
		}
		text := fmt.Sprintf(`{
  "instance": %q, "zone": %q,
  "listen": {"callers": %q, "readiness": %q, "peers": %q, "metrics": %q},
  "store": {"address": %q, "catchUpMs": %d, "configDueMs": %d},
  "capacity": 0.272, "newDeployment": %v,
  "peers": [%s],
  "repeats": {"windowSeconds": 10, "ratio": 0.2, "slack": %d},
  "shutdown": {"graceSeconds": %d},
  %s
}`, m.name, m.zone, m.callers, m.readiness, m.peers, m.metrics, storeAddress, p.contactMS, p.configDeadlineMS, bootstrap,
			strings.Join(seeds, ","), p.budgetSlack, p.graceS, p.quotas)
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	return added, nil
}

// start starts a process, which is started again after it has ended.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	p := exec.Command("target/knapweedstall", "gateway", "-settings", m.settings)
	if m.maxFDs > 0 { // the platform limits the descriptors of a process
		p = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d && exec target/knapweedstall gateway -settings %s", m.maxFDs, m.settings))
	}
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended = p, ended
	go func() {
		_ = p.Wait()
		_ = log.Close()
		close(ended)
		time.Sleep(restartDelay)
		_ = m.start()
	}()
	return nil
}

// stop kills all processes and removes their files.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.mu.Lock()
		m.stopped = true
		_ = m.process.Process.Kill()
		ended := m.ended
		m.mu.Unlock()
		<-ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// awaitReady waits until all machines report ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: 300 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			resp, err := client.Get("http://" + m.readiness + "/v1/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.machines) {
			return nil
		}
	}
	return fmt.Errorf("not all machines are ready after %v", limit)
}

// kill ends the machine for good, without a signal that it could handle.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	_ = m.process.Process.Kill()
}

// openFDs returns the number of descriptors that the process has open.
func (m *machine) openFDs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.process.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}

// memoryMB returns the most memory that the process has had resident so far.
func (m *machine) memoryMB() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return -1
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return -1
}
