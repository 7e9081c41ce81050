package target

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

// AddressError reports a listen address that is not a loopback IP address with a
// port.
type AddressError struct{ Address string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("target address %q is not a loopback IP address with a port", e.Address)
}

// Server emulates one back-end server. It is safe for concurrent use.
type Server struct {
	config  Config
	echo    *echo.Echo
	callLog *CallLog
	// cancels maps the id of each running call to its context.CancelFunc.
	cancels sync.Map

	mu         sync.Mutex
	address    string
	http       *http.Server // nil while stopped
	process    *process     // nil while stopped or crashed
	restart    *time.Timer  // the restart scheduled after a crash
	starts     int          // starts and restarts so far
	faults     Faults
	conns      map[*conn]struct{}
	snapshots  []heldSnapshot // newest first
	random     *rand.Rand     // for service times and lost replies
	states     []Health       // former and current states, oldest first; their times are in stateTimes
	stateTimes []time.Time
}

// process is the state of the emulated server process, which exists from a start until
// the next stop or crash.
type process struct {
	ended   chan struct{} // closed at the stop or crash
	running int           // calls that run
	served  int           // answered calls
	cold    bool
	warmUp  *time.Timer // ends the cold period; nil without a time limit
}

// heldSnapshot is a snapshot with those of its shards that the server holds.
type heldSnapshot struct {
	id     topology.SnapshotID
	shards map[topology.ShardID]bool
}

// NewServer returns a stopped server without snapshots.
func NewServer(config Config) *Server {
	seed := topology.Hash64("target", string(config.Target.ID))
	s := &Server{
		config:  config,
		echo:    echo.New(),
		callLog: newCallLog(config.MaxRecordedCalls),
		conns:   map[*conn]struct{}{},
		random:  rand.New(rand.NewPCG(config.Seed, seed)),
	}
	s.echo.POST(pathSearch, s.serveCall)
	s.echo.POST(pathRun, s.serveCall)
	s.echo.POST(pathCancel, s.serveCancel)
	s.echo.GET("/v1/health", s.serveHealth)
	return s
}

// Config returns the configuration that was given to NewServer.
func (s *Server) Config() Config { return s.config }

// CallLog returns the record of the server's calls.
func (s *Server) CallLog() *CallLog { return s.callLog }

// Address returns the host:port that the server listens on. It does not change after
// the first start.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start starts to listen and serve. A server that was stopped listens on the same
// address again and is cold. It fails with *AddressError or the error of net.Listen.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	ln, err := s.listen()
	if err != nil {
		return err
	}
	s.address = ln.Addr().String()
	server := &http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: time.Minute,
		ConnContext:       withConn,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	s.http = server
	s.startProcess()
	go func() { _ = server.Serve(&listener{ln, s}) }() // returns when the server is stopped
	return nil
}

func (s *Server) listen() (net.Listener, error) {
	address := s.address
	if address == "" {
		address = s.config.Target.Address
		if s.config.ListenOnFreePort {
			address = "127.0.0.1:0"
		}
	}
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, &AddressError{address}
	}
	ln, err := net.Listen("tcp", address)
	return ln, errors.WithStack(err)
}

// Stop closes the listener and all connections; running calls are interrupted. New
// connections are refused until Start.
func (s *Server) Stop() {
	s.mu.Lock()
	server := s.http
	s.http = nil
	if s.restart != nil {
		s.restart.Stop()
	}
	dropped := s.endProcess()
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	resetConns(dropped)
}

// Crash resets all connections without an answer and restarts the server, cold,
// after Config.RestartMS. Connections that are opened in the meantime are reset.
func (s *Server) Crash() {
	s.mu.Lock()
	dropped := s.crash()
	s.mu.Unlock()
	resetConns(dropped)
}

