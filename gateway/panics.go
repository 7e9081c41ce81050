package gateway

import (
	"net/http"
	"runtime/debug"

	"knapweedstall/core/fanout"
	"knapweedstall/platform"
)

// serveRecovered handles one request of a caller. A panic fails only this request: the
// caller gets status 502, which does not state whether the request has run. The panic of
// endUnanswered is passed on to the http.Server, which closes the connection.
func (g *Gateway) serveRecovered(w http.ResponseWriter, r *http.Request) {
	defer func() {
		switch cause := recover(); cause {
		case nil:
		case http.ErrAbortHandler:
			panic(cause)
		default:
			g.logPanic(platform.RequestID(r.Header), cause)
			w.WriteHeader(http.StatusBadGateway)
		}
	}()
	g.serveCaller(w, r)
}

// failOnPanic ends the request as failed if the calling function panics. It must be
// deferred.
func (q *request) failOnPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	q.g.logPanic(q.out.ID, cause)
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	if q.state == fanout.Open {
		q.state = fanout.Failure
	}
	select {
	case q.wake <- struct{}{}:
	default: // wait has a signal already
	}
}

// logPanic logs a panic that failed the request with the id, and counts it.
func (g *Gateway) logPanic(id string, cause any) {
	g.metrics.panics.Inc(1)
	g.log.Error("panic failed a request", "id", id, "cause", cause, "stack", string(debug.Stack()))
}
