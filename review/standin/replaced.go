package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// sentRequest is a request of a tenant.
type sentRequest struct {
	sent   time.Time
	status int
}

// replacedMachines loses all machines at once and for good, and adds as many others at new
// addresses. All tenants have a usage cap and stay below it.
func replacedMachines(rec *record, trouble bool) (bool, error) {
	const (
		tenants   = 8
		rate      = 17.0 // usage cap of a tenant, requests a second; its burst is as large
		perSecond = 9.0  // requests of a tenant
		budget    = 5 * time.Second
		lossAt    = 12 * time.Second
		backAt    = 14 * time.Second
		recoveryS = 15 * time.Second
		length    = 55 * time.Second
	)
	st, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"mx-central-a", "mx-central-b", "mx-central-c"}
	for i := range 4 {
		if _, err := startServer(st, rec, fmt.Sprintf("i-archivo-%d", i), "archivo", zones[i%3], 6, 24, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	var list []any
	for i := range tenants {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("tenant-%d", i), "apiKeys": []string{fmt.Sprintf("key-%d", i)}, "priority": 1, "ratePerS": rate, "burst": rate,
		})
	}
	st.write("config", "main", map[string]any{
		"version": 5,
		"routes": []any{map[string]any{
			"name": "r-fetch", "host": "archivo.example", "pathPrefix": "/fetch/", "kind": "idempotent", "timeoutMs": 5000,
			"latencySloMs": 1200, "priority": 2, "backend": "archivo", "maxAttempts": 2,
		}},
		"backends": []any{map[string]any{"name": "archivo", "healthPath": "/healthz", "maxConns": 849, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 0.0}},
		"tenants":  list,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	p := params{
		contactMS: 5000, configDeadlineMS: 5000, graceS: 6, budgetSlack: 314,
		quotas: `"quotas": {"windowSeconds": 5, "overshoot": 0.1, "slack": 20}`,
	}
	var everywhere []string // three machines in each zone
	for range 3 {
		everywhere = append(everywhere, zones...)
	}
	d, err := startDeployment(st, everywhere, p)
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
	rec.note("traffic starts: %d tenants, %v requests a second each, usage cap %v", tenants, perSecond, rate)

	var mu sync.Mutex
	var requests []sentRequest
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
					m := balance.pick()
					q := &requester{address: m.callers}
					defer q.close()
					rec.add("requester of tenant-%d sends %s to %s", tenant, id, m.name)
					sent := time.Now()
					a := q.send("GET", fmt.Sprintf("/fetch/%x", rand.Uint32()), "archivo.example", id,
						map[string]string{"Authorization": fmt.Sprintf("Bearer key-%d", tenant)}, "", budget, true)
					rec.add("requester got %d for %s", a.status, id)
					mu.Lock()
					requests = append(requests, sentRequest{sent, a.status})
					mu.Unlock()
				})
			}
		})
	}
	time.Sleep(time.Until(start.Add(lossAt)))
	if trouble {
		rec.note("all %d machines are lost for good", len(d.machines))
		lost := len(d.machines)
		for _, m := range d.machines {
			m.kill()
		}
		time.Sleep(time.Until(start.Add(backAt)))
		added, err := d.add(st, everywhere, p)
		if err != nil {
			return false, err
		}
		balance.replace(added)
		rec.note("%d others are added in place of the %d", len(added), lost)
	}
	time.Sleep(time.Until(start.Add(length)))
	close(stop)
	wait.Wait()

	before := shareServed(requests, start, start.Add(lossAt-time.Second))
	after := shareServed(requests, start.Add(backAt+recoveryS), start.Add(length))
	statuses := map[int]int{}
	for _, r := range requests {
		if r.sent.After(start.Add(backAt + recoveryS)) {
			statuses[r.status]++
		}
	}
	rec.note("objects in the store that name a machine of the tier: %d", len(st.names("knapweedstall-instances")))
	rec.note("share of the requests served before the loss: %.3f; of those sent later than %v after the machines are back: %.3f; answers by status then: %v",
		before, recoveryS, after, statuses)
	return before >= 0.25 && after < 0.25, nil
}

// shareServed returns the share of the requests sent within a period that got a success.
func shareServed(requests []sentRequest, from, to time.Time) float64 {
	sent, served := 0, 0
	for _, r := range requests {
		if r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		sent++
		if r.status == 200 {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}
