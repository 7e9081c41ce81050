package platform

import (
	"net/http"
	"sort"
	"time"

	"github.com/labstack/echo/v4"
)

const maxListHistory = 1000

// SetInstance adds or replaces an entry of the instance list.
func (s *Server) SetInstance(in Instance) {
	s.changeList(func() { s.instances[in.ID] = in })
}

// RemoveInstance drops an entry of the instance list.
func (s *Server) RemoveInstance(id string) {
	s.changeList(func() { delete(s.instances, id) })
}

func (s *Server) changeList(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	list := make([]Instance, 0, len(s.instances))
	for _, in := range s.instances {
		list = append(list, in)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s.history = append(s.history, listState{time.Now(), list})
	if len(s.history) > maxListHistory {
		s.history = s.history[1:]
	}
}

// laggingList returns the list as it was ListLag ago.
func (s *Server) laggingList() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	horizon := time.Now().Add(-s.faults.ListLag)
	list := []Instance{}
	for _, h := range s.history {
		if h.at.After(horizon) {
			break
		}
		list = h.instances
	}
	return list
}

func (s *Server) listInstances(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string][]Instance{"instances": s.laggingList()})
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
