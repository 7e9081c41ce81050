package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// instance is a process of the system under review.
type instance struct {
	name, zone string
	callers    string // address for requesters
	readiness  string
	peers      string
	metrics    string
	dir        string
	root       string // of the repository
	store      string
	quotas     bool // the deployment has usage caps: bounds of cristalia-mx-grown
	command    *exec.Cmd
	ended      chan struct{}
}

// Ports for the addresses of instances. They lie below those that the system gives to
// outgoing connections, one of which could take the port before the instance listens.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
}

func newInstance(root, dir, name, zone, store string) *instance {
	return &instance{
		name: name, zone: zone, root: root, dir: dir, store: store,
		callers: freeAddress(), readiness: freeAddress(), peers: freeAddress(), metrics: freeAddress(),
	}
}

// instanceCapacity is the processor share of an instance.
const instanceCapacity = 0.272

// settings returns the settings that the template of the deploy file gives for the bounds of
// the installation peachline-search, or cristalia-mx-grown.
func (i *instance) settings(seeds []string, first bool) string {
	list := ""
	for n, s := range seeds {
		if n > 0 {
			list += ","
		}
		list += fmt.Sprintf("%q", s)
	}
	catchUp, due, slack, quotas := 4000, 3000, 116, ""
	if i.quotas {
		catchUp, due, slack, quotas = 5000, 5000, 314, `
  "quotas": {"windowSeconds": 5, "overshoot": 0.1, "slack": 20},`
	}
	return fmt.Sprintf(`{
  "instance": %q,
  "zone": %q,
  "listen": {"callers": %q, "readiness": %q, "peers": %q, "metrics": %q},
  "store": {"address": %q, "catchUpMs": %d, "configDueMs": %d},
  "capacity": %g,
  "newDeployment": %t,
  "peers": [%s],
  "repeats": {"windowSeconds": 10, "ratio": 0.2, "slack": %d},
  "shutdown": {"graceSeconds": 6},%s
}
`, i.name, i.zone, i.callers, i.readiness, i.peers, i.metrics, i.store, catchUp, due, instanceCapacity, first, list, slack, quotas)
}

// start starts the process with the command of the deploy file.
func (i *instance) start(seeds []string, first bool) error {
	path := filepath.Join(i.dir, i.name+".conf")
	if err := os.WriteFile(path, []byte(i.settings(seeds, first)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command("target/knapweedstall", "gateway", "-settings", path)
	i.command.Dir, i.command.Stdout, i.command.Stderr = i.root, out, out
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(i.command, i.ended)
	return nil
}

// ready reports whether the instance answers the load balancer's check with 200.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the instance is ready, for limit at most.
func (i *instance) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if i.ready() {
			return true
		}
	}
	return false
}

func (i *instance) signal(s syscall.Signal) { _ = i.command.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (i *instance) kill() {
	if i.command == nil {
		return
	}
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-i.ended
}
