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

// AddressError says that a server was told to listen outside loopback.
type AddressError struct{ Address string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("target address %q is not a loopback IP address with a port", e.Address)
}

// Server stands for one back-end server. It is safe for concurrent use.
type Server struct {
	config Config
	echo   *echo.Echo
	ledger *CallLog
	// cancels holds the context.CancelFunc of each running call by its id.
	cancels sync.Map

	mu        sync.Mutex
	address   string
	http      *http.Server // nil while stopped
	life      *life        // nil while stopped or down after a crash
	restart   *time.Timer  // pending restart after a crash
	starts    int
	faults    Faults
	conns     map[*conn]struct{}
	snapshots []held // newest first
	random    *rand.Rand
	history   []Health // states with the times in historyAt, oldest first
	historyAt []time.Time
}

// life is the time between a start and the next stop or crash.
type life struct {
	ended   chan struct{} // closed at the stop or crash
	running int
	served  int
	cold    bool
	warmUp  *time.Timer
}

// held is a snapshot with the shards of it that the server holds.
type held struct {
	id     topology.SnapshotID
	shards map[topology.ShardID]bool
}

// NewServer returns a stopped server without snapshots.
func NewServer(config Config) *Server {
	seed := topology.Hash64("target", string(config.Target.ID))
	s := &Server{
		config: config,
		echo:   echo.New(),
		ledger: newLedger(config.MaxRecordedCalls),
		conns:  map[*conn]struct{}{},
		random: rand.New(rand.NewPCG(config.Seed, seed)),
	}
	s.echo.POST(pathSearch, s.serveCall)
	s.echo.POST(pathRun, s.serveCall)
	s.echo.POST(pathCancel, s.serveCancel)
	s.echo.GET("/v1/health", s.serveHealth)
	return s
}

// Config returns the configuration that the server was made with.
func (s *Server) Config() Config { return s.config }

// Ledger returns the record of the server's calls.
func (s *Server) CallLog() *CallLog { return s.ledger }

// Address returns host:port; it is stable once the server has been started.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start listens and serves. A server that was stopped listens on its former
// address and is cold. It fails with *AddressError or the error of the listen.
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
	s.begin()
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

// Stop closes the listener and drops all connections; calls that run are
// interrupted. New connections are refused until Start.
func (s *Server) Stop() {
	s.mu.Lock()
	server := s.http
	s.http = nil
	if s.restart != nil {
		s.restart.Stop()
	}
	dropped := s.end()
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	resetAll(dropped)
}

// Crash drops all connections without an answer and starts again, cold, after
// the configured delay. Connections made meanwhile are reset.
func (s *Server) Crash() {
	s.mu.Lock()
	dropped := s.crash()
	s.mu.Unlock()
	resetAll(dropped)
}

// crash is Crash under the lock; the caller resets the returned connections
// after releasing it.
func (s *Server) crash() []*conn {
	if s.life == nil {
		return nil
	}
	dropped := s.end()
	s.restart = time.AfterFunc(millis(s.config.RestartMS), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.http != nil && s.life == nil {
			s.begin()
		}
	})
	return dropped
}

// begin opens a new life.
func (s *Server) begin() {
	l := &life{ended: make(chan struct{})}
	l.cold = s.config.ColdPeriod.exists() && (s.starts > 0 || !s.config.StartWarm)
	s.starts++
	s.life = l
	if l.cold && s.config.ColdPeriod.MS > 0 {
		l.warmUp = time.AfterFunc(millis(s.config.ColdPeriod.MS), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.warm(l)
		})
	}
	s.note()
}

// end closes the present life and returns the connections to reset.
func (s *Server) end() []*conn {
	if s.life == nil {
		return nil
	}
	close(s.life.ended)
	if s.life.warmUp != nil {
		s.life.warmUp.Stop()
	}
	s.life = nil
	dropped := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		dropped = append(dropped, c)
	}
	return dropped
}

func resetAll(conns []*conn) {
	for _, c := range conns {
		c.reset()
	}
}

func (s *Server) warm(l *life) {
	l.cold = false
	s.note()
}

// SetFaults replaces the faults in force. It fails with *InvalidFaultsError.
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
	s.note()
	return nil
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// State returns what the server truly is and bears now. A server that is
// stopped or down is in TargetUnknown.
func (s *Server) State() Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state()
}

func (s *Server) state() Health {
	switch {
	case s.life == nil:
		return Health{State: message.TargetUnknown}
	case s.faults.Draining:
		return Health{State: message.TargetDraining, Capacity: s.bears()}
	case s.life.cold:
		return Health{State: message.TargetCold, Capacity: s.bears()}
	}
	return Health{State: message.TargetWarm, Capacity: s.bears()}
}

// bears returns how many concurrent calls the server handles in this life.
func (s *Server) bears() int {
	if s.life.cold {
		return min(s.config.ColdPeriod.Capacity, s.config.Target.Slots)
	}
	return s.config.Target.Slots
}

// AddSnapshot makes the server serve its service's shards of a snapshot as the
// newest one.
func (s *Server) AddSnapshot(snapshot topology.Snapshot) {
	h := held{id: snapshot.ID, shards: map[topology.ShardID]bool{}}
	for _, shard := range snapshot.Shards[s.config.Service] {
		h.shards[shard] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = append([]held{h}, s.without(snapshot.ID)...)
}

// RetireSnapshot makes the server forget a snapshot.
func (s *Server) RetireSnapshot(id topology.SnapshotID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots = s.without(id)
}

func (s *Server) without(id topology.SnapshotID) []held {
	return slices.DeleteFunc(slices.Clone(s.snapshots), func(h held) bool { return h.id == id })
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

// sleep waits for d and reports false if ctx or the life ends earlier.
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
