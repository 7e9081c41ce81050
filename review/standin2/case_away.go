//go:build review

package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"knapweedstall/core/topology"
)

// turnedAway has a store that answers none of the first machines of each zone for some time,
// just under a third of all, while it serves the others. Meanwhile the operator moves a route to
// another service. It counts the requests that machines which the store serves pass to the
// old service after the move is due.
func turnedAway(w *world, trouble bool) (outcome, error) {
	const (
		perZone  = 35
		awayEach = 11 // 33 of 105, 0.314
		awayTime = 9 * time.Second
		due      = 5 * time.Second // configDeadlineMs
		settle   = 6 * time.Second // contactMs is 5 s
		moveAt   = 100 * time.Millisecond
		after    = 6 * time.Second
		oldName  = "gowu98c"
		newName  = "nylo40d"
	)
	for _, name := range []string{oldName, newName} {
		for i := range 4 {
			if _, err := w.startServer(serverSpec{service: name, zone: zoneName(i % 3), slots: 8, queue: 8, work: 20 * time.Millisecond}); err != nil {
				return outcome{}, err
			}
		}
	}
	services := []service{newService(oldName, 732), newService(newName, 732)}
	moved := func(name string) []route {
		return []route{{Name: "r-cert", Host: host, Prefix: "/bapu561/", Kind: "idempotent", Timeout: 5000, Objective: 500, Priority: 2, Backend: name, MaxAttempts: 2}}
	}
	w.putVersion(7, moved(oldName), services)
	var machines []machine
	for i := range 3 * perZone {
		machines = append(machines, machine{zoneName(i % 3), 0.134})
	}
	if err := w.startMachines(peachlineGrown, machines, 40*time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(settle)
	away := firstOfZones(w.instances, awayEach)
	ctx, cancel := context.WithTimeout(context.Background(), awayTime+after)
	defer cancel()
	var cert tally
	var wait sync.WaitGroup
	wait.Go(func() {
		w.send(ctx, kind{name: "cert-fetch", path: certPath, perS: 100, deadline: 5 * time.Second, retries: 1}, &cert)
	})
	if trouble {
		for _, in := range away {
			in.store.setShut(true)
			w.rec.log("turned away", "instance", in.name)
		}
	}
	time.Sleep(moveAt)
	w.putVersion(8, moved(newName), services)
	movedAt := time.Now()
	time.Sleep(awayTime - moveAt)
	for _, in := range away {
		in.store.setShut(false)
	}
	w.rec.log("served again")
	wait.Wait()
	late, stale, last := w.lateAt(oldName, away, movedAt, due)
	return outcome{
		broken: late > 0,
		detail: fmt.Sprintf("%d requests, sent later than configDeadlineMs after the ack to %d machines that the store serves, were run by the old service, the last one sent %.1f s after the ack; %.3f served",
			late, stale, last.Seconds(), cert.share()),
	}, nil
}

// lateAt returns how many requests a service has run that were sent later than due after a
// time to instances that are not excluded, the number of these instances, and how long after
// that time the last one was sent.
func (w *world) lateAt(service string, excluded []*instance, from time.Time, due time.Duration) (late, instances int, last time.Duration) {
	stale := map[string]bool{}
	w.mu.Lock()
	attempts := maps.Clone(w.sent)
	w.mu.Unlock()
	for _, one := range w.allRuns(service) {
		attempt, ok := attempts[one.requestID]
		since := attempt.at.Sub(from)
		if !ok || since <= due || slices.Contains(excluded, attempt.instance) {
			continue
		}
		late++
		last = max(last, since)
		stale[attempt.instance.name] = true
		w.rec.log("late", "request", one.requestID, "instance", attempt.instance.name, "afterMs", since.Milliseconds())
	}
	return late, len(stale), last
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// firstOfZones returns the first n instances of each zone, in the order in which instances
// of equal capacity read the store.
func firstOfZones(instances []*instance, n int) []*instance {
	zones := map[string][]*instance{}
	for _, in := range instances {
		zones[in.zone] = append(zones[in.zone], in)
	}
	var first []*instance
	for _, list := range zones {
		slices.SortFunc(list, func(a, b *instance) int { return cmp.Compare(topology.Hash64(a.name), topology.Hash64(b.name)) })
		first = append(first, list[:min(n, len(list))]...)
	}
	return first
}
