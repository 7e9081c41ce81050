package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// maxFDs is the number of descriptors of a machine on the sheet.
const maxFDs = 2870

// balancer is a stand-in for the platform's load balancer: a machine that misses two
// readiness checks gets no new connections until it answers 200 again. If fewer than half
// of the machines are in rotation, all are used.
type balancer struct {
	mu       sync.Mutex
	machines []*machine
	misses   map[*machine]int
}

func newBalancer(machines []*machine) *balancer {
	b := &balancer{machines: machines, misses: map[*machine]int{}}
	go func() {
		client := http.Client{Timeout: 900 * time.Millisecond}
		for ; ; time.Sleep(time.Second) {
			b.mu.Lock()
			list := append([]*machine{}, b.machines...)
			b.mu.Unlock()
			for _, m := range list {
				go b.check(&client, m)
			}
		}
	}()
	return b
}

func (b *balancer) check(client *http.Client, m *machine) {
	resp, err := client.Get("http://" + m.readiness + "/v1/readyz")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.misses[m] = 0
	} else {
		b.misses[m]++
	}
}

// pick returns the machine that gets a new connection.
func (b *balancer) pick() *machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*machine
	for _, m := range b.machines {
		if b.misses[m] < 2 {
			in = append(in, m)
		}
	}
	if 2*len(in) < len(b.machines) && len(in) == 0 {
		in = b.machines
	}
	return in[rand.IntN(len(in))]
}

// inRotation returns whether a machine gets new connections.
func (b *balancer) inRotation(m *machine) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses[m] < 2
}

// replace replaces machines that are lost by others.
func (b *balancer) replace(machines []*machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machines = machines
}

// userAttempt is a request of a user.
type userAttempt struct {
	id      string
	machine string
	fresh   bool // on a new connection
	sent    time.Time
	took    time.Duration
	status  int
}

// lostMachines has many users with a kept connection each, of whom some leave and others
// come. Two of three machines are lost for good, so that all users connect to the third,
// which has descriptors for fewer. Some seconds later, two other machines are added.
func lostMachines(rec *record, trouble bool) (bool, error) {
	const (
		users      = 2940
		thinkTime  = 11700 * time.Millisecond // less than four fifths of the idle time-out of 15 s
		perConn    = 4                        // requests of a user on one connection
		retryAfter = 300 * time.Millisecond
		timeout    = 2 * time.Second // of the route
		budget     = 4 * time.Second
		lossAt     = 15 * time.Second
		addedAt    = 31 * time.Second
		judgedFrom = 41 * time.Second
		length     = 75 * time.Second
	)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 3*users {
		return false, fmt.Errorf("the users, servers and requesters need %d descriptors, the limit is %d", 3*users, limit.Cur)
	}
	st, err := startStore()
	if err != nil {
		return false, err
	}
	var servers []*server
	zones := []string{"sv-a", "sv-b", "sv-c"}
	for i := range 6 {
		s, err := startServer(st, rec, fmt.Sprintf("i-desk-%d", i), "desk", zones[i%3], 6, 24, 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	st.write("config", "main", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-book", "host": "desk.example", "pathPrefix": "/book/", "kind": "non_idempotent", "timeoutMs": timeout.Milliseconds(),
			"latencySloMs": 500, "priority": 2, "backend": "desk", "maxAttempts": 2,
		}},
		"backends": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 257, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	p := params{contactMS: 4000, configDeadlineMS: 3000, graceS: 6, budgetSlack: 135, maxFDs: maxFDs}
	d, err := startDeployment(st, zones, p)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	balance := newBalancer(d.machines)
	time.Sleep(2 * time.Second)

	start := time.Now()
	survivor := d.machines[0]
	var mu sync.Mutex
	var attempts []userAttempt
	stop := make(chan struct{})
	var wait sync.WaitGroup
	user := func(n int) {
		time.Sleep(time.Duration(rand.Float64() * float64(thinkTime)))
		for visit := 0; ; visit++ {
			m := balance.pick()
			q := &requester{address: m.callers}
			for i := range perConn {
				select {
				case <-stop:
					q.close()
					return
				default:
				}
				id := fmt.Sprintf("%08x%06x%02x", rand.Uint32(), n, visit*perConn+i)
				a := userAttempt{id: id, machine: m.name, fresh: i == 0, sent: time.Now()}
				rec.add("user %d sends %s to %s, new connection: %v", n, id, m.name, a.fresh)
				got := q.send("POST", "/book/2f", "desk.example", id, nil, "booking-"+id, budget, false)
				a.took, a.status = time.Since(a.sent), got.status
				rec.add("user %d got %d for %s after %d ms", n, a.status, id, a.took.Milliseconds())
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				if a.status == 0 && a.took < retryAfter { // the connection was refused, or closed before the request was read
					time.Sleep(retryAfter)
					break // tried again on a new connection
				}
				time.Sleep(time.Until(a.sent.Add(time.Duration((0.96 + 0.06*rand.Float64()) * float64(thinkTime)))))
				if a.status == 0 {
					break // the next connection may lead to another machine
				}
			}
			q.close() // the user leaves, and another one comes
		}
	}
	for n := range users {
		wait.Go(func() { user(n) })
	}
	time.Sleep(time.Until(start.Add(lossAt)))
	if trouble {
		rec.note("%s and %s are lost for good", d.machines[1].name, d.machines[2].name)
		d.machines[1].kill()
		d.machines[2].kill()
	}
	time.Sleep(time.Until(start.Add(addedAt)))
	if trouble {
		rec.note("%s has %d descriptors open, of %d", survivor.name, survivor.openFDs(), maxFDs)
		added, err := d.add(st, []string{"sv-b", "sv-c"}, p)
		if err != nil {
			return false, err
		}
		balance.replace(append([]*machine{survivor}, added...))
		rec.note("%s and %s are added", added[0].name, added[1].name)
	}
	time.Sleep(time.Until(start.Add(judgedFrom)))
	rec.note("%s has %d descriptors open, of %d; it is in rotation: %v; memory: at most %d MB", survivor.name, survivor.openFDs(), maxFDs, balance.inRotation(survivor), survivor.memoryMB())
	time.Sleep(time.Until(start.Add(length)))
	rec.note("%s has %d descriptors open, of %d; it is in rotation: %v", survivor.name, survivor.openFDs(), maxFDs, balance.inRotation(survivor))
	close(stop)
	time.Sleep(budget + time.Second)

	mu.Lock()
	defer mu.Unlock()
	late, unanswered := 0, 0
	type count struct{ sent, answered int }
	byMachine := map[string]*count{}
	for _, a := range attempts {
		if a.sent.Before(start.Add(judgedFrom)) || a.sent.After(start.Add(length-budget)) {
			continue
		}
		key := a.machine + ", kept connections"
		if a.fresh {
			key = a.machine + ", new connections"
		}
		if byMachine[key] == nil {
			byMachine[key] = &count{}
		}
		byMachine[key].sent++
		if a.status != 0 {
			byMachine[key].answered++
		}
		if a.took < timeout { // answered, or the connection has ended
			continue
		}
		late++
		if a.status == 0 || a.took > timeout+500*time.Millisecond {
			unanswered++
		}
	}
	for key, c := range byMachine {
		rec.note("from %v on, %s: %d requests sent, %d answered", judgedFrom, key, c.sent, c.answered)
	}
	rec.note("%d requests unanswered at the route's time-out of %v, %d of them also half a second later", late, timeout, unanswered)
	return unanswered >= 8 && 2*unanswered > late, nil
}
