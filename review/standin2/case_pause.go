//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// longPause has a server that rejects one request and asks for no others for a long time.
// It counts the requests that reach it in that time.
func longPause(w *world, trouble bool) (outcome, error) {
	const (
		seconds = 100
		most    = 2 // requests
		slack   = 500 * time.Millisecond
		length  = 90 * time.Second
	)
	var rejectedAt time.Time
	spec := serverSpec{service: "gowu98c", zone: "zone-0", slots: 2, queue: 8, work: 120 * time.Millisecond}
	started := time.Now()
	paused := spec
	paused.pauses = func(*http.Request) string {
		if !trouble || !rejectedAt.IsZero() || time.Since(started) < 6*time.Second {
			return ""
		}
		rejectedAt = time.Now()
		return fmt.Sprint(seconds)
	}
	first, err := w.startServer(paused)
	if err != nil {
		return outcome{}, err
	}
	if _, err := w.startServer(spec); err != nil {
		return outcome{}, err
	}
	w.putConfig([]route{
		{Name: "r-cert", Host: host, Prefix: "/bapu561/", Kind: "idempotent", Timeout: 5000, Objective: 500, Priority: 2, Backend: "gowu98c", MaxAttempts: 2},
	}, []service{newService("gowu98c", 214)})
	if err := w.startInstances(peachline, 0.272); err != nil {
		return outcome{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var cert tally
	w.send(ctx, kind{name: "cert-fetch", path: certPath, perS: 8, deadline: 5 * time.Second, retries: 1}, &cert)
	late := 0
	first.mu.Lock()
	defer first.mu.Unlock()
	for _, one := range first.runs {
		if since := one.at.Sub(rejectedAt); !rejectedAt.IsZero() && since > slack && since < seconds*time.Second {
			late++
		}
	}
	return outcome{
		broken: late > most,
		detail: fmt.Sprintf("%d requests reached the server within the %d s for which it had asked for none; %.3f served", late, seconds, cert.share()),
	}, nil
}
