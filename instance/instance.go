// Package instance runs one node, the state machine of package node, with real
// connections and clocks. It serves callers and operators over HTTP, talks to peers
// over WebSocket and calls targets and the platform as an HTTP client.
package instance

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/topology"
	"knapweedstall/io/accept"
	"knapweedstall/io/caller"
	"knapweedstall/io/operator"
	"knapweedstall/io/osclock"
	"knapweedstall/io/peer"
	"knapweedstall/io/platform"
	"knapweedstall/io/target"
	"knapweedstall/settings"
)

const (
	eventQueueSize = 65536 // events that wait for the loop
	// targetConnections bounds the connections to one target. A holder, the
	// instance that may call the target, has at most its share of the slots in
	// flight, and a cancelled call may still occupy a connection while the next
	// one starts.
	targetConnections = 8
)

// Instance is one running member of the tier.
type Instance struct {
	settings   settings.Settings
	tokens     map[string]topology.WorkspaceID
	self       topology.Member
	clock      clock.Clock
	log        *log.Logger
	nodeOpts   []node.Option
	node       *node.Node // used by the goroutine of loop only
	tracer     *tracer    // records the events and commands of the node; nil without a trace
	tracePath  string     // file that the trace is written to; empty for none
	events     chan node.Event
	loopFuncs  chan func() // functions to run in the goroutine of loop, which may use the node
	hub        *peer.Hub
	targets    *target.Client
	platform   *platform.Client
	metrics    *metrics
	peerHeader atomic.Pointer[message.Header] // header of messages to peers, updated after each event
	ready      atomic.Bool
	lastCallID atomic.Uint64
	stopped    chan struct{} // closed when a graceful shutdown is complete
	aborted    chan struct{} // closed by Abort

	mu           sync.Mutex
	pendingCalls map[node.CallID]chan node.Command // requests of callers and operators that wait for an answer
	targetCalls  map[node.TargetCallID]*targetCall // calls in flight
	cancelWatch  context.CancelFunc                // ends the watch of the store; nil when there is none
}

// Option configures an Instance.
type Option func(*Instance)

// WithNodeOptions passes options to the node.
func WithNodeOptions(opts ...node.Option) Option {
	return func(in *Instance) { in.nodeOpts = append(in.nodeOpts, opts...) }
}

// WithTrace records all events and commands of the node in the file at path and
// replaces an existing file. It overrides the path in the settings.
func WithTrace(path string) Option {
	return func(in *Instance) { in.tracePath = path }
}

// New returns an instance that is not yet running.
func New(s settings.Settings, incarnation topology.Incarnation, logger *log.Logger, opts ...Option) *Instance {
	in := &Instance{
		settings: s, clock: osclock.New(), log: logger, tracePath: s.Trace,
		self: topology.Member{
			Ref:     topology.InstanceRef{ID: s.Instance, Incarnation: incarnation},
			Address: s.PeerAddress, Zone: s.Zone, Region: s.Region, State: topology.MemberLive,
		},
		tokens:       map[string]topology.WorkspaceID{},
		events:       make(chan node.Event, eventQueueSize),
		loopFuncs:    make(chan func(), 256),
		platform:     platform.NewClient(s.Platform, platform.WithTimeout(s.Timeouts.PlatformCallMS)),
		metrics:      newMetrics(),
		stopped:      make(chan struct{}),
		aborted:      make(chan struct{}),
		pendingCalls: map[node.CallID]chan node.Command{},
		targetCalls:  map[node.TargetCallID]*targetCall{},
	}
	in.targets = target.NewClient(targetConnections, s.Timeouts.TargetDialMS, target.WithObserver(in.targetConnection))
	for _, o := range opts {
		o(in)
	}
	for _, c := range s.Callers {
		in.tokens[string(c.Token)] = c.Workspace
	}
	in.peerHeader.Store(&message.Header{})
	return in
}

// ListenError reports that listening on an address failed.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// servers holds the HTTP servers of an instance.
type servers struct {
	callers, peers, operators *http.Server
}

