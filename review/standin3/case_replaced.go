package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// Figures of the case replaced. Bounds and limits are those of the installation
// cristalia-mx-grown.
const (
	replacedMachines = 9
	replacedLost     = 9000 // machines that were lost and replaced before
	replacedBefore   = 10 * time.Second
	replacedDown     = time.Second      // from the kill of all processes until they start again
	recoveryTime     = 15 * time.Second // recoveryS
	replacedAfter    = 25 * time.Second // judged after recoveryTime
	replacedTenants  = 8
	tenantRate       = 17 // ratePerS and burst of a tenant
	tenantPause      = 250 * time.Millisecond
	recoverShare     = 0.25
)

// replacedCase kills all processes of a deployment whose machines have been lost and replaced
// many times. Each lost machine has left its object in the store. The case compares the share
// of the requests that are served before the kill and after recoveryS.
func replacedCase(w *world) bool {
	w.putTenants()
	for n := range 4 {
		s, err := newServer(w.store, w.rec, fmt.Sprintf("i-%d", n), "archive", replacedZone(n), "", 20*time.Millisecond)
		check(err)
		s.slots, s.running = 6, make(chan struct{}, 6)
		s.register(heartbeatPeriod * time.Duration(n) / 4)
	}
	lost := replacedLost
	if text := os.Getenv("LOST"); text != "" {
		lost, _ = strconv.Atoi(text)
	}
	if !w.trouble {
		lost = 0
	}
	var zones []string
	for n := range replacedMachines {
		zones = append(zones, replacedZone(n))
	}
	// A machine that takes the place of a lost one gets the next number of its zone.
	numbers := map[string]int{}
	w.newInstance = func(_, zone string) *instance {
		numbers[zone]++
		in := newInstance(w.root, w.dir, fmt.Sprintf("frontend-%s-%d", zone, lost/3+numbers[zone]), zone, w.store.address())
		in.quotas = true
		return in
	}
	w.startInstances(zones...)
	time.Sleep(4 * time.Second) // until the leases on the usage caps are held
	from := time.Now()
	before, after := &results{}, &results{}
	w.askAsTenants(before, from.Add(replacedBefore))
	if w.trouble {
		for _, in := range w.instances {
			in.kill()
		}
		w.rec.add("all processes have been killed")
		w.leaveObjects(lost)
		time.Sleep(replacedDown)
		for _, in := range w.instances {
			check(in.start([]string{w.instances[0].peers, w.instances[1].peers, w.instances[2].peers}, false))
		}
	}
	back := time.Now()
	w.rec.add("all processes are back")
	w.askAsTenants(&results{}, back.Add(recoveryTime))
	w.askAsTenants(after, back.Add(recoveryTime+replacedAfter))
	w.say("%d objects of lost machines; %.3f of %d requests served before the kill, %.3f of the %d sent later than %d ms after the machines were back",
		lost, before.served(), len(before.all), after.served(), len(after.all), recoveryTime.Milliseconds())
	w.say("answers by status: %v before, %v after", before.byStatus(), after.byStatus())
	return before.served() < recoverShare || after.served() >= recoverShare
}

func replacedZone(n int) string { return []string{"a", "b", "c"}[n%3] }

// served returns the share of the requests that were served.
func (rs *results) served() float64 {
	return float64(rs.byStatus()[http.StatusOK]) / float64(max(len(rs.all), 1))
}

// putTenants writes a desired state with tenants that have a usage cap.
func (w *world) putTenants() {
	var tenants []any
	for n := range replacedTenants {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("tenant-%d", n), "apiKeys": []string{tenantKey(n)}, "priority": 1, "ratePerS": tenantRate, "burst": tenantRate,
		})
	}
	w.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-archive", "host": "desk.example", "pathPrefix": "/archive/", "kind": "idempotent", "timeoutMs": 10000,
			"latencySloMs": 1200, "priority": 2, "backend": "archive", "maxAttempts": 2, "public": false,
		}},
		"backends": []any{map[string]any{"name": "archive", "healthPath": "/healthz", "maxConns": 849, "coldS": 0, "coldPerS": 0}},
		"tenants":  tenants,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func tenantKey(n int) string { return fmt.Sprintf("key-of-tenant-%d", n) }

// askAsTenants sends the requests of all tenants to all instances in turn until a time, and
// waits for their answers.
func (w *world) askAsTenants(rs *results, until time.Time) {
	var wait sync.WaitGroup
	for t := range replacedTenants {
		wait.Go(func() {
			for n := t; time.Now().Before(until); n++ {
				in := w.instances[n%len(w.instances)]
				rs.start(func() result {
					c := newRequester(w.rec, in.callers, "desk.example")
					defer c.client.CloseIdleConnections()
					return c.send(http.MethodGet, fmt.Sprintf("/archive/%d/%d", t, n), "", 5*time.Second, "Authorization", "Bearer "+tenantKey(t))
				})
				time.Sleep(tenantPause)
			}
		})
	}
	wait.Wait()
	rs.wait.Wait()
}

// leaveObjects leaves the objects of lost machines in the store, as their processes have
// written them. Nothing listens at their addresses.
func (w *world) leaveObjects(n int) {
	for i := range n {
		zone := replacedZone(i)
		w.store.put("knapweedstall-instances", fmt.Sprintf("%s.frontend-%s-%d", zone, zone, i/3+1), map[string]any{
			"address": fmt.Sprintf("127.3.%d.%d:9", i/200, i%200+1), "zone": zone, "capacity": instanceCapacity,
		})
	}
	w.rec.add("%d objects of machines that were lost and replaced are in the store", n)
}
