package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// storeGate is the store as one machine sees it. While it is closed, the store turns the
// machine away with 503 and serves the others.
type storeGate struct {
	st      *store
	address string

	mu     sync.Mutex
	closed bool
	cut    chan struct{} // closed when the gate closes; ends waiting watches
}

func newStoreGate(st *store) (*storeGate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &storeGate{st: st, address: l.Addr().String(), cut: make(chan struct{})}
	go func() { _ = http.Serve(l, g) }()
	return g, nil
}

func (g *storeGate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed && !g.closed {
		close(g.cut)
	}
	if !closed && g.closed {
		g.cut = make(chan struct{})
	}
	g.closed = closed
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	closed, cut := g.closed, g.cut
	g.mu.Unlock()
	if closed {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	g.st.ServeHTTP(w, r.WithContext(ctx))
	select {
	case <-cut:
		panic(http.ErrAbortHandler) // a watch that was waiting is cut off
	default:
	}
}

// placeInOrder returns the place of a machine in the order in which the machines of a zone
// take their copies from each other, as the project's core/source computes it.
func placeInOrder(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h *= 1099511628211
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// byOrder returns the machines of a zone in that order.
func byOrder(machines []*machine, zone string) []*machine {
	var list []*machine
	for _, m := range machines {
		if m.zone == zone {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *machine) int { return cmp.Compare(placeInOrder(a.name), placeInOrder(b.name)) })
	return list
}

// routeVersion is a version of the desired state in which the route leads to a service.
func routeVersion(version int, service string) map[string]any {
	backend := func(name string) any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 214, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 0.0}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-cert", "host": "cert.example", "pathPrefix": "/cert/", "kind": "non_idempotent", "timeoutMs": 2000,
			"latencySloMs": 500, "priority": 2, "backend": service, "maxAttempts": 2,
		}},
		"backends": []any{backend("certvault"), backend("routeboard")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// turnedAway has the store turn five of 15 machines away for 9 s, while it serves the
// others and the operator, who moves a route to another service meanwhile.
func turnedAway(rec *record, trouble bool) (bool, error) {
	const (
		budget    = 5 * time.Second
		awayAt    = 5 * time.Second
		awayFor   = 9 * time.Second
		changeAt  = 7 * time.Second
		dueAfter  = 3 * time.Second // configDeadlineMs
		length    = 18 * time.Second
		perSecond = 112.0
	)
	st, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"macon-yard", "warner-dock", "perry-shed"}
	var servers []*server
	for i, service := range []string{"certvault", "certvault", "certvault", "routeboard", "routeboard", "routeboard"} {
		s, err := startServer(st, rec, fmt.Sprintf("i-%s-%d", service, i%3), service, zones[i%3], 6, 24, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	st.write("config", "main", routeVersion(3, "certvault"))
	d, gates, err := startGated(st, zones, []int{7, 4, 4})
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // each machine has found the one that it follows

	first := byOrder(d.machines, zones[0])
	away := append(first[:3:3], byOrder(d.machines, zones[1])[0], byOrder(d.machines, zones[2])[0])
	start := time.Now()
	type attempt struct {
		machine *machine
		sent    time.Time
	}
	var mu sync.Mutex
	attempts := map[string]attempt{}
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
				m := d.machines[rand.IntN(len(d.machines))]
				id := fmt.Sprintf("%08x%08x", n, rand.Uint32())
				rec.add("requester sends %s to %s", id, m.name)
				mu.Lock()
				attempts[id] = attempt{m, time.Now()}
				mu.Unlock()
				q := &requester{address: m.callers}
				defer q.close()
				a := q.send("POST", "/cert/2f", "cert.example", id, nil, "order-"+id, budget, true)
				rec.add("requester got %d for %s", a.status, id)
			})
		}
	})
	time.Sleep(time.Until(start.Add(awayAt)))
	if trouble {
		for _, m := range away {
			rec.note("the store turns %s away for %v", m.name, awayFor)
			gates[m].set(true)
		}
	}
	time.Sleep(time.Until(start.Add(changeAt)))
	st.write("config", "main", routeVersion(7, "routeboard"))
	acked := time.Now()
	rec.note("version 7 is acknowledged: the route leads to routeboard, no longer to certvault")
	time.Sleep(time.Until(start.Add(awayAt + awayFor)))
	for _, m := range away {
		gates[m].set(false)
	}
	time.Sleep(time.Until(start.Add(length)))
	close(stop)
	wait.Wait()

	broken := map[string]int{}
	excused := 0
	for _, run := range allRuns(servers) {
		a := attempts[run.id]
		if a.sent.Before(acked.Add(dueAfter)) || servicesOf(servers)[run.server] != "certvault" {
			continue
		}
		if slices.Contains(away, a.machine) {
			excused++
			continue
		}
		broken[a.machine.name]++
	}
	total := 0
	for name, n := range broken {
		rec.note("%s, which the store did not turn away: %d requests sent later than %v after the ack run by certvault", name, n, dueAfter)
		total += n
	}
	rec.note("%d requests broke the rule; %d more at machines that were turned away", total, excused)
	return total > 0, nil
}

func servicesOf(servers []*server) map[string]string {
	out := map[string]string{}
	for _, s := range servers {
		out[s.id] = s.service
	}
	return out
}

// startGated starts machines that reach the store through a gate each.
func startGated(st *store, zones []string, counts []int) (*deployment, map[*machine]*storeGate, error) {
	gates := map[*machine]*storeGate{}
	var list []string
	for i, zone := range zones {
		for range counts[i] {
			list = append(list, zone)
		}
	}
	p := params{contactMS: 4000, configDeadlineMS: 3000, graceS: 6, budgetSlack: 116}
	p.storeAddress = func(m *machine) (string, error) {
		g, err := newStoreGate(st)
		if err != nil {
			return "", err
		}
		gates[m] = g
		return g.address, nil
	}
	d, err := startDeployment(st, list, p)
	return d, gates, err
}
