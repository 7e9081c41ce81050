package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// routeRequest is a request on a route.
type routeRequest struct {
	route  string
	sent   time.Time
	status int
}

// serverCrashes adds a route on which all callers ask for the same path, and lets single
// servers of its service crash, one after the other, for some seconds each.
func serverCrashes(rec *record, trouble bool) (bool, error) {
	const (
		addedAt   = 5 * time.Second
		downFor   = 4500 * time.Millisecond
		steadyAt  = 45 * time.Second
		length    = 75 * time.Second
		budget    = 8 * time.Second
		callers   = 30
		firstRate = 30.0 // requests a second on the first route
		laterRate = 90.0 // and on the one that is added
	)
	crashAt := []time.Duration{12 * time.Second, 22 * time.Second, 32 * time.Second}
	st, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"sv-a", "sv-b", "sv-c"}
	var servers []*server
	for i := range 5 {
		s, err := startServer(st, rec, fmt.Sprintf("i-portal-%d", i), "portal", zones[i%3], 6, 24, 150*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	route := func(name, prefix string) any {
		return map[string]any{
			"name": name, "host": "portal.example", "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": 8000,
			"latencySloMs": 500, "priority": 2, "backend": "portal", "maxAttempts": 2,
		}
	}
	writeConfig := func(version int, routes ...any) {
		st.write("config", "main", map[string]any{
			"version": version, "routes": routes,
			"backends": []any{map[string]any{"name": "portal", "healthPath": "/healthz", "maxConns": 257, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 0.0}},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		})
	}
	writeConfig(3, route("r-member", "/member/"))
	d, err := startDeployment(st, zones, params{contactMS: 4000, configDeadlineMS: 3000, graceS: 6, budgetSlack: 135})
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	rec.note("traffic starts")

	var mu sync.Mutex
	var requests []routeRequest
	requesters := make([]*requester, callers)
	for i := range requesters {
		requesters[i] = &requester{address: d.machines[i%len(d.machines)].callers}
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	send := func(name string, n int, path string) {
		id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
		rec.add("caller %d sends %s %s", n%callers, id, path)
		r := routeRequest{route: name, sent: time.Now()}
		a := requesters[n%callers].send("GET", path, "portal.example", id, map[string]string{"X-Caller": fmt.Sprintf("caller-%d", n%callers)}, "", budget, false)
		rec.add("caller %d got %d for %s", n%callers, a.status, id)
		r.status = a.status
		mu.Lock()
		defer mu.Unlock()
		requests = append(requests, r)
	}
	load := func(name string, perSecond float64, path func() string) {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			wait.Go(func() { send(name, n, path()) })
		}
	}
	wait.Go(func() {
		load("first", firstRate, func() string { return fmt.Sprintf("/member/%06x", rand.IntN(1<<24)) })
	})
	time.Sleep(time.Until(start.Add(addedAt)))
	writeConfig(4, route("r-member", "/member/"), route("r-today", "/today/"))
	rec.note("version 4 adds a route")
	time.Sleep(4 * time.Second) // configDeadlineMs and a second
	wait.Go(func() { load("later", laterRate, func() string { return "/today/2f" }) })
	if trouble {
		for i, at := range crashAt {
			time.Sleep(time.Until(start.Add(at)))
			rec.note("server %s crashes and is back after %v", servers[i].id, downFor)
			servers[i].crash(downFor)
		}
	}
	time.Sleep(time.Until(start.Add(length)))
	close(stop)
	wait.Wait()

	share := func(name string, from, to time.Duration) float64 {
		sent, served := 0, 0
		statuses := map[int]int{}
		for _, r := range requests {
			if r.route != name || r.sent.Before(start.Add(from)) || r.sent.After(start.Add(to)) {
				continue
			}
			sent++
			statuses[r.status]++
			if r.status == 200 {
				served++
			}
		}
		share := float64(served) / float64(max(sent, 1))
		rec.note("from %v to %v, %s route: %d requests, %.3f served, answers by status %v", from, to, name, sent, share, statuses)
		return share
	}
	share("first", addedAt, crashAt[0])
	share("later", addedAt, crashAt[0])
	first, later := share("first", steadyAt, length), share("later", steadyAt, length)
	rec.note("objects that name crashes: %d", len(st.names("knapweedstall-crashes")))
	return later < first/4, nil
}
