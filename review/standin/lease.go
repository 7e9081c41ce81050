package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"
)

// Usage caps of all tenants, and the bounds of the rule QUOTA.
const (
	capPerSecond = 100.0
	capBurst     = 20.0
	quotaWindow  = 5 * time.Second
	quotaOver    = 0.1
	quotaSlack   = 20.0
)

// leaseKind is the kind of the objects in the store with which the tier keeps, for each
// group of tenants, one holder of their usage caps.
const leaseKind = "knapweedstall-quotas"

// capUse is a request of a tenant that a server ran.
type capUse struct{ sent, arrived time.Time }

// twoHolders has tenants send several times their usage cap. The machine that holds the
// caps of most of them is cut off, and the store comes back from a copy that is some seconds
// old and was made before the first desired state with usage caps.
func twoHolders(rec *record, trouble bool) (bool, error) {
	const (
		tenants     = 6
		perSecond   = 5 * capPerSecond // of each tenant
		beforeDrill = 3500 * time.Millisecond
		awayFor     = 200 * time.Millisecond
		cutFor      = 8 * time.Second
		afterCut    = 8 * time.Second
		budget      = 10 * time.Second
	)
	st, err := startStore()
	if err != nil {
		return false, err
	}
	var servers []*server
	for i, zone := range []string{"mx-central-a", "mx-central-b", "mx-central-c", "mx-central-a"} {
		s, err := startServer(st, rec, fmt.Sprintf("i-archivo-%d", i), "archivo", zone, 6, 24, 4*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	cables := newNetwork(st)
	d, err := startDeployment(st, []string{"mx-central-a", "mx-central-b", "mx-central-c"}, params{
		contactMS: 5000, configDeadlineMS: 5000, graceS: 6, budgetSlack: 314, network: cables,
		quotas: fmt.Sprintf(`"quotas": {"windowSeconds": %v, "overshoot": %v, "slack": %v}`, quotaWindow.Seconds(), quotaOver, quotaSlack),
	})
	if err != nil {
		return false, err
	}
	defer d.stop()
	time.Sleep(4 * time.Second) // the machines register

	older := st.copy()
	copied := time.Now()
	writeCaps(st, tenants)
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	rec.note("the first desired state is in force; usage cap of each of %d tenants: %v a second, burst %v", tenants, capPerSecond, capBurst)
	time.Sleep(time.Second)

	var mu sync.Mutex
	sent := map[string]time.Time{}
	statuses := map[int]int{}
	requesters := make([]*requester, len(d.machines))
	for i, m := range d.machines {
		requesters[i] = &requester{address: m.callers}
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for tenant := range tenants {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
				}
				wait.Go(func() {
					id := fmt.Sprintf("%02x%06x%08x", tenant, n, rand.Uint32())
					rec.add("requester of tenant-%d sends %s", tenant, id)
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
					a := requesters[n%len(requesters)].send("GET", "/fetch/2f", "archivo.example", id,
						map[string]string{"Authorization": fmt.Sprintf("Bearer key-%d", tenant)}, "", budget, false)
					rec.add("requester got %d for %s", a.status, id)
					mu.Lock()
					statuses[a.status]++
					mu.Unlock()
				})
			}
		})
	}
	time.Sleep(time.Until(copied.Add(beforeDrill)))
	if trouble {
		holders := st.awaitRenewal()
		i := slices.IndexFunc(d.machines, func(m *machine) bool { return holders[m.name] >= 2 })
		if i < 0 {
			i = slices.IndexFunc(d.machines, func(m *machine) bool { return holders[m.name] > 0 })
		}
		victim := d.machines[i]
		rec.note("leases by holder: %v", holders)
		rec.note("%s is cut off for %v; the store is away for %v; the copy is %.1f s old", victim.name, cutFor, awayFor, time.Since(copied).Seconds())
		cables.cut(victim, true)
		st.setAway(true)
		time.Sleep(awayFor)
		if os.Getenv("DRILL") != "0" { // DRILL=0 leaves the cut alone, with the store away for a moment
			st.restore(older)
			rec.note("the store has the older copy")
		}
		st.setAway(false)
		writeCaps(st, tenants) // the operator writes again what the store has lost
		for _, s := range servers {
			s.register()
		}
		time.Sleep(cutFor - awayFor)
		cables.cut(victim, false)
		rec.note("the cut ends; leases by holder: %v", st.leaseHolders())
	} else {
		time.Sleep(cutFor)
	}
	time.Sleep(afterCut)
	close(stop)
	wait.Wait()

	uses := map[string][]capUse{}
	for _, r := range allRuns(servers) {
		if at, ok := sent[r.id]; ok {
			uses[r.key] = append(uses[r.key], capUse{at, r.at})
		}
	}
	allowed := (capPerSecond*quotaWindow.Seconds()+capBurst)*(1+quotaOver) + quotaSlack
	broken := false
	for tenant := range tenants {
		name := fmt.Sprintf("tenant-%d", tenant)
		most, at := fullestWindow(uses[name])
		rec.note("%s: at most %d requests in %v, allowed %.0f; window begins %.1f s after the start", name, most, quotaWindow, allowed, at.Sub(rec.started).Seconds())
		if float64(most) > allowed {
			broken = true
		}
	}
	rec.note("answers by status %v", statuses)
	return broken, nil
}

