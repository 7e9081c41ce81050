// Package gateway implements an instance of the tier on the users' platform: it
// receives callers' requests, sends them to targets and answers them. The
// configuration and the list of targets come from the platform's store.
package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"knapweedstall/core/budget"
	"knapweedstall/core/clock"
	"knapweedstall/core/coordinator"
	"knapweedstall/core/fanout"
	"knapweedstall/core/liveness"
	"knapweedstall/core/placing"
	"knapweedstall/core/replica"
	"knapweedstall/core/routing"
	"knapweedstall/core/source"
	"knapweedstall/core/topology"
	"knapweedstall/core/workspace"
	"knapweedstall/io/accept"
	"knapweedstall/io/body"
	"knapweedstall/io/delegate"
	"knapweedstall/io/exchange"
	"knapweedstall/io/ingress"
	"knapweedstall/io/relay"
	"knapweedstall/io/upstream"
	"knapweedstall/platform"
	"knapweedstall/settings"
)

// sweepPeriod is how often expired targets and idle connections are dropped and
// gauges are updated.
const sweepPeriod = 500 * clock.Millisecond

// Gateway is one instance of the tier.
type Gateway struct {
	settings      settings.Gateway
	self          placing.Instance // this instance as it registers itself
	clock         clock.Clock
	created       clock.Time // when the Gateway was created
	log           *log.Logger
	store         *platform.Store
	pool          *upstream.Pool
	bodies        *body.Reader // reads the bodies of callers' requests
	callers       *ingress.Server
	stop          atomic.Pointer[stopTimes] // nil until the instance stops
	syncing       atomic.Bool               // startSync is getting copies from another instance
	draining      chan struct{}             // closed when requests in progress must end
	peersChanged  chan struct{}             // signals that peers has changed; holds one signal
	askSoon       chan struct{}             // signals askStore; holds one signal
	warmthUnknown chan struct{}             // signals learnWarmth; holds one signal
	actUntil      atomic.Int64              // clock.Time until which the instance may act on its copies

	// mu guards the fields below up to rollouts.
	mu        sync.Mutex
	random    *rand.Rand
	table     *routing.Table       // routing table of the active configuration; nil until one is known
	keys      *workspace.Directory // workspaces of the active configuration
	targets   *replica.Set
	budget    *budget.Budget
	estimates map[routing.RouteName]*fanout.LatencyEstimate
	crashes   *crashRecords
	// becomingIsolated is closed when the instance becomes isolated, and replaced when
	// it ceases to be.
	becomingIsolated chan struct{}
	probeEnded       chan struct{}      // closed at the end of the first probe after a suspicion; nil while none is made
	openCount        int                // requests in progress
	completeCount    int                // requests with a complete answer, for sampling log lines
	peers            []placing.Instance // all registered instances, this one included, in the order of source.Compare
	chooser          *source.Chooser
	coordinators     *coordinator.Ring
	quotaRing        *coordinator.Ring // the coordinators of quotas, among the live instances
	liveness         *liveness.Tracker
	seeds            []string // peer addresses from the settings
	placing          *placing.Set
	zoneCoverage     map[routing.RouteName]map[topology.ZoneID]float64 // share of a route's shards with a target in the zone, computed when needed
	listings         map[string]parsedListing                          // parsed entries of targets, by name
	entries          map[string]parsedInstance                         // parsed entries of instances, by name
	rollouts         *rollouts                                         // nil: the deployment has no rollouts

	unauthorizedLines *lineLimit
	acceptLines       *lineLimit // about connections that could not be accepted
	quotas            *quotaEntry
	quotaCoordinator  *quotaCoordinator

	metrics      *counters
	droppedLines func() int64 // number of log lines that were dropped
	views        *views
	delegates    *delegate.Client // sends requests to other instances
	delegated    *delegate.Server // runs requests of other instances
	overload     *overloadControl
	calls        *exchange.Client // calls other instances
	called       *exchange.Server // handles calls of other instances
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithDroppedLines sets the function that returns how many log lines were dropped,
// for the metrics.
func WithDroppedLines(dropped func() int64) Option {
	return func(g *Gateway) { g.droppedLines = dropped }
}

// WithTargetDial sets the function that opens connections to targets.
func WithTargetDial(dial upstream.DialFunc) Option {
	return func(g *Gateway) { g.pool = upstream.NewPool(g.clock, upstream.WithDial(dial)) }
}

// New returns a Gateway with the settings. Serve runs it.
func New(s settings.Gateway, c clock.Clock, logger *log.Logger, opts ...Option) *Gateway {
	g := &Gateway{
		settings: s, clock: c, created: c.Now(), log: logger,
		store:             platform.NewStore(s.Store.Address),
		pool:              upstream.NewPool(c),
		bodies:            body.NewReader(callerBodyLimits),
		draining:          make(chan struct{}),
		peersChanged:      make(chan struct{}, 1),
		askSoon:           make(chan struct{}, 1),
		warmthUnknown:     make(chan struct{}, 1),
		random:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		crashes:           newCrashRecords(),
		becomingIsolated:  make(chan struct{}),
		zoneCoverage:      map[routing.RouteName]map[topology.ZoneID]float64{},
		coordinators:      coordinator.New(nil),
		quotaRing:         coordinator.New(nil),
		liveness:          liveness.New(),
		delegates:         delegate.NewClient(),
		calls:             exchange.NewClient(s.Instance),
		called:            exchange.NewServer(),
		metrics:           newCounters(),
		droppedLines:      func() int64 { return 0 },
		seeds:             s.Peers,
		estimates:         map[routing.RouteName]*fanout.LatencyEstimate{},
		listings:          map[string]parsedListing{},
		entries:           map[string]parsedInstance{},
		keys:              workspace.NewDirectory(nil),
		unauthorizedLines: &lineLimit{period: unauthorizedLogPeriod},
		acceptLines:       &lineLimit{period: acceptLogPeriod},
	}
	g.actUntil.Store(math.MaxInt64) // there are no copies yet
	g.views = newViews(c, optionalKinds(s), g.apply, g.rewriteLost)
	g.delegated = delegate.NewServer(g.runDelegated)
	g.overload = newOverloadControl(g)
	g.handle(overloadTopic, g.overload.receive)
	g.quotas, g.quotaCoordinator = newQuotaEntry(), g.newQuotaCoordinator()
	if s.Quotas != nil {
		g.handle(quotaTopic, g.handleCredit)
		g.handle(releaseTopic, g.handleReleased)
		g.handle(leaseWriteTopic, g.handleLeaseWrite)
	}
	g.self = placing.Instance{ID: s.Instance, Zone: s.Zone, Address: s.Listen.Peers, Capacity: s.Capacity}
	g.chooser = source.New(g.self, s.Store.ConfigDueMS)
	g.placing = placing.NewSet(g.self, g.random)
	for _, o := range opts {
		o(g)
	}
	g.targets = replica.NewSet(s.Zone, g.random)
	g.budget = budget.New(budget.Limit{
		Window: clock.Duration(s.Repeats.WindowSeconds) * clock.Second,
		Ratio:  s.Repeats.Ratio,
		Slack:  float64(s.Repeats.Slack),
	}, c.Now())
	if g.rollouts = newRollouts(g, s.Rollouts); g.rollouts != nil {
		g.handle(rolloutTopic, g.receiveReport)
		g.handle(rolloutWriteTopic, g.writeForDecider)
	}
	return g
}

// Serve runs the instance until ctx is done and then shuts it down gracefully.
func (g *Gateway) Serve(ctx context.Context) error {
	callers, err := ingress.Listen(g.settings.Listen.Callers, http.HandlerFunc(g.serveRecovered),
		ingress.WithMaxConnections(maxCallerConnections()), ingress.OnFailure(g.acceptFailed), ingress.OnReject(g.metrics.rejected))
	if err != nil {
		return err
	}
	g.callers = callers
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+platform.ReadinessPath, g.serveReadiness)
	peers := http.NewServeMux()
	peers.Handle("GET "+delegate.Path, g.delegated)
	peers.Handle("GET "+exchange.Path, g.called)
	peers.Handle("GET "+relay.Path, relay.NewServer(g.views, g.heartbeatPeriod()))
	published := http.NewServeMux()
	published.Handle("GET /metrics", g.metrics.handler)
	for address, handler := range map[string]http.Handler{
		g.settings.Listen.Readiness: readiness, g.settings.Listen.Peers: peers, g.settings.Listen.Metrics: published,
	} {
		if err := g.serveInternal(address, handler); err != nil {
			return err
		}
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	g.log.Info("started", "zone", g.settings.Zone, "callers", g.settings.Listen.Callers)
	go g.syncCopies(background)
	go g.askStore(background)
	go g.sweep(background)
	go g.removeCrashRecords(background)
	go g.learnWarmth(background)
	go g.overload.run(background)
	go g.runRollouts(background)
	if g.settings.Quotas != nil {
		go g.runQuotas(background)
	}
	go func() { _ = callers.Serve() }() // returns when the server is shut down
	<-ctx.Done()
	g.shutdown()
	return nil
}

// Reload applies new settings. Only changes of Peers take effect while the process
// runs; other fields take effect at the next start.
func (g *Gateway) Reload(s settings.Gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = s.Peers
	g.log.Info("settings reloaded", "peers", len(s.Peers))
}

// serveInternal serves handler on address until the process exits.
func (g *Gateway) serveInternal(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(accept.NewListener(l, g.acceptFailed)) }() // runs until the process exits
	return nil
}

