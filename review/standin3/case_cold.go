package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the cases with cold servers.
const (
	coldPerSecond = 4   // coldPerS of the service
	coldOver      = 1.5 // coldOver and coldSlack of the installations
	coldSlack     = 5.0
	coldTime      = 3 * time.Second       // coldS of the service
	coldWork      = 15 * time.Millisecond // of a request
	coldRate      = 160                   // requests a second of all requesters
	coldLoadTime  = 14 * time.Second
	evacuateAt    = 4 * time.Second
	evacuateTime  = 5 * time.Second
	// becameCold is how long before the end of the evacuation the servers become cold.
	becameCold = 100 * time.Millisecond
)

// coldBound returns the most requests that a cold server may get in a second.
func coldBound() int { return int(coldPerSecond*coldOver + coldSlack) }

// coldCase evacuates a zone whose servers become cold shortly before it is taken back. It
// counts the requests that each cold server gets in a second.
func coldCase(w *world) bool {
	w.putOrders(1, 16384)
	arrivals := newColdArrivals()
	bound := coldBound()
	var servers []*server
	for _, zone := range []string{"east", "west"} {
		for n := range 3 {
			s, err := newServer(w.store, w.rec, fmt.Sprintf("i-%s-%d", zone, n+1), "orders", zone, "", coldWork)
			check(err)
			s.onArrival = arrivals.watch(w, bound)
			s.register(rand.N(heartbeatPeriod))
			servers = append(servers, s)
		}
	}
	w.startInstances("east", "west")
	time.Sleep(time.Second)
	started := time.Now()
	at := func(d time.Duration, f func()) { time.AfterFunc(time.Until(started.Add(d)), f) }
	at(evacuateAt, func() {
		w.rec.add("zone west is evacuated")
		w.store.put("evacuations", "west", map[string]any{})
	})
	at(evacuateAt+evacuateTime-becameCold, func() {
		if !w.trouble {
			return
		}
		for _, s := range servers {
			if s.zone == "west" {
				w.rec.add("server %s becomes cold", s.id)
				s.becomeCold(coldTime)
			}
		}
	})
	at(evacuateAt+evacuateTime, func() {
		w.rec.add("the evacuation of zone west is taken back")
		w.store.remove("evacuations", "west")
	})
	sends := w.load(coldRate, started, coldLoadTime)
	held := true
	for _, s := range servers {
		most := arrivals.mostInSecond(s.id, sends)
		w.say("server %s: at most %d requests in a second while it was cold, %d allowed; crashed %t",
			s.id, most, bound, s.crashed)
		held = held && most <= bound
	}
	w.say("answers by status: %v", sends.byStatus())
	return held
}

// coldArrival is a request that a cold server has got.
type coldArrival struct {
	id string
	at time.Time
}

type coldArrivals struct {
	mu       sync.Mutex
	byServer map[string][]coldArrival
}

func newColdArrivals() *coldArrivals { return &coldArrivals{byServer: map[string][]coldArrival{}} }

// watch returns a function that notes the requests that a server gets while it is cold. The
// server crashes at a rate that is twice what the rule allows.
func (a *coldArrivals) watch(w *world, bound int) func(*server, *http.Request, time.Time) {
	return func(s *server, r *http.Request, at time.Time) {
		if a.add(s, r.Header.Get("X-Request-Id"), at) > 2*bound && s.crash() {
			w.rec.add("server %s, which is cold, crashes", s.id)
		}
	}
}

// add counts a request that s has got if s is cold, and returns the number of those in the
// second before.
func (a *coldArrivals) add(s *server, id string, at time.Time) int {
	if !s.cold(at) {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	list := append(a.byServer[s.id], coldArrival{id, at})
	a.byServer[s.id] = list
	n := 0
	for _, one := range list {
		if at.Sub(one.at) < time.Second {
			n++
		}
	}
	return n
}

// mostInSecond returns the most requests that were sent and arrived at a cold server within
// one second.
func (a *coldArrivals) mostInSecond(server string, sends *results) int {
	sent := map[string]time.Time{}
	for _, r := range sends.all {
		sent[r.id] = r.sent
	}
	most := 0
	for _, first := range a.byServer[server] {
		from := sent[first.id]
		n := 0
		for _, one := range a.byServer[server] {
			if !sent[one.id].Before(from) && one.at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
