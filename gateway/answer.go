package gateway

import (
	"net/http"
	"strconv"

	"knapweedstall/core/clock"
	"knapweedstall/core/fanout"
	"knapweedstall/core/topk"
	"knapweedstall/io/upstream"
	"knapweedstall/platform"
)

// answer writes the answer to the caller according to the final state.
func (q *request) answer(w http.ResponseWriter) {
	q.g.record(q)
	q.endAdmission(q.state, q.lacksCapacity())
	switch q.state {
	case fanout.Complete, fanout.Partial:
		if q.route.IsSearch() {
			q.answerSearch(w)
		} else {
			forwardAnswer(w, q.answers[0])
		}
	case fanout.Failure:
		q.answerFailure(w)
	case fanout.TimedOut:
		w.WriteHeader(http.StatusGatewayTimeout)
	case fanout.Refused, fanout.Expired:
		if q.params.AlreadySent { // another instance may have run it since
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		q.refuse(w)
	case fanout.Abandoned, fanout.Open:
		endUnanswered()
	}
}

// endUnanswered ends the handler of a request whose caller has disconnected, or has closed
// its sending side, which looks the same. The connection is closed without an answer: a
// handler that returns without one sends a success with an empty body.
func endUnanswered() { panic(http.ErrAbortHandler) }

// answerSearch writes the merged answer of a search.
func (q *request) answerSearch(w http.ResponseWriter) {
	records, digests := q.merge()
	writeSearch(w, records, digests, len(q.services)-len(digests))
}

// merge returns the greatest records of all shards' answers, and the digests of
// these answers.
func (q *request) merge() (records []byte, digests []string) {
	collector := topk.New(q.route.TopK)
	digests = make([]string, 0, len(q.answers))
	for _, a := range q.answers {
		if a.Digest != "" {
			collector.Add(a.Body)
			digests = append(digests, a.Digest)
		}
	}
	return collector.Bytes(), digests
}

// writeSearch writes the answer of a search with its coverage.
func writeSearch(w http.ResponseWriter, records []byte, digests []string, missing int) {
	platform.SetCoverage(w.Header(), digests, missing)
	writeResponse(w, http.StatusOK, records)
}

// answerFailure forwards a failure that a target has reported. A status that
// callers take as proof that the request did not run is not forwarded, because the
// target did not state that.
func (q *request) answerFailure(w http.ResponseWriter) {
	if !platform.ValidStatus(q.failure.Status) { // there is none, or an older build has passed on no answer
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	switch q.failure.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.WriteHeader(http.StatusBadGateway)
	default:
		if q.route.IsSearch() {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		forwardAnswer(w, q.failure)
	}
}

// refuse answers that the request has not run, and when to retry.
func (q *request) refuse(w http.ResponseWriter) {
	q.g.mu.Lock()
	wait := q.retryAfter(q.g.clock.Now())
	q.g.mu.Unlock()
	platform.SetRetryAfter(w.Header(), wait)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// retryAfter returns after which time a refused caller should retry. The gateway's
// mu must be held.
func (q *request) retryAfter(now clock.Time) clock.Duration {
	wait := retryOverload
	if q.call != nil {
		if at := q.call.RetryAt(); at != 0 {
			wait = min(max(at.Sub(now), retryMin), retryMax)
		}
	}
	return q.g.spread(wait)
}

// spread returns a random duration from wait to one and a half of it, so that callers
// that were refused together don't come back together. mu must be held.
func (g *Gateway) spread(wait clock.Duration) clock.Duration {
	return wait + clock.Duration(g.random.Int64N(int64(wait)/2+1))
}

// forwardAnswer writes a target's answer to the caller unchanged.
func forwardAnswer(w http.ResponseWriter, a upstream.Answer) {
	h := w.Header()
	h["Content-Type"] = nil // keeps net/http from detecting a type
	platform.CopyReply(h, a.Header)
	writeResponse(w, a.Status, a.Body)
}

// writeResponse writes a response with the body's length and without a detected
// content type.
func writeResponse(w http.ResponseWriter, status int, body []byte) {
	h := w.Header()
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only when the caller has disconnected
}

// refuse answers a request that was not sent to any target, and when to retry: after
// wait or a little later.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, reason string, wait clock.Duration) {
	g.recordRefusal(r, reason)
	g.mu.Lock()
	wait = g.spread(wait)
	g.mu.Unlock()
	platform.SetRetryAfter(w.Header(), wait)
	w.WriteHeader(http.StatusServiceUnavailable)
}
