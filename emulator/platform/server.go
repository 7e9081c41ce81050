package platform

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

const maxValueBytes = 1 << 20

// Faults are the ways in which the stand-in misbehaves. The zero value is a
// healthy platform.
type Faults struct {
	Down          bool          `json:"down"`          // every call fails with status 503
	Delay         time.Duration `json:"delay"`         // nanoseconds added to every call
	LoseReplyRate float64       `json:"loseReplyRate"` // share of writes that take effect and then fail with status 504
	ListLag       time.Duration `json:"listLag"`       // nanoseconds by which the instance list lags
}

// Instance is one entry of the instance list.
type Instance struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       string `json:"state"` // "live" or "leaving"
}

// Counts are the calls served so far.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Server serves the platform protocol over HTTP.
type Server struct {
	echo  *echo.Echo
	store *store

	mu        sync.Mutex
	faults    Faults
	counts    Counts
	instances map[string]Instance
	history   []listState // oldest first; used to serve a lagging list
}

type listState struct {
	at        time.Time
	instances []Instance
}

// NewServer returns an empty, healthy platform.
func NewServer() *Server {
	s := &Server{echo: echo.New(), store: newStore(), instances: map[string]Instance{}}
	s.echo.HideBanner = true
	s.echo.GET("/v1/objects", s.watch, s.faulty)
	s.echo.GET("/v1/objects/*", s.get, s.faulty)
	s.echo.PUT("/v1/objects/*", s.put, s.faulty)
	s.echo.GET("/v1/instances", s.listInstances, s.faulty)
	s.echo.PUT("/v1/instances/:id", s.putInstance, s.faulty)
	s.echo.DELETE("/v1/instances/:id", s.deleteInstance, s.faulty)
	s.echo.PUT("/faults", s.putFaults)
	s.echo.GET("/counts", s.getCounts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the calls served so far; a waiting watch counts once.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) faulty(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f := s.count(c.Request().Method)
		time.Sleep(f.Delay)
		if f.Down {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "store is down")
		}
		return next(c)
	}
}

func (s *Server) count(method string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodGet {
		s.counts.Reads++
	} else {
		s.counts.Writes++
	}
	return s.faults
}

func (s *Server) get(c echo.Context) error {
	o, ok := s.store.get(c.Param("*"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no such object")
	}
	return c.JSON(http.StatusOK, o)
}

func (s *Server) put(c echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, maxValueBytes+1))
	if err != nil || len(value) > maxValueBytes {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "value over 1 MB")
	}
	expect, err := expectedVersion(c.Request().Header)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "If-Match or If-None-Match is required")
	}
	o, ok := s.store.put(c.Param("*"), expect, value)
	if !ok {
		return c.JSON(http.StatusPreconditionFailed, map[string]int64{"version": o.Version})
	}
	if s.losesReply() {
		return echo.NewHTTPError(http.StatusGatewayTimeout, "reply lost")
	}
	return c.JSON(http.StatusOK, map[string]int64{"version": o.Version})
}

func expectedVersion(h http.Header) (int64, error) {
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	return strconv.ParseInt(h.Get("If-Match"), 10, 64)
}

func (s *Server) losesReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.faults.LoseReplyRate
}

func (s *Server) watch(c echo.Context) error {
	prefixes := strings.Split(c.QueryParam("prefix"), ",")
	since, _ := strconv.ParseInt(c.QueryParam("since"), 10, 64)
	waitMS, _ := strconv.ParseInt(c.QueryParam("waitMs"), 10, 64)
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		objects, revision, changed := s.store.since(prefixes, since)
		if len(objects) > 0 || waitMS == 0 {
			return c.JSON(http.StatusOK, watchReply{revision, objects})
		}
		select {
		case <-changed:
		case <-timeout.C:
			return c.JSON(http.StatusOK, watchReply{revision, objects})
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

type watchReply struct {
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

func (s *Server) putFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) getCounts(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) }