// writeCaps writes the desired state with the usage caps.
func writeCaps(st *store, tenants int) {
	var list []any
	for i := range tenants {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("tenant-%d", i), "apiKeys": []string{fmt.Sprintf("key-%d", i)}, "priority": 1, "ratePerS": capPerSecond, "burst": capBurst,
		})
	}
	st.write("config", "main", map[string]any{
		"version": 5,
		"routes": []any{map[string]any{
			"name": "r-fetch", "host": "archivo.example", "pathPrefix": "/fetch/", "kind": "idempotent", "timeoutMs": 10000,
			"latencySloMs": 1200, "priority": 2, "backend": "archivo", "maxAttempts": 2,
		}},
		"backends": []any{map[string]any{"name": "archivo", "healthPath": "/healthz", "maxConns": 849, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 0.0}},
		"tenants":  list,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// fullestWindow returns the most requests that were both sent and run within one window,
// and when that window begins.
func fullestWindow(uses []capUse) (most int, begins time.Time) {
	slices.SortFunc(uses, func(a, b capUse) int { return a.sent.Compare(b.sent) })
	for i, first := range uses {
		n := 0
		for _, u := range uses[i:] {
			if u.arrived.Sub(first.sent) <= quotaWindow {
				n++
			}
			if u.sent.Sub(first.sent) > quotaWindow {
				break
			}
		}
		if n > most {
			most, begins = n, first.sent
		}
	}
	return most, begins
}

// awaitRenewal waits until a holder has renewed a lease, and returns the number of leases
// of each holder.
func (s *store) awaitRenewal() map[string]int {
	renewed := make(chan struct{}, 1)
	s.mu.Lock()
	s.onWrite = func(kind string, _ object) {
		if kind == leaseKind {
			select {
			case renewed <- struct{}{}:
			default:
			}
		}
	}
	s.mu.Unlock()
	<-renewed
	time.Sleep(250 * time.Millisecond) // the leases of the other groups are renewed too
	s.mu.Lock()
	s.onWrite = nil
	s.mu.Unlock()
	return s.leaseHolders()
}

// leaseHolders returns the number of leases of each holder.
func (s *store) leaseHolders() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := map[string]int{}
	for _, o := range s.objects[leaseKind] {
		var lease struct{ Holder string }
		if json.Unmarshal(o.Spec, &lease) == nil {
			holders[lease.Holder]++
		}
	}
	return holders
}
