package gateway

import (
	"net/http"

	"knapweedstall/core/clock"
	"knapweedstall/core/routing"
	"knapweedstall/core/topology"
	"knapweedstall/core/workspace"
	"knapweedstall/platform"
)

// authorize returns the workspace that a caller's key belongs to, nil for none, and
// whether the request may go on. If it may not, authorize answers it.
func (g *Gateway) authorize(w http.ResponseWriter, r *http.Request, route *routing.Route, keys *workspace.Directory) (owner *routing.Workspace, ok bool) {
	if keys.Empty() {
		return nil, true
	}
	key := platform.Key(r.Header)
	if key != "" {
		owner = keys.Find(key)
	}
	switch {
	case owner != nil || route.Public:
		return owner, true
	case key != "" && g.views.ageOf(platform.KindConfig) > staleConfigAge:
		g.refuse(w, r, "unknown key, and the configuration may be out of date", retryOverload)
	default:
		g.recordUnauthorized(r, route, key != "")
		platform.SetChallenge(w.Header())
		w.WriteHeader(http.StatusUnauthorized)
	}
	return nil, false
}

// workspaceID returns the id of the workspace of a caller, "" for none.
func workspaceID(owner *routing.Workspace) topology.WorkspaceID {
	if owner == nil {
		return ""
	}
	return owner.ID
}

// forwardedHeader returns the headers of a caller's request that targets get.
func forwardedHeader(r *http.Request, keys *workspace.Directory, owner *routing.Workspace) http.Header {
	switch {
	case keys.Empty():
		return r.Header
	case owner == nil:
		return platform.WithWorkspace(r.Header, "")
	}
	return platform.WithWorkspace(r.Header, owner.ID)
}

// newDirectory returns the Directory of a configuration, from which it removes the keys,
// so that no dump of the process's own types shows them.
func (g *Gateway) newDirectory(c *routing.Config) *workspace.Directory {
	keys := workspace.NewDirectory(c.Workspaces)
	for i := range c.Workspaces {
		c.Workspaces[i].Keys = nil
	}
	if n := keys.Ambiguous(); n > 0 {
		g.log.Warn("names or keys of workspaces that are empty or stated twice ignored", "version", c.Version, "count", n)
	}
	return keys
}

// recordUnauthorized counts a request without a valid key. It logs one in
// unauthorizedLogPeriod, since callers without a key may send any number of requests.
func (g *Gateway) recordUnauthorized(r *http.Request, route *routing.Route, keyStated bool) {
	g.metrics.unauthorized.Inc(1)
	if more, ok := g.unauthorizedLines.admit(g.clock.Now()); ok {
		g.log.Info("request", "id", platform.RequestID(r.Header), "outcome", "unauthorized", "route", route.Name,
			"keyStated", keyStated, "viewAgeMs", int64(g.views.age()), "moreBefore", more)
	}
}

// unauthorizedLogPeriod is the time between two log lines about requests without a valid
// key. It leaves most of the 200 lines a second that a process may write to other lines.
const unauthorizedLogPeriod = 100 * clock.Millisecond

// logFields returns the fields of a log line about a request that name its workspace.
func (q *request) logFields() []any {
	if q.workspace == nil {
		return nil
	}
	return []any{"workspace", q.workspace.ID}
}
