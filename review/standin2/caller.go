//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"knapweedstall/platform/platformtest"
)

// kind is a kind of requests.
type kind struct {
	name     string
	path     func(n int) string
	perS     float64
	deadline time.Duration
	retries  int
	key      string // "" for none
}

// tally counts the requests of a kind.
type tally struct{ asked, served atomic.Int64 }

func (t *tally) share() float64 { return float64(t.served.Load()) / float64(max(t.asked.Load(), 1)) }

var lastRequest atomic.Int64

// sent is an attempt of a caller.
type sent struct {
	at       time.Time
	instance *instance
}

func (w *world) noteSent(id string, in *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id] = sent{time.Now(), in}
}

// send sends requests of a kind at its rate until ctx is done, and then waits for the
// answers.
func (w *world) send(ctx context.Context, k kind, t *tally) {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / k.perS))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t.asked.Add(1)
		wait.Go(func() {
			if w.ask(k, n) {
				t.served.Add(1)
			}
		})
	}
}

// ask sends one request, and again after a failure as far as the kind's retries and its
// time allow. It reports whether it was served.
func (w *world) ask(k kind, n int) bool {
	end := time.Now().Add(k.deadline)
	var last *instance
	for range k.retries + 1 {
		left := time.Until(end)
		if last = w.balance(last); last == nil || left <= 0 {
			return false
		}
		status, retryAfter := w.attempt(last, k, n, left)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound:
			return false
		}
		time.Sleep(min(retryAfter, time.Until(end)/3))
	}
	return false
}

// attempt sends a request to an instance on a new connection. The status is 0 if the
// connection broke.
func (w *world) attempt(in *instance, k kind, n int, left time.Duration) (status int, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.callers+k.path(n), nil)
	if err != nil {
		w.rec.log("request failed", "err", err)
		return 0, 0
	}
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1))
	r.Host = host
	r.Header.Set(platformtest.HeaderRequestID, id)
	r.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if k.key != "" {
		r.Header.Set(platformtest.HeaderKey, "Bearer "+k.key)
	}
	w.rec.log("sent", "kind", k.name, "request", id, "path", k.path(n), "instance", in.name)
	w.noteSent(id, in)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		w.rec.log("answered", "kind", k.name, "request", id, "err", err)
		return 0, 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	w.rec.log("answered", "kind", k.name, "request", id, "status", resp.StatusCode, "retryAfter", resp.Header.Get("Retry-After"), "complete", err == nil)
	if err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without the header
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}
