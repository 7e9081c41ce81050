// Package instance runs one node on real sockets: callers and operators over
// HTTP, peers over WebSocket, targets and the platform as HTTP clients.
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

	"knapweedstall/core/clock"
	"knapweedstall/core/message"
	"knapweedstall/core/node"
	"knapweedstall/core/topology"
	"knapweedstall/io/caller"
	"knapweedstall/io/peer"
	"knapweedstall/io/platform"
	"knapweedstall/io/target"
	"knapweedstall/settings"
)

const (
	tickPeriod  = 5 * time.Millisecond
	listPeriod  = time.Second
	watchWait   = 5 * clock.Second
	retryPeriod = 200 * time.Millisecond
)

// Instance is one running member of the tier.
type Instance struct {
	settings settings.Settings
	tokens   map[string]topology.TenantID
	self     topology.Member
	clock    clock.Clock
	log      *log.Logger
	node     *node.Node
	events   chan node.Event
	hub      *peer.Hub
	targets  *target.Client
	platform *platform.Client
	config   atomic.Uint64
	calls    atomic.Uint64

	mu      sync.Mutex
	waiting map[node.CallID]chan node.SearchAnswer
}

// New returns an instance that is not yet running.
func New(s settings.Settings, incarnation topology.Incarnation, logger *log.Logger) *Instance {
	self := topology.Member{
		Ref:     topology.InstanceRef{ID: s.Instance, Incarnation: incarnation},
		Address: s.PeerAddress, Zone: s.Zone, Region: s.Region, State: topology.MemberLive,
	}
	in := &Instance{
		settings: s, self: self, clock: clock.NewSystem(), log: logger,
		tokens:   map[string]topology.TenantID{},
		node:     node.New(self),
		events:   make(chan node.Event, 65536),
		targets:  target.NewClient(8),
		platform: platform.NewClient(s.Platform),
		waiting:  map[node.CallID]chan node.SearchAnswer{},
	}
	for _, c := range s.Callers {
		in.tokens[string(c.Token)] = c.Tenant
	}
	in.hub = peer.NewHub(self, string(s.PeerToken), in, in.header)
	return in
}

// Serve runs the instance until ctx ends.
func (in *Instance) Serve(ctx context.Context) error {
	callers, err := net.Listen("tcp", in.settings.Listen.Callers)
	if err != nil {
		return errors.WithStack(&ListenError{in.settings.Listen.Callers, err})
	}
	peers, err := net.Listen("tcp", in.settings.Listen.Peers)
	if err != nil {
		return errors.WithStack(&ListenError{in.settings.Listen.Peers, err})
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, in.hub)
	callerServer := &http.Server{Handler: caller.NewServer(in, in.tokens), ReadHeaderTimeout: 5 * time.Second}
	peerServer := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = callerServer.Serve(callers) }()
	go func() { _ = peerServer.Serve(peers) }()
	go in.watchStore(ctx)
	go in.listMembers(ctx)
	in.loop(ctx)
	in.hub.Close()
	_ = callerServer.Close()
	_ = peerServer.Close()
	return nil
}

// ListenError says that an address could not be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

func (in *Instance) loop(ctx context.Context) {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-in.events:
			in.apply(ctx, e)
		case <-tick.C:
			in.apply(ctx, node.Tick{})
		}
	}
}

func (in *Instance) apply(ctx context.Context, e node.Event) {
	commands := in.node.Handle(in.clock.Now(), e)
	in.config.Store(in.node.Config())
	for _, c := range commands {
		in.execute(ctx, c)
	}
}

func (in *Instance) execute(ctx context.Context, c node.Command) {
	switch c := c.(type) {
	case node.AnswerSearch:
		in.mu.Lock()
		done := in.waiting[c.Call]
		delete(in.waiting, c.Call)
		in.mu.Unlock()
		if done != nil {
			done <- c.Answer
		}
	case node.SendPeer:
		in.hub.Send(c.To, c.Body)
	case node.CallTarget:
		go in.callTarget(ctx, c)
	}
}

