package main

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// goDark lets the machine's address for other machines accept connections and stay silent,
// as that of a machine without power: connections to it hang.
func (m *machine) goDark() error {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
	l, err := net.Listen("tcp", m.peers)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	return nil
}

// drainAndEnd takes a server away as a planned shutdown does: it reports that it is draining,
// serves on for drainMs and a little longer, and then ends.
func (s *server) drainAndEnd(drain time.Duration) {
	s.store.write("servers", s.id, map[string]any{
		"backend": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "concurrency": cap(s.slots),
		"state": "draining", "coldMs": 0, "sequence": 2, "born": s.born,
	})
	time.Sleep(drain + time.Second)
	s.store.mu.Lock()
	s.store.remove("servers", s.id)
	s.store.mu.Unlock()
	s.end()
}

// survivors loses all machines but one in each zone, which serve on. Later the store is
// away for a few seconds. Then the operator moves a route to another service, whose servers
// stay, while the old ones leave.
func survivors(rec *record, trouble bool) (bool, error) {
	const (
		budget    = 4 * time.Second
		perSecond = 40.0
		lossAt    = 3 * time.Second
		awayAt    = 23 * time.Second
		awayFor   = 3 * time.Second
		changeAt  = 32 * time.Second // the core is stable again: contactMs is 5 s
		dueAfter  = 5 * time.Second  // configDeadlineMs
		drain     = 5 * time.Second  // drainMs
		length    = 85 * time.Second
	)
	st, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"ernakulam", "calicut", "tvm-east"}
	var servers []*server
	for i, service := range []string{"fw-ledger", "fw-ledger", "fw-ledger", "subs-office", "subs-office", "subs-office"} {
		s, err := startServer(st, rec, fmt.Sprintf("i-%s-%d", service, i%3), service, zones[i%3], 6, 24, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	st.write("config", "main", movedRoute(3, "fw-ledger"))
	var list []string
	for i, n := range []int{24, 20, 22} { // as on the sheet
		for range n {
			list = append(list, zones[i])
		}
	}
	d, err := startDeployment(st, list, params{contactMS: 5000, configDeadlineMS: 5000, graceS: 6, budgetSlack: 172})
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.awaitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var left []*machine
	for _, zone := range zones {
		all := byOrder(d.machines, zone)
		survivor := all[len(all)-1]
		if os.Getenv("SURVIVORS") == "random" {
			survivor = all[rand.IntN(len(all))]
		}
		rec.note("%s is at place %d of %d in its zone", survivor.name, slices.Index(all, survivor)+1, len(all))
		left = append(left, survivor)
	}
	start := time.Now()
	type attempt struct {
		machine *machine
		sent    time.Time
		status  int
	}
	var mu sync.Mutex
	attempts := map[string]*attempt{}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			wait.Go(func() {
				m := left[rand.IntN(len(left))]
				id := fmt.Sprintf("%08x%08x", n, rand.Uint32())
				rec.add("requester sends %s to %s", id, m.name)
				a := &attempt{machine: m, sent: time.Now()}
				q := &requester{address: m.callers}
				defer q.close()
				got := q.send("POST", "/fw/2f", "fw.example", id, nil, "order-"+id, budget, true)
				rec.add("requester got %d for %s", got.status, id)
				mu.Lock()
				a.status = got.status
				attempts[id] = a
				mu.Unlock()
			})
		}
	})
	time.Sleep(time.Until(start.Add(lossAt)))
	if trouble && os.Getenv("LOSS") != "0" { // LOSS=0 leaves the outage of the store alone
		rec.note("%d of %d machines lose power for good; left: %s, %s, %s", len(d.machines)-len(left), len(d.machines), left[0].name, left[1].name, left[2].name)
		for _, m := range d.machines {
			if !slices.Contains(left, m) {
				m.kill()
			}
		}
		for _, m := range d.machines {
			if !slices.Contains(left, m) {
				if err := m.goDark(); err != nil {
					return false, err
				}
			}
		}
	}
	time.Sleep(time.Until(start.Add(awayAt)))
	if trouble && os.Getenv("AWAY") != "0" { // AWAY=0 leaves the loss of the machines alone
		rec.note("the store is away for %v", awayFor)
		st.setAway(true)
	}
	time.Sleep(awayFor)
	st.setAway(false)
	time.Sleep(time.Until(start.Add(changeAt)))
	st.write("config", "main", movedRoute(7, "subs-office"))
	acked := time.Now()
	rec.note("version 7 is acknowledged: the route leads to subs-office, no longer to fw-ledger")
	time.Sleep(dueAfter)
	rec.note("the servers of fw-ledger drain")
	for _, s := range servers[:3] {
		go s.drainAndEnd(drain)
	}
	time.Sleep(time.Until(start.Add(length)))
	close(stop)
	wait.Wait()

	total := 0
	for _, run := range allRuns(servers) {
		a := attempts[run.id]
		if a != nil && a.sent.After(acked.Add(dueAfter)) && servicesOf(servers)[run.server] == "fw-ledger" {
			total++
		}
	}
	type span struct{ sent, served int }
	spans := map[string]*span{}
	statuses := map[int]int{}
	for _, a := range attempts {
		name := ""
		switch {
		case a.sent.Before(start.Add(lossAt)):
			name = "1: before the loss"
		case a.sent.After(start.Add(lossAt+5*time.Second)) && a.sent.Before(start.Add(awayAt)):
			name = "2: 5 s after the loss, before the store is away"
		case a.sent.After(acked.Add(dueAfter + drain + 2*time.Second)):
			name = "3: after the servers of fw-ledger have left"
			statuses[a.status]++
		default:
			continue
		}
		if spans[name] == nil {
			spans[name] = &span{}
		}
		spans[name].sent++
		if a.status == 200 {
			spans[name].served++
		}
	}
	var names []string
	for name := range spans {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	for _, name := range names {
		rec.note("%s: %d requests, %d served", name, spans[name].sent, spans[name].served)
	}
	rec.note("answers by status at the end: %v", statuses)
	rec.note("%d requests sent later than %v after the ack were run by fw-ledger", total, dueAfter)
	return total > 0, nil
}

// movedRoute is a version of the desired state in which the route leads to a service.
func movedRoute(version int, service string) map[string]any {
	backend := func(name string) any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 460, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 0.0}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-fw", "host": "fw.example", "pathPrefix": "/fw/", "kind": "non_idempotent", "timeoutMs": 2000,
			"latencySloMs": 500, "priority": 2, "backend": service, "maxAttempts": 2,
		}},
		"backends": []any{backend("fw-ledger"), backend("subs-office")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
