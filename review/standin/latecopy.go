package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// attempt is one attempt of a requester.
type attempt struct {
	id, booking string
	answer      answer
}

// lateCopy sends bookings, which may run once, to services of two servers that get more
// than they can run, so that they turn some away. In spells, one server of each service
// sends second copies of some of its answers, late.
func lateCopy(rec *record, trouble bool) (bool, error) {
	const (
		length     = 80 * time.Second
		services   = 4
		slots      = 2
		queue      = 12
		work       = 60 * time.Millisecond // a service runs about 66 requests a second
		perSecond  = 84.0 * services
		budget     = 4 * time.Second
		garbleFor  = 5 * time.Second
		garbleGap  = time.Second
		garblePart = 0.04 // of the answers of half of the servers
	)
	st, err := startStore()
	if err != nil {
		return false, err
	}
	var servers, garbled []*server
	var routes, backends []any
	for n := range services {
		service := fmt.Sprintf("desk%d", n)
		for i, zone := range []string{"sv-a", "sv-b"} {
			s, err := startServer(st, rec, fmt.Sprintf("i-%s-%d", service, i), service, zone, slots, queue, work)
			if err != nil {
				return false, err
			}
			servers = append(servers, s)
			if i == 0 {
				garbled = append(garbled, s)
			}
		}
		routes = append(routes, map[string]any{
			"name": "r-" + service, "host": "desk.example", "pathPrefix": "/" + service + "/", "kind": "non_idempotent", "timeoutMs": 4000,
			"latencySloMs": 500, "priority": 2, "backend": service, "maxAttempts": 2,
		})
		backends = append(backends, map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 61, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 0.0})
	}
	st.write("config", "main", map[string]any{
		"version": 3, "routes": routes, "backends": backends,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	d, err := startDeployment(st, []string{"sv-a", "sv-b", "sv-c"}, params{contactMS: 4000, configDeadlineMS: 3000, graceS: 6, budgetSlack: 135})
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	rec.note("traffic starts")

	var mu sync.Mutex
	var attempts []attempt
	requesters := make([]*requester, len(d.machines))
	for i, m := range d.machines {
		requesters[i] = &requester{address: m.callers}
	}
	book := func(n int) {
		booking := fmt.Sprintf("booking-%d", n)
		for try := range 2 {
			id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
			rec.add("requester sends %s %s to machine %d", id, booking, (n+try)%len(requesters))
			a := requesters[(n+try)%len(requesters)].send("POST", fmt.Sprintf("/desk%d/2f", n%services), "desk.example", id, nil, booking, budget, try > 0)
			rec.add("requester got %d for %s %s", a.status, id, booking)
			mu.Lock()
			attempts = append(attempts, attempt{id, booking, a})
			mu.Unlock()
			// 429 and 503 promise that the request has not run and never will.
			if a.status != 429 && a.status != 503 {
				return
			}
			time.Sleep(min(a.retryAfter, budget/3))
		}
	}
	if trouble {
		go func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(garbleGap) {
				rec.add("half of the servers begin to send late copies of %v of their answers", garblePart)
				setExtra(garbled, garblePart)
				time.Sleep(garbleFor)
				setExtra(garbled, 0)
				rec.add("no more late copies")
			}
		}()
	}
	var wait sync.WaitGroup
	n := 0
	for end := time.Now().Add(length); time.Now().Before(end); n++ {
		booking := n
		wait.Go(func() { book(booking) })
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
	wait.Wait()
	time.Sleep(time.Second) // what was sent late runs now

	runs := map[string]int{}
	bookings := map[string]int{}
	for _, r := range allRuns(servers) {
		runs[r.id]++
		bookings[r.key]++
	}
	statuses := map[int]int{}
	refusedAndRun, twice, double := 0, 0, 0
	for _, a := range attempts {
		statuses[a.answer.status]++
		switch a.answer.status {
		case 429, 503, 408, 421:
			if runs[a.id] > 0 {
				refusedAndRun++
				rec.note("REFUSED broken: %s was answered %d and has run", a.id, a.answer.status)
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			twice++
			rec.note("TWICE broken: %s has run %d times", id, n)
		}
	}
	for _, n := range bookings {
		if n > 1 {
			double++
		}
	}
	for _, s := range servers {
		rec.note("server %s: %d runs, %d turned away, %d late copies", s.id, len(s.runs), s.sheds, s.extras)
	}
	rec.note("%d attempts, answers by status %v; %d refused though they ran, %d ran twice, %d bookings made twice", len(attempts), statuses, refusedAndRun, twice, double)
	return refusedAndRun+twice > 0, nil
}

// setExtra sets the share of the answers of which the servers send late copies.
func setExtra(servers []*server, share float64) {
	for _, s := range servers {
		s.setExtra(share)
	}
}