func (in *Instance) callTarget(ctx context.Context, c node.CallTarget) {
	left := c.Deadline.Sub(in.clock.Now())
	ctx, cancel := context.WithTimeout(ctx, left.Std())
	defer cancel()
	deadline := in.clock.UnixMillis() + int64(left)
	call := target.Call{Address: c.Address, Snapshot: c.Snapshot, StartByUnixMS: deadline, DeadlineUnixMS: deadline}
	for _, s := range c.Items {
		call.Items = append(call.Items, target.Item{ID: fmt.Sprint(s.ID), Tenant: s.Tenant, Shards: s.Shards, Query: s.Query, Limit: s.Limit})
	}
	a, err := in.targets.Do(ctx, call)
	if err != nil || a.Status != target.CallOK {
		in.events <- node.TargetFailed{Call: c.Call}
		return
	}
	e := node.TargetAnswered{Call: c.Call}
	for _, item := range a.Items {
		e.Items = append(e.Items, node.ItemAnswer{Tenant: item.Tenant, Snapshot: item.Snapshot, Status: item.Status, Snapshots: item.Snapshots, Shards: item.Shards})
	}
	in.events <- e
}

func (in *Instance) watchStore(ctx context.Context) {
	var since int64
	for ctx.Err() == nil {
		objects, revision, err := in.platform.Watch(ctx, []string{"tickets/"}, since, watchWait)
		if err != nil {
			time.Sleep(retryPeriod)
			continue
		}
		since = revision
		read := node.ObjectsRead{}
		for _, o := range objects {
			read.Objects = append(read.Objects, node.Object{Key: o.Key, Version: o.Version, Value: o.Value})
		}
		in.events <- read
	}
}

func (in *Instance) listMembers(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			registered = in.platform.Register(ctx, in.self) == nil
		}
		if members, err := in.platform.Instances(ctx); err == nil {
			in.events <- node.MembersListed{Members: members}
		}
		time.Sleep(listPeriod)
	}
}

func (in *Instance) header() message.Header {
	return message.Header{Config: in.config.Load(), SentAt: in.clock.Now()}
}

// Search implements caller.Backend.
func (in *Instance) Search(ctx context.Context, tenant topology.TenantID, r caller.SearchRequest) (caller.SearchAnswer, error) {
	start := in.clock.Now()
	call := node.CallID(in.calls.Add(1))
	done := make(chan node.SearchAnswer, 1)
	in.mu.Lock()
	in.waiting[call] = done
	in.mu.Unlock()
	in.events <- node.SearchArrived{Call: call, Tenant: tenant, Collection: r.Collection, Query: r.Query, Limit: r.Limit, Deadline: start.Add(r.DeadlineMS)}
	select {
	case a := <-done:
		return in.searchAnswer(call, start, a), nil
	case <-ctx.Done():
		in.events <- node.CallerGone{Call: call}
		return caller.SearchAnswer{}, &caller.Error{Code: caller.CodeUnavailable, Message: "the caller went away", Outcome: caller.OutcomeUnknown}
	}
}

func (in *Instance) searchAnswer(call node.CallID, start clock.Time, a node.SearchAnswer) caller.SearchAnswer {
	byReason := map[message.Reason][]topology.ShardID{}
	for shard, reason := range a.Missing {
		byReason[reason] = append(byReason[reason], shard)
	}
	missing := []caller.MissingShards{}
	for reason, shards := range byReason {
		missing = append(missing, caller.MissingShards{Shards: shards, Reason: reason})
	}
	return caller.SearchAnswer{
		RequestID: fmt.Sprintf("%s-%d", in.self.Ref, call), Snapshot: a.Snapshot, Config: a.Config,
		Coverage: caller.Coverage{Total: a.Total, Answered: a.Answered, Missing: missing},
		Hits:     a.Hits, LatencyMS: in.clock.Now().Sub(start),
	}
}

// Run implements caller.Backend. Requests that may not be repeated need the
// claim journal, which this version does not have.
func (in *Instance) Run(context.Context, topology.TenantID, caller.RunRequest) (caller.RunAnswer, error) {
	return caller.RunAnswer{}, caller.NotRun(caller.CodeUnavailable, 0, "requests that may not be repeated are not supported yet")
}

// PeerConnected implements peer.Handler.
func (in *Instance) PeerConnected(m topology.Member) { in.events <- node.PeerConnected{Member: m} }

// PeerReceived implements peer.Handler.
func (in *Instance) PeerReceived(from topology.InstanceRef, h message.Header, bodies []message.Body) {
	in.events <- node.PeerReceived{From: from, Header: h, Bodies: bodies}
}

// PeerLost implements peer.Handler.
func (in *Instance) PeerLost(ref topology.InstanceRef, terminated bool) {
	in.events <- node.PeerLost{Ref: ref, Terminated: terminated}
}

// PeerFault implements peer.Handler.
func (in *Instance) PeerFault(ref topology.InstanceRef, err error) {
	in.log.Warn("peer sent a malformed frame", "code", "peerFault", "peer", ref.String(), "err", err)
}
