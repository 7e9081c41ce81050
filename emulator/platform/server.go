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

// maxValueBytes is the size limit of an object's value.
const maxValueBytes = 1 << 20

// Faults are the faults that the emulated platform injects. The zero value injects
// none.
type Faults struct {
	Down          bool          `json:"down"`          // every call fails with status 503
	Delay         time.Duration `json:"delay"`         // nanoseconds added to every call
	LoseReplyRate float64       `json:"loseReplyRate"` // share of writes that take effect and then fail with status 504
	ListLag       time.Duration `json:"listLag"`       // nanoseconds by which the served instance list is out of date
}

// Instance is one entry of the instance list, in which the platform names the
// running instances of the query tier.
type Instance struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       string `json:"state"` // "live" or "leaving"
}

// Counts holds the numbers of calls received so far.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Server serves the platform's object API and instance list over HTTP. PUT /faults
// and GET /counts control it.
type Server struct {
	echo  *echo.Echo
	store *store

	mu          sync.Mutex
	faults      Faults
	counts      Counts
	instances   map[string]Instance
	listHistory []listVersion // oldest first; used to serve a lagging list
}

// listVersion is the instance list from a point in time until the next change.
type listVersion struct {
	at        time.Time
	instances []Instance
}

// NewServer returns a server without objects, instances and faults.
func NewServer() *Server {
	s := &Server{echo: echo.New(), store: newStore(), instances: map[string]Instance{}}
	s.echo.HideBanner = true
	s.echo.GET("/v1/objects", s.watch, s.injectFaults)
	s.echo.GET("/v1/objects/*", s.get, s.injectFaults)
	s.echo.PUT("/v1/objects/*", s.put, s.injectFaults)
	s.echo.GET("/v1/instances", s.listInstances, s.injectFaults)
	s.echo.PUT("/v1/instances/:id", s.putInstance, s.injectFaults)
	s.echo.DELETE("/v1/instances/:id", s.deleteInstance, s.injectFaults)
	s.echo.PUT("/faults", s.putFaults)
	s.echo.GET("/counts", s.getCounts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of calls received so far. A watch counts once, however
// long it waits.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// injectFaults is the middleware that counts a call and applies Faults.Delay and
// Faults.Down to it.
func (s *Server) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f := s.countCall(c.Request().Method)
		time.Sleep(f.Delay)
		if f.Down {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "store is down")
		}
		return next(c)
	}
}

// countCall counts a call and returns the faults to apply to it.
func (s *Server) countCall(method string) Faults {
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

// expectedVersion returns the version that a write expects, where 0 stands for an
// absent object.
func expectedVersion(h http.Header) (int64, error) {
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	return strconv.ParseInt(h.Get("If-Match"), 10, 64)
}

// losesReply reports whether the reply of the present write is to be lost.
func (s *Server) losesReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.faults.LoseReplyRate
}

// watch answers with the objects that changed after the revision since. When there
// are none, it waits for a change for at most waitMs.
func (s *Server) watch(c echo.Context) error {
	prefixes := strings.Split(c.QueryParam("prefix"), ",")
	since, _ := strconv.ParseInt(c.QueryParam("since"), 10, 64)
	waitMS, _ := strconv.ParseInt(c.QueryParam("waitMs"), 10, 64)
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		objects, revision, changed := s.store.changedSince(prefixes, since)
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
