// Package tier runs a whole deployment in one process, on loopback ports: several
// instances with emulators of the platform and the targets. The demo, the load
// experiments and tests use it.
package tier

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/node"
	"knapweedstall/core/topology"
	"knapweedstall/deployment"
	"knapweedstall/emulator/platform"
	"knapweedstall/emulator/target"
	"knapweedstall/instance"
	"knapweedstall/io/operator"
	"knapweedstall/settings"
)

// Tokens of a tier. They can be constants because a tier listens on loopback only.
const (
	adminToken = "tier-admin-0123456789"
	peerToken  = "tier-peers-0123456789"
)

// TimeoutError reports that a condition was not met in time.
type TimeoutError struct {
	Condition string
	Timeout   time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("condition not met within %v: %s", e.Timeout, e.Condition)
}

// Tier is a running deployment.
type Tier struct {
	Deployment deployment.Deployment
	Platform   *platform.Server
	Targets    *target.Fleet
	opts       options

	mu           sync.Mutex
	members      []*Member
	startedCount int // members started so far
}

// Member is one instance of the tier.
type Member struct {
	ID              topology.InstanceID
	Zone            topology.ZoneID
	CallerAddress   string // host:port that serves callers
	OperatorAddress string // host:port that serves operators
	instance        *instance.Instance
	platform        *httptest.Server // forwards the calls of this member to the platform
	platformBlocked atomic.Bool
	cancel          context.CancelFunc
	done            chan struct{}
}

// options holds the options of a Tier.
type options struct {
	instances    int
	fleetOptions []target.FleetOption
	nodeOptions  []node.Option
	log          io.Writer
}

// Option changes how a Tier is started.
type Option func(*options)

// WithInstances sets the number of instances; the default is the deployment's.
func WithInstances(n int) Option { return func(o *options) { o.instances = n } }

// WithFleetOptions passes options to the target emulators.
func WithFleetOptions(opts ...target.FleetOption) Option {
	return func(o *options) { o.fleetOptions = append(o.fleetOptions, opts...) }
}

// WithNodeOptions passes options to the node of every instance.
func WithNodeOptions(opts ...node.Option) Option {
	return func(o *options) { o.nodeOptions = append(o.nodeOptions, opts...) }
}

// WithLog writes the logs of the instances to w. By default they are discarded.
func WithLog(w io.Writer) Option { return func(o *options) { o.log = w } }

// Start starts the deployment and files its first ticket. It returns when the ticket
// is in force at every instance and both shares of every service are in use.
func Start(d deployment.Deployment, opts ...Option) (*Tier, error) {
	o := options{instances: d.Instances, log: io.Discard}
	for _, opt := range opts {
		opt(&o)
	}
	fleet, err := target.StartFleet(d.Collections, d.Snapshots, o.fleetOptions...)
	if err != nil {
		return nil, err
	}
	d.Collections = fleet.Collections()
	t := &Tier{Deployment: d, Platform: platform.NewServer(), Targets: fleet, opts: o}
	for range o.instances {
		if _, err := t.Add(); err != nil {
			t.Close()
			return nil, err
		}
	}
	if err := t.fileFirstTicket(); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

// startTimeout is the time limit for each step of the start and for filing a ticket.
const startTimeout = 20 * time.Second

// fileFirstTicket files the first ticket and waits until it is in force and all
// services are in use.
func (t *Tier) fileFirstTicket() error {
	first, err := t.Deployment.FirstTicket().Encode()
	if err != nil {
		return err
	}
	filed := Eventually(startTimeout, "the first ticket is accepted", func() bool {
		_, err := t.FileTicket(first)
		return err == nil
	})
	if filed != nil {
		return filed
	}
	if err := t.WaitForTicket(1, startTimeout); err != nil {
		return err
	}
	return t.WaitForShares(startTimeout)
}

// Add starts one more instance, in the next zone.
func (t *Tier) Add() (*Member, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := t.Deployment.Zones
	m := &Member{
		ID:   topology.InstanceID(fmt.Sprintf("%s-%02d", t.Deployment.Name, t.startedCount)),
		Zone: zones[t.startedCount%len(zones)], done: make(chan struct{}),
	}
	t.startedCount++
	if err := t.startMember(m); err != nil {
		return nil, err
	}
	t.members = append(t.members, m)
	return m, nil
}

// startMember starts the instance of m in a goroutine.
func (t *Tier) startMember(m *Member) error {
	ports, err := freePorts(3)
	if err != nil {
		return err
	}
	m.CallerAddress, m.OperatorAddress = ports[0], ports[2]
	s := settings.Defaults()
	s.Instance, s.Zone, s.Region = m.ID, m.Zone, t.Deployment.Region
	s.Listen = settings.Listen{Callers: ports[0], Peers: ports[1], Operators: ports[2]}
	s.PeerAddress = ports[1]
	m.platform = httptest.NewServer(m.platformHandler(t.Platform))
	s.Platform = m.platform.Listener.Addr().String()
	s.AdminToken, s.PeerToken = adminToken, peerToken
	for _, workspace := range t.Deployment.Workspaces {
		s.Callers = append(s.Callers, settings.Caller{Token: settings.Token(Token(workspace)), Workspace: workspace})
	}
	logger := log.NewWithOptions(t.opts.log, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter})
	incarnation := topology.NewIncarnation(time.Now().UnixMilli(), rand.Uint64())
	m.instance = instance.New(s, incarnation, logger.With("instance", string(m.ID)), instance.WithNodeOptions(t.opts.nodeOptions...))
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.done)
		defer m.platform.CloseClientConnections()
		if err := m.instance.Serve(ctx); err != nil {
			logger.Error("instance failed", "err", err)
		}
	}()
	return nil
}

