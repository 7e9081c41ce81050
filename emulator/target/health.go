package target

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// maxHistory bounds the states kept for a lagging health endpoint.
const maxHistory = 1000

// note records the present state for the health endpoint.
func (s *Server) note() {
	s.history = append(s.history, s.state())
	s.historyAt = append(s.historyAt, time.Now())
	if len(s.history) > maxHistory {
		s.history, s.historyAt = s.history[1:], s.historyAt[1:]
	}
}

// health returns what GET /v1/health claims, which may be old or false.
func (s *Server) health() Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.HealthState != "" {
		return Health{State: s.faults.HealthState, Capacity: s.faults.HealthCapacity}
	}
	horizon := time.Now().Add(-millis(s.faults.HealthLagMS))
	out := s.history[0]
	for i, at := range s.historyAt {
		if at.After(horizon) {
			break
		}
		out = s.history[i]
	}
	return out
}

func (s *Server) serveHealth(c echo.Context) error {
	if ctx := c.Request().Context(); connOf(ctx).silent.Load() {
		<-ctx.Done()
		return nil
	}
	return c.JSON(http.StatusOK, s.health())
}