// serveReadiness answers a readiness check of the load balancer.
func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ready reports whether the instance can serve requests.
func (g *Gateway) ready() bool {
	if g.stopping() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table != nil && g.targets.Size() > 0 && g.callers.Accepts()
}

// sweep drops expired targets and idle connections and updates gauges until ctx is
// done.
func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.pool.CloseExpired()
		g.pool.CloseIdle(g.expireTargets())
		g.metrics.update(g.gauges())
	}
}

// expireTargets removes expired targets and returns their ids.
func (g *Gateway) expireTargets() []topology.TargetID {
	g.mu.Lock()
	defer g.mu.Unlock()
	removed := g.targets.Expire(g.clock.Now())
	if g.rollouts != nil && len(removed) > 0 {
		g.rollouts.tracker.Expire(g.targets.HasVersion)
	}
	return removed
}

// gauges returns the values of the metrics that are not counted by request.
func (g *Gateway) gauges() gauges {
	limited, lowest := g.overload.limits()
	v := gauges{groupsLimited: limited, overloadLimit: lowest, viewAge: g.views.age(), connectionsOpened: g.pool.Opened(),
		connsBypassed: g.pool.Bypassed(), answersSkipped: g.pool.Skipped(), answersUnframed: g.pool.Unframed, linesDropped: g.droppedLines()}
	g.mu.Lock()
	defer g.mu.Unlock()
	v.rollouts = g.rolloutCounts()
	v.targetsLimited, v.isolated = g.targets.LimitedTargets(), g.targets.Isolated()
	v.instancesLost = g.liveness.LostCount()
	v.targetsPredicted = g.targets.PredictedTargets(g.clock.Now())
	if g.table != nil {
		v.configVersion = g.table.Config.Version
	}
	return v
}
