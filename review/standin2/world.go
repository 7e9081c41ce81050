//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"knapweedstall/platform/platformtest"
)

// program is the path of the gateway, as the deploy file names it.
const program = "target/knapweedstall"

// Times of the platform.
const (
	restartDelay = 300 * time.Millisecond // until an ended process is started again
	probePeriod  = time.Second            // between two readiness checks
	graceTime    = 6 * time.Second
)

// world is the platform: it has the store, and starts and balances the instances.
type world struct {
	rec   *record
	store *platformtest.Store
	dir   string // temporary; of the settings files and logs

	mu        sync.Mutex
	instances []*instance
	servers   []*server
	sent      map[string]sent // by request id
	closed    bool
	stop      chan struct{}
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	return &world{rec: rec, store: platformtest.NewStore(), dir: dir, sent: map[string]sent{}, stop: make(chan struct{})}, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	instances, servers := w.instances, w.servers
	w.mu.Unlock()
	close(w.stop)
	for _, in := range instances {
		in.end()
	}
	for _, s := range servers {
		s.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// route is a route of the configuration.
type route struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"pathPrefix"`
	Kind        string   `json:"kind"`
	Timeout     int      `json:"timeoutMs"`
	Objective   int      `json:"latencySloMs"`
	Priority    int      `json:"priority"`
	Backend     string   `json:"backend,omitempty"`
	Gather      []string `json:"gather,omitempty"`
	MaxAttempts int      `json:"maxAttempts"`
	TopK        int      `json:"topK,omitempty"`
	MinCoverage float64  `json:"minCoverage,omitempty"`
	Public      bool     `json:"public"`
}

// service is a service of the configuration.
type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdS      float64 `json:"coldS"`
	ColdPerS   float64 `json:"coldPerS"`
}

func newService(name string, maxConns int) service {
	return service{Name: name, HealthPath: "/healthz", MaxConns: maxConns, Protocol: "h1", ColdS: 3}
}

// tenant is a tenant of the configuration, without a limit.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	Priority int      `json:"priority"`
	RatePerS float64  `json:"ratePerS"`
	Burst    float64  `json:"burst"`
}

// host is the host of all routes.
const host = "pupu76.example"

// configVersion is the version of the first desired state of a case.
const configVersion = 7

// putConfig writes the first desired state, as the operator does.
func (w *world) putConfig(routes []route, services []service, tenants ...tenant) {
	w.putVersion(configVersion, routes, services, tenants...)
}

// putVersion writes a desired state.
func (w *world) putVersion(version int, routes []route, services []service, tenants ...tenant) {
	config := map[string]any{
		"version": version, "routes": routes, "backends": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if len(tenants) > 0 {
		config["tenants"] = tenants
	}
	w.store.Put("config", "main", config)
	text, _ := json.Marshal(config) // the types above always have an encoding
	w.rec.log("config", "version", version, "spec", string(text))
}

// instance is a machine of the tier.
type instance struct {
	w         *world
	name      string
	zone      string
	store     *gate          // through which it reaches the store
	settings  string         // path
	fields    map[string]any // of the settings
	callers   string         // addresses
	readiness string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed at the end of process
	final   bool          // the process is not started again
	misses  int           // readiness checks in a row that failed
	starts  int
}

// freeAddresses returns addresses that nothing listens on, each once. Their ports are below
// those that outgoing connections get.
type freeAddresses struct{ next int }

func newFreeAddresses() *freeAddresses { return &freeAddresses{10000 + rand.IntN(20000)} }

func (f *freeAddresses) take() (string, error) {
	for range 1000 {
		f.next = 10000 + (f.next-10000+1)%20000
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", f.next))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", errors.New("no free port")
}

// zone is the zone of all instances.
const zone = "zone-0"

// machine describes a machine of the tier.
type machine struct {
	zone     string
	capacity float64 // processor share
}

// site holds the bounds of a site, as its sheet states them.
type site struct {
	configDueMS, contactMS, budgetSlack int
	quotas                              map[string]any // settings of usage caps; nil for none
}

// Sites of the cases.
var (
	peachline      = site{configDueMS: 3000, contactMS: 4000, budgetSlack: 116}
	peachlineGrown = site{configDueMS: 5000, contactMS: 5000, budgetSlack: 274}
	cristalia      = site{
		configDueMS: 5000, contactMS: 5000, budgetSlack: 314,
		quotas: map[string]any{"windowSeconds": 5, "overshoot": 0.1, "slack": 20},
	}
)

// startInstances starts an instance in zone for each capacity and waits until they are
// ready.
func (w *world) startInstances(of site, capacities ...float64) error {
	var machines []machine
	for _, capacity := range capacities {
		machines = append(machines, machine{zone, capacity})
	}
	return w.startMachines(of, machines, 15*time.Second)
}

// startMachines starts an instance on each machine and waits until all are ready.
func (w *world) startMachines(of site, machines []machine, within time.Duration) error {
	var peers []string
	var settings []map[string]any
	var gates []*gate
	free := newFreeAddresses()
	for i, m := range machines {
		var addresses [4]string
		for k := range addresses {
			var err error
			if addresses[k], err = free.take(); err != nil {
				return err
			}
		}
		peers = append(peers, addresses[2])
		door, err := w.openGate()
		if err != nil {
			return err
		}
		gates = append(gates, door)
		settings = append(settings, map[string]any{
			"instance": fmt.Sprintf("frontend-%s-%d", m.zone, i+1), "zone": m.zone,
			"listen": map[string]string{"callers": addresses[0], "readiness": addresses[1], "peers": addresses[2], "metrics": addresses[3]},
			"store":  map[string]any{"address": door.address, "catchUpMs": of.contactMS, "configDueMs": of.configDueMS}, "capacity": m.capacity,
			"repeats":  map[string]any{"windowSeconds": 10, "ratio": 0.2, "slack": of.budgetSlack},
			"shutdown": map[string]int{"graceSeconds": int(graceTime.Seconds())},
		})
	}
	for i, s := range settings {
		s["peers"] = peers[:min(len(peers), 3)]
		if of.quotas != nil {
			s["quotas"] = of.quotas
		}
		listen, _ := s["listen"].(map[string]string)
		in := &instance{
			w: w, name: fmt.Sprint(s["instance"]), fields: s, settings: filepath.Join(w.dir, fmt.Sprintf("%d.hujson", i)),
			zone: machines[i].zone, store: gates[i], callers: listen["callers"], readiness: listen["readiness"], misses: 2,
		}
		if err := in.start(); err != nil {
			return err
		}
		w.mu.Lock()
		w.instances = append(w.instances, in)
		w.mu.Unlock()
		go in.watch()
	}
	for end := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		if len(w.rotation()) == len(machines) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances are ready after %v", len(w.rotation()), len(machines), within)
		}
	}
}

// start starts the process, which is started again when it ends.
func (in *instance) start() error {
	log, err := os.OpenFile(in.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.final {
		return log.Close()
	}
	in.fields["newDeployment"] = in.starts == 0
	data, err := json.Marshal(in.fields)
	if err != nil {
		return err
	}
	if err := os.WriteFile(in.settings, data, 0o600); err != nil {
		return err
	}
	p := exec.Command(program, "gateway", "-settings", in.settings) //nolint:gosec // the program of the deploy file
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	in.process, in.ended = p, ended
	in.starts++
	in.w.rec.log("start", "instance", in.name, "pid", p.Process.Pid)
	go func() {
		_ = p.Wait() // the state says how it has ended
		_ = log.Close()
		close(ended)
		in.w.rec.log("end", "instance", in.name, "state", p.ProcessState)
		time.Sleep(restartDelay)
		if err := in.start(); err != nil {
			in.w.rec.log("start failed", "instance", in.name, "err", err)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.w.rec.log("signal", "instance", in.name, "signal", s)
	_ = in.process.Process.Signal(s) // fails if it has ended
}

// end kills the process for good.
func (in *instance) end() {
	in.mu.Lock()
	in.final = true
	ended := in.ended
	in.mu.Unlock()
	in.signal(syscall.SIGKILL)
	<-ended
}

// watch checks the readiness of the instance once a second.
func (in *instance) watch() {
	client := &http.Client{Timeout: 800 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + in.readiness + platformtest.ReadinessPath) //nolint:noctx // has a timeout
		ready := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		in.mu.Lock()
		if in.misses++; ready {
			in.misses = 0
		}
		in.mu.Unlock()
		select {
		case <-in.w.stop:
			return
		case <-time.After(probePeriod):
		}
	}
}

// rotation returns the instances that get new connections.
func (w *world) rotation() []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ready []*instance
	for _, in := range w.instances {
		in.mu.Lock()
		if in.misses < 2 {
			ready = append(ready, in)
		}
		in.mu.Unlock()
	}
	return ready
}

// balance returns the instance that gets a new connection; nil for none.
func (w *world) balance(excluded *instance) *instance {
	ready := w.rotation()
	if len(ready) == 0 {
		return nil
	}
	in := ready[rand.IntN(len(ready))]
	if in == excluded && len(ready) > 1 {
		return w.balance(excluded)
	}
	return in
}
