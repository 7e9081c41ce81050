package target

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"knapweedstall/core/topology"
)

// ControlHandler returns a handler through which other processes control the fleet.
// It needs a loopback listener of its own. The query parameters target, service,
// zone and collection select servers; without any, a request applies to all.
//
//	PUT  /faults                        body: Faults, which replace the present ones
//	GET  /faults                        faults by target
//	POST /crash, /stop, /start          same as the methods of Server
//	PUT  /snapshots/{collection}        body: topology.Snapshot, added as the newest
//	DELETE /snapshots/{collection}?id=  retires a snapshot
//	GET  /counts                        Counts, summed over the selected servers
//	GET  /calls?sinceUnixMs=            calls kept by the call logs
func (f *Fleet) ControlHandler() http.Handler {
	e := echo.New()
	e.PUT("/faults", f.putFaults)
	e.GET("/faults", f.getFaults)
	e.POST("/crash", f.forEachSelected(func(s *Server) error { s.Crash(); return nil }))
	e.POST("/stop", f.forEachSelected(func(s *Server) error { s.Stop(); return nil }))
	e.POST("/start", f.forEachSelected((*Server).Start))
	e.PUT("/snapshots/:collection", f.putSnapshot)
	e.DELETE("/snapshots/:collection", f.deleteSnapshot)
	e.GET("/counts", f.getCounts)
	e.GET("/calls", f.getCalls)
	return e
}

// selectedServers returns the servers that the query parameters select.
func (f *Fleet) selectedServers(c echo.Context) ([]*Server, error) {
	servers, err := f.Select(Selector{
		Collection: topology.CollectionID(c.QueryParam("collection")),
		Service:    topology.ServiceID(c.QueryParam("service")),
		Target:     topology.TargetID(c.QueryParam("target")),
		Zone:       topology.ZoneID(c.QueryParam("zone")),
	})
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	return servers, nil
}

// forEachSelected returns a handler that applies an action to all selected servers.
func (f *Fleet) forEachSelected(action func(*Server) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		servers, err := f.selectedServers(c)
		if err != nil {
			return err
		}
		for _, s := range servers {
			if err := action(s); err != nil {
				return echo.NewHTTPError(http.StatusInternalServerError, err.Error())
			}
		}
		return c.NoContent(http.StatusNoContent)
	}
}

func (f *Fleet) putFaults(c echo.Context) error {
	var faults Faults
	if err := (&echo.DefaultBinder{}).BindBody(c, &faults); err != nil {
		return err
	}
	if err := faults.Check(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return f.forEachSelected(func(s *Server) error { return s.SetFaults(faults) })(c)
}

func (f *Fleet) getFaults(c echo.Context) error {
	servers, err := f.selectedServers(c)
	if err != nil {
		return err
	}
	out := map[topology.TargetID]Faults{}
	for _, s := range servers {
		out[s.config.Target.ID] = s.Faults()
	}
	return c.JSON(http.StatusOK, out)
}

func (f *Fleet) putSnapshot(c echo.Context) error {
	var snapshot topology.Snapshot
	if err := (&echo.DefaultBinder{}).BindBody(c, &snapshot); err != nil {
		return err
	}
	if snapshot.ID == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "snapshot has no id")
	}
	id := topology.CollectionID(c.Param("collection"))
	if _, err := f.Select(Selector{Collection: id}); err != nil {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	f.AddSnapshot(id, snapshot)
	return c.NoContent(http.StatusNoContent)
}

func (f *Fleet) deleteSnapshot(c echo.Context) error {
	f.RetireSnapshot(topology.CollectionID(c.Param("collection")), topology.SnapshotID(c.QueryParam("id")))
	return c.NoContent(http.StatusNoContent)
}

func (f *Fleet) getCounts(c echo.Context) error {
	servers, err := f.selectedServers(c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, sumCounts(servers))
}

func (f *Fleet) getCalls(c echo.Context) error {
	servers, err := f.selectedServers(c)
	if err != nil {
		return err
	}
	since := time.Time{}
	if ms, err := strconv.ParseInt(c.QueryParam("sinceUnixMs"), 10, 64); err == nil {
		since = time.UnixMilli(ms)
	}
	out := []Call{}
	for _, s := range servers {
		for _, call := range s.callLog.Calls() {
			if !call.Started.Before(since) {
				out = append(out, call)
			}
		}
	}
	return c.JSON(http.StatusOK, out)
}
