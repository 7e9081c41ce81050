package platform

import (
	"net/http"
	"sort"
	"time"

	"github.com/labstack/echo/v4"
)

// maxListHistory bounds the former versions of the instance list that are kept for
// Faults.ListLag.
const maxListHistory = 1000

// SetInstance adds or replaces an entry of the instance list.
func (s *Server) SetInstance(in Instance) {
	s.updateInstances(func() { s.instances[in.ID] = in })
}

// RemoveInstance removes an entry from the instance list.
func (s *Server) RemoveInstance(id string) {
	s.updateInstances(func() { delete(s.instances, id) })
}

// updateInstances applies a change and records the new list.
func (s *Server) updateInstances(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	list := make([]Instance, 0, len(s.instances))
	for _, in := range s.instances {
		list = append(list, in)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s.listHistory = append(s.listHistory, listVersion{time.Now(), list})
	if len(s.listHistory) > maxListHistory {
		s.listHistory = s.listHistory[1:]
	}
}

// laggedInstances returns the instance list as it was Faults.ListLag ago, or an
// empty list when it had not changed by then.
func (s *Server) laggedInstances() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-s.faults.ListLag)
	list := []Instance{}
	for _, h := range s.listHistory {
		if h.at.After(asOf) {
			break
		}
		list = h.instances
	}
	return list
}

func (s *Server) listInstances(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string][]Instance{"instances": s.laggedInstances()})
}

func (s *Server) putInstance(c echo.Context) error {
	var in Instance
	if err := c.Bind(&in); err != nil {
		return err
	}
	in.ID = c.Param("id")
	s.SetInstance(in)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) deleteInstance(c echo.Context) error {
	s.RemoveInstance(c.Param("id"))
	return c.NoContent(http.StatusNoContent)
}
