//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// killedRunner has searches that small instances have larger ones run. The larger ones are
// killed one after the other. It counts the requests that ran, in one attempt of their
// caller, on more servers of a shard than their route allows.
func killedRunner(w *world, trouble bool) (outcome, error) {
	const (
		shards      = 20
		maxAttempts = 1
		most        = 3 // requests
		length      = 42 * time.Second
		firstAt     = 4 * time.Second
		pause       = 3500 * time.Millisecond
	)
	var names []string
	var services []service
	for i := range shards {
		name := fmt.Sprintf("huvo%02da", i)
		names = append(names, name)
		services = append(services, newService(name, 88))
		for k := range 3 {
			if _, err := w.startServer(serverSpec{service: name, zone: fmt.Sprintf("zone-%d", k), slots: 2, queue: 12, work: 15 * time.Millisecond, pauseFor: 150 * time.Millisecond, pauseEvery: 3600 * time.Millisecond}); err != nil {
				return outcome{}, err
			}
		}
	}
	w.putConfig([]route{
		{Name: "r-sweep", Host: host, Prefix: "/mifi20/", Kind: "idempotent", Timeout: 1200, Objective: 120, Priority: 1, Gather: names, MaxAttempts: maxAttempts, TopK: 50, MinCoverage: 0.89},
	}, services)
	if err := w.startInstances(peachlineGrown, 0.8, 0.8, 0.134, 0.134, 0.134); err != nil {
		return outcome{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var sweep tally
	var wait sync.WaitGroup
	wait.Go(func() {
		path := func(n int) string { return fmt.Sprintf("/mifi20/%x", n) }
		w.send(ctx, kind{name: "manifest-sweep", path: path, perS: 120, deadline: 1200 * time.Millisecond, retries: 1}, &sweep)
	})
	if trouble {
		wait.Go(func() {
			time.Sleep(firstAt)
			for i := range 10 {
				w.instances[i%2].signal(syscall.SIGKILL)
				time.Sleep(pause)
			}
		})
	}
	wait.Wait()
	// The servers of a shard that a request has run on, by the shard and the request's id.
	ranOn := map[string][]string{}
	for _, name := range names {
		for _, one := range w.allRuns(name) {
			key := name + "/" + one.requestID
			if !slices.Contains(ranOn[key], one.server) {
				ranOn[key] = append(ranOn[key], one.server)
			}
		}
	}
	over := map[string]bool{}
	for key, servers := range ranOn {
		if len(servers) > maxAttempts {
			_, id, _ := strings.Cut(key, "/")
			over[id] = true
		}
	}
	return outcome{
		broken: len(over) > most,
		detail: fmt.Sprintf("%d of %d requests ran on more than maxAttempts=%d servers of a shard in one attempt; %.3f served", len(over), sweep.asked.Load(), maxAttempts, sweep.share()),
	}, nil
}