// Serve runs the instance until ctx is done and then shuts it down gracefully: it
// first finishes the requests in progress and hands its shares of the targets over
// to other instances.
func (in *Instance) Serve(ctx context.Context) error {
	var listeners [3]net.Listener
	l := in.settings.Listen
	for i, address := range []string{l.Callers, l.Peers, l.Operators} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.WithStack(&ListenError{address, err})
		}
		defer func() { _ = listener.Close() }()
		listeners[i] = listener
		if i == 0 {
			listeners[i] = netutil.LimitListener(listener, in.settings.Limits.Connections)
		}
	}
	in.self.Address = peerAddress(in.settings, listeners[1])
	now := in.clock.Now()
	opts := []node.Option{node.WithSeed(uint64(in.self.Ref.Incarnation)), node.WithUnixOffset(in.clock.UnixMillis() - int64(now))}
	in.node = node.New(now, in.self, append(opts, in.nodeOpts...)...)
	if err := in.startTrace(); err != nil {
		return err
	}
	defer in.closeTrace()
	in.hub = peer.NewHub(in.self, string(in.settings.PeerToken), in, func() message.Header { return *in.peerHeader.Load() },
		peer.WithLimits(in.settings.Timeouts.PeerDialMS, in.settings.Limits.PeerMessageBytes))
	// The loop runs on after ctx is done because a graceful shutdown needs it.
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := in.startServers(listeners)
	var background sync.WaitGroup
	background.Go(func() { in.loop(work) })
	background.Go(func() { in.listMembers(work) })
	in.log.Info("serving", "code", "serving", "callers", l.Callers, "peers", l.Peers, "operators", l.Operators)
	select {
	case <-ctx.Done():
		in.stop(s)
	case <-in.aborted:
		for _, srv := range []*http.Server{s.callers, s.peers, s.operators} {
			_ = srv.Close() // breaks the connections in use, as a crash does
		}
	}
	cancel()
	in.hub.Close()
	background.Wait()
	return nil
}

// Abort ends the instance without a graceful shutdown, as a crash would. It must be
// called at most once.
func (in *Instance) Abort() { close(in.aborted) }

// peerAddress returns the address at which peers reach this instance. When the
// settings have port 0, the port is known only once the listener is open.
func peerAddress(s settings.Settings, l net.Listener) string {
	if s.PeerAddress == s.Listen.Peers {
		return l.Addr().String()
	}
	return s.PeerAddress
}

func (in *Instance) startServers(listeners [3]net.Listener) servers {
	peers := http.NewServeMux()
	peers.Handle(peer.Path, in.hub)
	t := in.settings.Timeouts
	server := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: t.ReadHeaderMS.Std(), IdleTimeout: t.IdleMS.Std()}
	}
	s := servers{
		callers:   server(in.callerHandler()),
		peers:     server(peers),
		operators: server(operator.NewServer(in, string(in.settings.AdminToken))),
	}
	for i, srv := range []*http.Server{s.callers, s.peers, s.operators} {
		go func() { _ = srv.Serve(accept.NewListener(listeners[i], in.acceptFailed)) }() // returns http.ErrServerClosed at shutdown
	}
	return s
}

// acceptFailed logs that a connection could not be accepted.
func (in *Instance) acceptFailed(err error) {
	in.log.Warn("a connection could not be accepted", "code", "acceptFailed", "err", err)
}

func (in *Instance) callerHandler() http.Handler {
	c := caller.NewServer(in, in.tokens, caller.WithLimits(callerLimits(in.settings)))
	in.addMonitoring(c.Echo())
	return c
}

func callerLimits(s settings.Settings) caller.Limits {
	return caller.Limits{
		Concurrent: s.Limits.Queries, BodyBytes: int64(s.Limits.BodyBytes), Hits: s.Limits.Hits,
		Deadline: s.Limits.DeadlineMS, DefaultDeadline: s.Timeouts.DeadlineMS,
	}
}

// stop shuts the instance down gracefully. The servers close last, so that no caller
// that still reaches this instance is disconnected.
func (in *Instance) stop(s servers) {
	in.ready.Store(false)
	in.events <- node.StopRequested{}
	ctx, cancel := context.WithTimeout(context.Background(), in.settings.Timeouts.ShutdownMS.Std())
	defer cancel()
	in.markLeaving(ctx)
	select {
	case <-in.stopped:
	case <-ctx.Done():
	}
	_ = s.callers.Shutdown(ctx)   // waits for the requests in progress
	_ = s.operators.Shutdown(ctx) // waits for the requests in progress
	_ = in.platform.Deregister(ctx, in.self.Ref.ID)
	_ = s.peers.Close()
	time.Sleep(10 * time.Millisecond) // lets the last replies to peers be sent
}
