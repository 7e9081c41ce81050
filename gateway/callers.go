package gateway

import (
	"math"
	"net/http"

	"github.com/pkg/errors"

	"knapweedstall/core/clock"
	"knapweedstall/core/overload"
	"knapweedstall/core/poison"
	"knapweedstall/core/routing"
	"knapweedstall/core/workspace"
	"knapweedstall/io/body"
	"knapweedstall/io/ingress"
	"knapweedstall/platform"
)

// Limits of callers' requests.
const (
	// maxOpenRequests bounds the requests in progress, and so the memory that they
	// need.
	maxOpenRequests = 1024
	// staleConfigAge is the age of the copies beyond which an unknown route may
	// belong to a configuration that this instance has not received.
	staleConfigAge = 3 * clock.Second
)

// Retry-After times of refused requests.
const (
	retryStarting = 300 * clock.Millisecond // the instance is starting, and the store answers
	retryOverload = 200 * clock.Millisecond
	retryMin      = 20 * clock.Millisecond
	retryMax      = clock.Second
)

// startTime is the time within which an instance has its copies if the store answers.
const startTime = 500 * clock.Millisecond

// retryNotReady returns when a caller should come back to an instance without a
// configuration. After startTime, the store is away, and since a caller comes back only
// a few times, it should not do so too soon.
func (g *Gateway) retryNotReady(now clock.Time) clock.Duration {
	if now.Sub(g.created) < startTime {
		return retryStarting
	}
	return retryMax
}

// callerRequest is a request of a caller that may be run.
type callerRequest struct {
	arrived  clock.Time
	table    *routing.Table
	keys     *workspace.Directory
	route    *routing.Route
	owner    *routing.Workspace // nil for none
	credit   *heldCredit
	admitted *admission // nil if there is no admission control
}

// serveCaller handles one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := g.clock.Now()
	if g.stopping() {
		w.Header().Set("Connection", "close")
	}
	g.mu.Lock()
	table, keys, open := g.table, g.keys, g.openCount
	g.mu.Unlock()
	if table == nil {
		g.refuse(w, r, "no configuration", g.retryNotReady(arrived))
		return
	}
	if !g.mayAct() {
		g.refuse(w, r, "the configuration may be out of date", retryOverload)
		return
	}
	route := table.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		g.serveNoRoute(w, r)
		return
	}
	owner, ok := g.authorize(w, r, route, keys)
	if !ok {
		return
	}
	credit, ok := g.takeCredit(w, r, owner)
	if !ok {
		return
	}
	defer credit.giveBack()
	if open >= maxOpenRequests {
		g.refuse(w, r, "too many requests in progress", retryOverload)
		return
	}
	admitted, ok := g.admit(w, table, route, owner)
	if !ok {
		return
	}
	defer admitted.end(overload.Other) // has no effect if the request got an answer
	g.runForCaller(w, r, &callerRequest{arrived, table, keys, route, owner, credit, admitted})
}

// runForCaller reads the body of a request, runs the request and answers it.
func (g *Gateway) runForCaller(w http.ResponseWriter, r *http.Request, c *callerRequest) {
	data, release, ok := g.readBody(w, r, max(c.table.Config.Limits.BodyBytes, ingress.BodyLimit(r.Context())))
	defer release()
	if !ok || !c.credit.renew(w, r) {
		return
	}
	fingerprint := poison.NewFingerprint(workspaceID(c.owner), r.Method, r.Host, r.RequestURI, data)
	refused, trial := g.quarantined(r.Context(), fingerprint)
	if refused {
		g.refuse(w, r, "the request crashes targets", retryMax)
		return
	}
	if g.comesTooLate(c.route, g.clock.Now()) {
		w.Header().Set("Connection", "close")
		g.refuse(w, r, "the instance stops", retryMin)
		return
	}
	q := g.newRequest(r, c.route, forwardedHeader(r, c.keys, c.owner), data, c.arrived)
	q.evidence.requestID, q.evidence.fingerprint = q.out.ID, fingerprint
	q.version, q.workspace, q.admitted = c.table.Config.Version, c.owner, c.admitted
	q.controlled = c.admitted != nil
	if trial {
		q.params.MaxAttempts = 1
	}
	c.credit.spend() // until it is known that no target has got the request
	if !trial && q.delegate(w, r, c.table) {
		return
	}
	defer q.finish()
	q.start(c.table)
	q.wait(r.Context())
	c.credit.keepIfUnsent(q)
	if !trial && q.delegateInstead(w, r, c.table) {
		c.credit.spend()
	} else {
		q.answer(w)
	}
}

// serveNoRoute answers a request that matches no route.
func (g *Gateway) serveNoRoute(w http.ResponseWriter, r *http.Request) {
	if g.views.ageOf(platform.KindConfig) > staleConfigAge {
		g.refuse(w, r, "unknown route, and the configuration may be out of date", retryOverload)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

// callerBodyLimits bound the bodies of callers' requests in progress. The configuration
// bounds each of them.
var callerBodyLimits = body.Limits{Most: math.MaxInt32, Small: 16 << 10, Total: 24 << 20}

// readBody reads the whole body. If that fails, it answers the request and returns false.
// release must be called when the body is no longer used.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit int64) (data []byte, release func(), ok bool) {
	if r.ContentLength == 0 {
		return nil, func() {}, true
	}
	data, release, err := g.bodies.ReadHeld(http.MaxBytesReader(w, r.Body, limit), min(r.ContentLength, limit))
	var tooLarge *http.MaxBytesError
	var tooMany *body.TooLargeError
	switch {
	case err == nil:
		return data, release, true
	case errors.As(err, &tooMany):
		w.Header().Set("Connection", "close")
		g.refuse(w, r, "too many bytes in progress", retryOverload)
	case errors.As(err, &tooLarge):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default: // the caller disconnected, or the body is malformed
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
	}
	return nil, release, false
}
