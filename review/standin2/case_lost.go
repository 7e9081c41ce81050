//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recoverTally counts the requests of a part of a case.
type recoverTally struct {
	tally
	from, to time.Time // when they were sent
}

// lostMachines has tenants with usage caps, and objects in the store that the processes of
// lost machines have left there. All processes are killed at one moment. It checks whether
// requests are served when recoveryS has passed since the machines are back.
func lostMachines(w *world, trouble bool) (outcome, error) {
	const (
		name      = "kafi81c"
		live      = 9
		recoveryS = 15 * time.Second
		warm      = 40 * time.Second // until the kill
		before    = 10 * time.Second // of it, judged
		window    = 8 * time.Second  // judged after recoveryS
		pause     = 250 * time.Millisecond
	)
	lost, err := lostCount()
	if err != nil {
		return outcome{}, err
	}
	for i := range 4 {
		if _, err := w.startServer(serverSpec{service: name, zone: zoneName(i % 3), slots: 6, queue: 12, work: 20 * time.Millisecond}); err != nil {
			return outcome{}, err
		}
	}
	var tenants []tenant
	for i := range 8 {
		tenants = append(tenants, tenant{fmt.Sprintf("ralo62%d", i), []string{fmt.Sprintf("2dm2buc7takhi73vr5y%d", i)}, 1, 17, 17})
	}
	w.putConfig([]route{
		{Name: "r-archive", Host: host, Prefix: "/bapu561/", Kind: "idempotent", Timeout: 10000, Objective: 1200, Priority: 2, Backend: name, MaxAttempts: 2},
	}, []service{newService(name, 849)}, tenants...)
	var machines []machine
	for i := range live {
		machines = append(machines, machine{zoneName(i % 3), 0.8})
	}
	if err := w.startMachines(cristalia, machines, 30*time.Second); err != nil {
		return outcome{}, err
	}
	if trouble {
		if err := w.leaveObjects(lost); err != nil {
			return outcome{}, err
		}
	}
	killAt := time.Now().Add(warm)
	ctx, cancel := context.WithDeadline(context.Background(), killAt.Add(recoveryS+window))
	defer cancel()
	parts := []*recoverTally{{from: killAt.Add(-before), to: killAt}, {from: killAt.Add(recoveryS), to: killAt.Add(time.Minute)}}
	var wait sync.WaitGroup
	for i, t := range tenants {
		wait.Go(func() {
			k := kind{t.Name, certPath, 0, 5 * time.Second, 1, t.Keys[0]}
			w.sendInParts(ctx, k, i, pause, parts)
		})
	}
	time.Sleep(time.Until(killAt))
	if trouble {
		for _, in := range w.instances {
			in.signal(syscall.SIGKILL)
		}
		w.awaitStarts(2)
		parts[1].setFrom(time.Now().Add(recoveryS))
	}
	wait.Wait()
	return outcome{
		broken: parts[0].share() >= 0.25 && parts[1].share() < 0.25,
		detail: fmt.Sprintf("%.3f of %d requests served in the 10 s before the kill, %.3f of the %d sent later than recoveryS after the machines were back",
			parts[0].share(), parts[0].asked.Load(), parts[1].share(), parts[1].asked.Load()),
	}, nil
}

// lostCount returns the number of lost machines: 300, or what LOST in the environment says.
func lostCount() (int, error) {
	text := os.Getenv("LOST")
	if text == "" {
		return 300, nil
	}
	return strconv.Atoi(text)
}

var partsMu sync.Mutex

func (p *recoverTally) setFrom(at time.Time) {
	partsMu.Lock()
	defer partsMu.Unlock()
	p.from = at
}

func (p *recoverTally) contains(at time.Time) bool {
	partsMu.Lock()
	defer partsMu.Unlock()
	return at.After(p.from) && at.Before(p.to)
}

// sendInParts sends a request of a kind in each pause until ctx is done, counts them in the
// parts that they were sent in, and waits for the answers.
func (w *world) sendInParts(ctx context.Context, k kind, first int, pause time.Duration, parts []*recoverTally) {
	var wait sync.WaitGroup
	defer wait.Wait()
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for n := first; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wait.Go(func() {
			at := time.Now()
			served := w.ask(k, n)
			for _, p := range parts {
				if !p.contains(at) {
					continue
				}
				p.asked.Add(1)
				if served {
					p.served.Add(1)
				}
			}
		})
	}
}

// awaitStarts waits until each instance has been started n times.
func (w *world) awaitStarts(n int) {
	for _, in := range w.instances {
		for {
			in.mu.Lock()
			starts := in.starts
			in.mu.Unlock()
			if starts >= n {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// leaveObjects leaves n objects of lost machines in the store. They are as the processes of
// the live ones have written theirs, but for the names, which precede those of the machines
// that took their place, and the addresses, where nothing listens.
func (w *world) leaveObjects(n int) error {
	const kindName = "knapweedstall-instances"
	names := w.store.Names(kindName)
	if len(names) == 0 {
		return fmt.Errorf("no instance has registered")
	}
	for i := range n {
		name := names[i%len(names)]
		o, _ := w.store.Object(kindName, name)
		var spec map[string]any
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			return err
		}
		spec["address"] = fmt.Sprintf("127.3.%d.%d:9", i/200, i%200+1)
		end := strings.LastIndex(name, "-")
		w.store.Put(kindName, fmt.Sprintf("%s-0%04d", name[:end], i), spec)
	}
	w.rec.log("objects of lost machines", "count", n)
	return nil
}
