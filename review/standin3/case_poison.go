package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case poison.
const (
	poisonServers   = 14
	poisonCrashTime = 150 * time.Millisecond  // from when a server begins to run the request to its crash
	poisonBackTime  = 2 * time.Second         // from a crash until the server is back
	poisonObjective = 500 * time.Millisecond  // latencySloMs of the route
	poisonLeave     = 100 * time.Millisecond  // the requester leaves after that
	poisonLeaveTime = 5500 * time.Millisecond // for_s of the disruption
	poisonPeriod    = 200 * time.Millisecond  // from one attempt to the next
	poisonRunTime   = 12 * time.Second
	poisonCallers   = 5               // requesters of others
	contactTime     = 4 * time.Second // contactMs
	mostRetries     = 3               // retries that may reach servers later than contactTime after the third crash
)

// poisonCase sends a request that crashes each server that begins to run it, again and again.
// At first its requester leaves before the answer.
func poisonCase(w *world) bool {
	w.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "r-lookup", "host": "desk.example", "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutMs": 5000,
				"latencySloMs": poisonObjective.Milliseconds(), "priority": 1, "backend": "lookup", "maxAttempts": 2,
			},
			map[string]any{
				"name": "r-orders", "host": "desk.example", "pathPrefix": "/orders/", "kind": "non_idempotent", "timeoutMs": 5000,
				"latencySloMs": poisonObjective.Milliseconds(), "priority": 1, "backend": "lookup", "maxAttempts": 1,
			},
		},
		"backends": []any{map[string]any{"name": "lookup", "healthPath": "/healthz", "maxConns": 60, "coldS": 0, "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	p := &poisonWatch{}
	for n := range poisonServers {
		p.startServer(w, n, 0)
	}
	w.startInstances("east", "west")
	time.Sleep(time.Second)
	started := time.Now()
	orders, lookups := &results{}, &results{}
	for k := range poisonCallers {
		c := newRequester(w.rec, w.instances[k%len(w.instances)].callers, "desk.example")
		go func() {
			for n := 0; time.Since(started) < poisonRunTime; n++ {
				orders.start(func() result {
					return c.send(http.MethodPost, fmt.Sprintf("/orders/%d-%d", k, n), "order", 5*time.Second)
				})
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	for n := 0; time.Since(started) < poisonRunTime; n++ {
		c := newRequester(w.rec, w.instances[n%len(w.instances)].callers, "desk.example")
		leaves := w.trouble && time.Since(started) < poisonLeaveTime
		lookups.start(func() result {
			if leaves {
				return c.sendAndLeave(http.MethodGet, "/lookup/poison", 5*time.Second, poisonLeave)
			}
			return c.send(http.MethodGet, "/lookup/poison", "", 5*time.Second)
		})
		time.Sleep(poisonPeriod)
	}
	time.Sleep(time.Second)
	lookups.wait.Wait()
	orders.wait.Wait()
	retries := p.retries(lookups)
	w.say("%d crashes; %d retries of the request reached servers later than %d ms after the third crash, %d allowed",
		len(p.crashes), retries, contactTime.Milliseconds(), mostRetries)
	w.say("answers to the orders of others by status: %v", orders.byStatus())
	w.say("answers to the request by status: %v", lookups.byStatus())
	return retries <= mostRetries
}

// poisonWatch notes which servers the request has reached and crashed.
type poisonWatch struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []string // ids of the requests that have reached a server, with repetitions
}

// startServer starts the server n, with a new id and at a new address after each crash.
func (p *poisonWatch) startServer(w *world, n, boot int) {
	zone := []string{"east", "west"}[n%2]
	s, err := newServer(w.store, w.rec, fmt.Sprintf("i-%d-%d", n, boot), "lookup", zone, "", 40*time.Millisecond)
	if err != nil {
		w.rec.add("server %d can't start again: %v", n, err)
		return
	}
	s.onArrival = func(s *server, r *http.Request, _ time.Time) {
		if strings.HasSuffix(r.URL.Path, "/poison") {
			p.mu.Lock()
			p.arrivals = append(p.arrivals, r.Header.Get("X-Request-Id"))
			p.mu.Unlock()
		}
	}
	s.onRun = func(s *server, r *http.Request) bool {
		if !strings.HasSuffix(r.URL.Path, "/poison") {
			return false
		}
		time.AfterFunc(poisonCrashTime, func() {
			if s.crash() {
				p.mu.Lock()
				p.crashes = append(p.crashes, time.Now())
				p.mu.Unlock()
				w.rec.add("server %s crashes: it was running the request %s", s.id, r.Header.Get("X-Request-Id"))
				time.AfterFunc(poisonBackTime, func() {
					w.store.remove("servers", s.id)
					p.startServer(w, n, boot+1)
				})
			}
		})
		return true
	}
	s.register(heartbeatPeriod * time.Duration(n) / poisonServers)
}

// retries returns the number of requests that reached servers and were sent later than
// contactTime after the third crash.
func (p *poisonWatch) retries(sends *results) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 3 {
		return 0
	}
	reached := map[string]bool{}
	for _, id := range p.arrivals {
		reached[id] = true
	}
	n := 0
	for _, r := range sends.all {
		if reached[r.id] && r.sent.Sub(p.crashes[2]) > contactTime {
			n++
		}
	}
	return n
}