// Token returns the bearer token of a workspace.
func Token(workspace topology.WorkspaceID) string { return "tier-token-" + string(workspace) }

// freePorts returns n loopback addresses with ports that were free when they were
// probed.
func freePorts(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.WithStack(err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// Members returns the running instances.
func (t *Tier) Members() []*Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*Member(nil), t.members...)
}

// Addresses returns the addresses at which the running instances serve callers.
func (t *Tier) Addresses() []string {
	var out []string
	for _, m := range t.Members() {
		out = append(out, m.CallerAddress)
	}
	return out
}

// Stop shuts an instance down gracefully and waits until it has ended.
func (t *Tier) Stop(m *Member) {
	t.removeMember(m)
	m.cancel()
	<-m.done
}

// Kill ends an instance without a graceful shutdown: its connections break and it
// hands nothing over.
func (t *Tier) Kill(m *Member) {
	t.removeMember(m)
	m.instance.Abort()
	m.cancel()
	<-m.done
}

func (t *Tier) removeMember(m *Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, other := range t.members {
		if other == m {
			t.members = append(t.members[:i:i], t.members[i+1:]...)
			return
		}
	}
}

// Close ends all instances without a graceful shutdown and stops the targets.
func (t *Tier) Close() {
	for _, m := range t.Members() {
		t.Kill(m)
	}
	t.Targets.Stop()
}

// FileTicket files a ticket through the first instance.
func (t *Tier) FileTicket(body []byte) (operator.Accepted, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return t.Members()[0].instance.File(ctx, body)
}

// FileChanges files the next ticket with the given changes.
func (t *Tier) FileChanges(changes ...deployment.Change) (operator.Accepted, error) {
	body, err := json.Marshal(map[string]any{"number": 0, "filingId": "", "operator": "tier", "at": 0, "changes": changes})
	if err != nil {
		return operator.Accepted{}, errors.WithStack(err)
	}
	return t.FileTicket(body)
}

// WaitForTicket waits until the ticket is in force at every instance.
func (t *Tier) WaitForTicket(number uint64, timeout time.Duration) error {
	return Eventually(timeout, fmt.Sprintf("ticket %d is in force everywhere", number), func() bool {
		for _, m := range t.Members() {
			if s, ok := m.Status(); !ok || uint64(s.Config) < number {
				return false
			}
		}
		return true
	})
}

// WaitForShares waits until both shares of every service are in use. A share is the
// part of the slots of a service that one instance, the holder, may use.
func (t *Tier) WaitForShares(timeout time.Duration) error {
	services := 0
	for _, c := range t.Deployment.Collections {
		services += len(c.Services)
	}
	want := 2 * services
	return Eventually(timeout, "both shares of every service are in use", func() bool {
		usable := 0
		for _, m := range t.Members() {
			s, ok := m.Status()
			if !ok {
				return false
			}
			for _, h := range s.Holdings {
				for _, k := range h.Shares {
					if h.Warm[k] {
						usable++
					}
				}
			}
		}
		return usable == want
	})
}

// Status returns the status of the member's node. It reports false on an error.
func (m *Member) Status() (node.Status, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var s node.Status
	raw, err := m.instance.Status(ctx)
	if err != nil || json.Unmarshal(raw, &s) != nil {
		return s, false
	}
	return s, true
}

// BlockPlatform makes calls to the platform fail for this member only, or lets them
// through again.
func (m *Member) BlockPlatform(blocked bool) { m.platformBlocked.Store(blocked) }

// platformHandler forwards calls to the platform unless they are blocked for the
// member.
func (m *Member) platformHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.platformBlocked.Load() {
			http.Error(w, "platform blocked for this instance", http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Ready reports whether the readiness check of the instance succeeds.
func (m *Member) Ready() bool {
	resp, err := http.Get("http://" + m.CallerAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pollPeriod is the pause between two checks of a condition.
const pollPeriod = 20 * clock.Millisecond

// Eventually waits until check returns true. It fails with *TimeoutError, which
// contains the condition.
func Eventually(timeout time.Duration, condition string, check func() bool) error {
	deadline := time.Now().Add(timeout)
	for !check() {
		if time.Now().After(deadline) {
			return errors.WithStack(&TimeoutError{Condition: condition, Timeout: timeout})
		}
		time.Sleep(pollPeriod.Std())
	}
	return nil
}
