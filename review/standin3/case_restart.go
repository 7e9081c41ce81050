package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Figures of the case restart.
const (
	restartRate     = 160 // requests a second of all requesters
	restartLoadTime = 16 * time.Second
	storeAwayAt     = 4 * time.Second
	storeAwayTime   = 4500 * time.Millisecond
	serverDownTime  = 2 * time.Second
)

// restartCase crashes a server that starts again under its id while the store is away. It
// counts the requests that the server gets in a second while it is cold.
func restartCase(w *world) bool {
	w.putOrders(1, 16384)
	arrivals := newColdArrivals()
	bound := coldBound()
	start := func(id, zone, address string, phase time.Duration) *server {
		s, err := newServer(w.store, w.rec, id, "orders", zone, address, coldWork)
		check(err)
		s.onArrival = arrivals.watch(w, bound)
		s.register(phase)
		return s
	}
	var servers []*server
	for n := range 7 {
		zone := []string{"west", "east"}[n%2]
		servers = append(servers, start(fmt.Sprintf("i-%s-%d", zone, n+1), zone, "", rand.N(heartbeatPeriod)))
	}
	crashing := servers[1] // of the zone with fewer servers
	w.startInstances("east", "west")
	time.Sleep(time.Second)
	started := time.Now()
	at := func(d time.Duration, f func()) { time.AfterFunc(time.Until(started.Add(d)), f) }
	at(storeAwayAt, func() {
		if !w.trouble {
			return
		}
		w.rec.add("the store answers all calls with 503")
		w.store.setAway(true)
	})
	at(storeAwayAt+storeAwayTime, func() {
		w.rec.add("the store is back")
		w.store.setAway(false)
	})
	at(storeAwayAt+300*time.Millisecond, func() {
		if !w.trouble {
			return
		}
		s := crashing
		w.rec.add("server %s crashes", s.id)
		s.crash()
		time.AfterFunc(serverDownTime, func() {
			again := start(s.id, s.zone, s.address, 0)
			again.becomeCold(coldTime)
			w.rec.add("server %s is back under its id and cold", s.id)
		})
	})
	sends := w.load(restartRate, started, restartLoadTime)
	most := arrivals.mostInSecond(crashing.id, sends)
	w.say("server %s: at most %d requests in a second while it was cold, %d allowed", crashing.id, most, bound)
	w.say("answers by status: %v", sends.byStatus())
	return most <= bound
}

// load sends orders to all instances in turn at a rate until limit after started, and waits
// for their answers.
func (w *world) load(rate int, started time.Time, limit time.Duration) *results {
	var callers []*requester
	for _, in := range w.instances {
		callers = append(callers, newRequester(w.rec, in.callers, "desk.example"))
	}
	sends := &results{}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; time.Since(started) < limit; n++ {
		<-ticker.C
		c := callers[n%len(callers)]
		sends.start(func() result {
			return c.send(http.MethodPost, "/orders/new", "order", 2*time.Second)
		})
	}
	sends.wait.Wait()
	return sends
}

// putOrders writes the desired state with the route of the orders.
func (w *world) putOrders(version, maxHeaderBytes int) {
	w.store.put("config", "main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-orders", "host": "desk.example", "pathPrefix": "/orders/", "kind": "non_idempotent", "timeoutMs": 2000,
			"latencySloMs": 500, "priority": 1, "backend": "orders", "maxAttempts": 1,
		}},
		"backends": []any{map[string]any{"name": "orders", "healthPath": "/healthz", "maxConns": 60, "coldS": coldTime.Seconds(), "coldPerS": coldPerSecond}},
		"limits":   map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
