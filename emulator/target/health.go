package target

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// maxStates bounds the former states that are kept for Faults.HealthLagMS.
const maxStates = 1000

// recordState records the current state for the health endpoint. s.mu must be held.
func (s *Server) recordState() {
	s.states = append(s.states, s.state())
	s.stateTimes = append(s.stateTimes, time.Now())
	if len(s.states) > maxStates {
		s.states, s.stateTimes = s.states[1:], s.stateTimes[1:]
	}
}

// reportedHealth returns the answer of GET /v1/health, which the faults can make
// outdated or false.
func (s *Server) reportedHealth() Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.HealthState != "" {
		return Health{State: s.faults.HealthState, Capacity: s.faults.HealthCapacity}
	}
	asOf := time.Now().Add(-millis(s.faults.HealthLagMS))
	out := s.states[0]
	for i, at := range s.stateTimes {
		if at.After(asOf) {
			break
		}
		out = s.states[i]
	}
	return out
}

func (s *Server) serveHealth(c echo.Context) error {
	if ctx := c.Request().Context(); connOf(ctx).silent.Load() {
		<-ctx.Done()
		return nil
	}
	return c.JSON(http.StatusOK, s.reportedHealth())
}