// crash is Crash with s.mu held. The caller resets the returned connections after
// releasing the lock.
func (s *Server) crash() []*conn {
	if s.process == nil {
		return nil
	}
	dropped := s.endProcess()
	s.restart = time.AfterFunc(millis(s.config.RestartMS), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.http != nil && s.process == nil {
			s.startProcess()
		}
	})
	return dropped
}

// startProcess starts a new emulated process. s.mu must be held.
func (s *Server) startProcess() {
	p := &process{ended: make(chan struct{})}
	p.cold = s.config.ColdPeriod.exists() && (s.starts > 0 || !s.config.StartWarm)
	s.starts++
	s.process = p
	if p.cold && s.config.ColdPeriod.MS > 0 {
		p.warmUp = time.AfterFunc(millis(s.config.ColdPeriod.MS), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.endColdPeriod(p)
		})
	}
	s.recordState()
}

// endProcess ends the current process and returns the connections to reset. s.mu
// must be held.
func (s *Server) endProcess() []*conn {
	if s.process == nil {
		return nil
	}
	close(s.process.ended)
	if s.process.warmUp != nil {
		s.process.warmUp.Stop()
	}
	s.process = nil
	dropped := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		dropped = append(dropped, c)
	}
	return dropped
}

func resetConns(conns []*conn) {
	for _, c := range conns {
		c.reset()
	}
}

// endColdPeriod makes a process warm. s.mu must be held.
func (s *Server) endColdPeriod(p *process) {
	p.cold = false
	s.recordState()
}

// SetFaults replaces the injected faults. It fails with *InvalidFaultsError.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Silence != SilenceNone {
		for c := range s.conns {
			c.silent.Store(true)
		}
	}
	s.recordState()
	return nil
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// State returns the actual state and capacity of the server, which GET /v1/health
// need not report. A server that is stopped or crashed is in TargetUnknown.
func (s *Server) State() Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state()
}

// state is State with s.mu held.
func (s *Server) state() Health {
	switch {
	case s.process == nil:
		return Health{State: message.TargetUnknown}
	case s.faults.Draining:
		return Health{State: message.TargetDraining, Capacity: s.capacity()}
	case s.process.cold:
		return Health{State: message.TargetCold, Capacity: s.capacity()}
	}
	return Health{State: message.TargetWarm, Capacity: s.capacity()}
}

// capacity returns the number of concurrent calls that the current process can
// handle. s.mu must be held.
func (s *Server) capacity() int {
	if s.process.cold {
		return min(s.config.ColdPeriod.Capacity, s.config.Target.Slots)
	}
	return s.config.Target.Slots
}

// AddSnapshot makes the server serve its service's shards of a snapshot as the
// newest one.
func (s *Server) AddSnapshot(snapshot topology.Snapshot) {
	held := heldSnapshot{id: snapshot.ID, shards: map[topology.ShardID]bool{}}
	for _, shard := range snapshot.Shards[s.config.Service] {
		held.shards[shard] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append([]heldSnapshot{held}, s.snapshotsWithout(snapshot.ID)...)
}

// RetireSnapshot makes the server stop serving a snapshot.
func (s *Server) RetireSnapshot(id topology.SnapshotID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = s.snapshotsWithout(id)
}

// snapshotsWithout returns a copy of the snapshots without the one of that id.
func (s *Server) snapshotsWithout(id topology.SnapshotID) []heldSnapshot {
	return slices.DeleteFunc(slices.Clone(s.snapshots), func(h heldSnapshot) bool { return h.id == id })
}

// Snapshots returns the snapshots that the server has, newest first.
func (s *Server) Snapshots() []topology.SnapshotID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshotIDs()
}

func (s *Server) snapshotIDs() []topology.SnapshotID {
	ids := make([]topology.SnapshotID, 0, len(s.snapshots))
	for _, h := range s.snapshots {
		ids = append(ids, h.id)
	}
	return ids
}

// sleep waits for d and reports false if ctx is done or ended is closed earlier.
func sleep(ctx context.Context, d time.Duration, ended <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-ended:
	}
	return false
}
