//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"knapweedstall/platform/platformtest"
)

// starvedPart is the part of the share of all requests served below which a kind of request,
// or a tenant, is starved.
const starvedPart = 0.25

// certPath returns a path that is different for each request.
func certPath(n int) string { return fmt.Sprintf("/bapu561/%x", 0x2f+n) }

// listPath is the path of all requests of the kind list-today.
const listPath = "/timi402/2f"

// popularRequest has two kinds of requests for one service: of the first, all requests are
// the same, of the second, all differ. From time to time, a few servers of the service
// crash. It checks that the first kind is not starved.
func popularRequest(w *world, trouble bool) (outcome, error) {
	const (
		servers  = 14
		crashed  = 2 // 0.15 of the servers
		firstAt  = time.Second
		pause    = 6 * time.Second
		crashes  = 4
		downTime = 4500 * time.Millisecond
		length   = 100 * time.Second
	)
	var all []*server
	for i := range servers {
		s, err := w.startServer(serverSpec{service: "gowu98c", zone: fmt.Sprintf("zone-%d", i%3), slots: 2, queue: 8, work: 120 * time.Millisecond, longPath: listPath, longWork: 400 * time.Millisecond})
		if err != nil {
			return outcome{}, err
		}
		all = append(all, s)
	}
	w.putConfig([]route{
		{Name: "r-list", Host: host, Prefix: "/timi402/", Kind: "idempotent", Timeout: 5000, Objective: 500, Priority: 2, Backend: "gowu98c", MaxAttempts: 2},
		{Name: "r-cert", Host: host, Prefix: "/bapu561/", Kind: "idempotent", Timeout: 5000, Objective: 500, Priority: 2, Backend: "gowu98c", MaxAttempts: 2},
	}, []service{newService("gowu98c", 214)})
	if err := w.startInstances(peachline, 0.272, 0.272, 0.272); err != nil {
		return outcome{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var list, cert tally
	var wait sync.WaitGroup
	wait.Go(func() {
		path := func(int) string { return listPath }
		w.send(ctx, kind{name: "list-today", path: path, perS: 20, deadline: 5 * time.Second, retries: 1}, &list)
	})
	wait.Go(func() {
		w.send(ctx, kind{name: "cert-fetch", path: certPath, perS: 75, deadline: 5 * time.Second, retries: 1}, &cert)
	})
	if trouble {
		wait.Go(func() {
			time.Sleep(firstAt)
			for range crashes {
				for _, i := range rand.Perm(servers)[:crashed] {
					all[i].crashFor(downTime)
				}
				time.Sleep(pause)
			}
		})
	}
	wait.Wait()
	total := float64(list.served.Load()+cert.served.Load()) / float64(list.asked.Load()+cert.asked.Load())
	return outcome{
		broken: list.share() < starvedPart*total,
		detail: fmt.Sprintf("list-today: %.3f served, cert-fetch: %.3f, all: %.3f", list.share(), cert.share(), total),
	}, nil
}

// otherCaller has three tenants, of which two ask for the same path. The request of one of
// them crashes the servers that run it. It checks that the other one is not starved.
func otherCaller(w *world, trouble bool) (outcome, error) {
	const (
		service1 = "kafi81c"
		length   = 40 * time.Second
		path     = "/puse612/2f"
	)
	crashes := func(r *http.Request) bool {
		return trouble && r.URL.Path == path && r.Header.Get(platformtest.HeaderWorkspace) == "ralo620"
	}
	for i := range 4 {
		if _, err := w.startServer(serverSpec{service: service1, zone: fmt.Sprintf("zone-%d", i%3), slots: 6, queue: 12, work: 100 * time.Millisecond, crashes: crashes}); err != nil {
			return outcome{}, err
		}
	}
	w.putConfig([]route{
		{Name: "r-archive", Host: host, Prefix: "/puse612/", Kind: "idempotent", Timeout: 10000, Objective: 1200, Priority: 2, Backend: service1, MaxAttempts: 2},
		{Name: "r-fetch", Host: host, Prefix: "/bapu561/", Kind: "idempotent", Timeout: 10000, Objective: 1200, Priority: 2, Backend: service1, MaxAttempts: 2},
	}, []service{newService(service1, 849)},
		tenant{Name: "ralo620", Keys: []string{"2dm2buc7takhi73vr5y2"}, Priority: 1},
		tenant{Name: "zibe114", Keys: []string{"dexhif8tt35uqhuz2f6r"}, Priority: 1},
		tenant{Name: "kulo377", Keys: []string{"a8xk31bb90zmq4tw7c5e"}, Priority: 1})
	if err := w.startInstances(cristalia, 0.8, 0.8, 0.8); err != nil {
		return outcome{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	same := func(int) string { return path }
	var poison, victim, other tally
	var wait sync.WaitGroup
	for _, one := range []struct {
		kind
		*tally
	}{
		{kind{"ralo620", same, 0.5, 10 * time.Second, 1, "2dm2buc7takhi73vr5y2"}, &poison},
		{kind{"zibe114", same, 8, 10 * time.Second, 1, "dexhif8tt35uqhuz2f6r"}, &victim},
		{kind{"kulo377", certPath, 8, 10 * time.Second, 1, "a8xk31bb90zmq4tw7c5e"}, &other},
	} {
		wait.Go(func() { w.send(ctx, one.kind, one.tally) })
	}
	wait.Wait()
	total := float64(victim.served.Load()+other.served.Load()) / float64(victim.asked.Load()+other.asked.Load())
	return outcome{
		broken: victim.share() < starvedPart*total,
		detail: fmt.Sprintf("zibe114: %.3f served, kulo377: %.3f, both: %.3f; ralo620 (crashes servers): %.3f", victim.share(), other.share(), total, poison.share()),
	}, nil
}

// singleServer has a service with one server, which has the same id after each crash, and
// a request that crashes it. It checks how often that request reaches the server after it
// has crashed it three times.
func singleServer(w *world, trouble bool) (outcome, error) {
	const (
		length  = 50 * time.Second
		contact = 4 * time.Second // contactMs
		most    = 3               // retries
		path    = "/timi402/2f"
	)
	crashes := func(r *http.Request) bool { return trouble && r.URL.Path == path }
	if _, err := w.startServer(serverSpec{service: "nylo40d", zone: "zone-0", slots: 2, queue: 8, work: 120 * time.Millisecond, crashes: crashes, keepsID: true}); err != nil {
		return outcome{}, err
	}
	for i := range 3 {
		if _, err := w.startServer(serverSpec{service: "gowu98c", zone: fmt.Sprintf("zone-%d", i), slots: 2, queue: 8, work: 120 * time.Millisecond}); err != nil {
			return outcome{}, err
		}
	}
	w.putConfig([]route{
		{Name: "r-board", Host: host, Prefix: "/timi402/", Kind: "idempotent", Timeout: 5000, Objective: 500, Priority: 2, Backend: "nylo40d", MaxAttempts: 2},
		{Name: "r-cert", Host: host, Prefix: "/bapu561/", Kind: "idempotent", Timeout: 5000, Objective: 500, Priority: 2, Backend: "gowu98c", MaxAttempts: 2},
	}, []service{newService("nylo40d", 214), newService("gowu98c", 214)})
	if err := w.startInstances(peachline, 0.272, 0.272, 0.272); err != nil {
		return outcome{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var poison, cert tally
	var wait sync.WaitGroup
	wait.Go(func() {
		same := func(int) string { return path }
		w.send(ctx, kind{name: "poison", path: same, perS: 1, deadline: 5 * time.Second, retries: 1}, &poison)
	})
	wait.Go(func() {
		w.send(ctx, kind{name: "cert-fetch", path: certPath, perS: 10, deadline: 5 * time.Second, retries: 1}, &cert)
	})
	wait.Wait()
	runs := w.allRuns("nylo40d")
	late := 0
	if trouble && len(runs) >= 3 {
		for _, one := range runs[3:] {
			if one.at.Sub(runs[2].at) > contact {
				late++
			}
		}
	}
	return outcome{
		broken: late > most,
		detail: fmt.Sprintf("%d requests of that kind reached the server, %d of them later than contactMs after the third crash; cert-fetch: %.3f served", len(runs), late, cert.share()),
	}, nil
}
