package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// The bounds of the rules, as the settings state them.
const (
	drainBound   = 2500 * time.Millisecond
	stableWindow = 3 * time.Second
)

// forgottenDeparture checks DRAIN: a backend deregisters, which its node
// confirms, and goes on serving for some seconds. Meanwhile all nodes are killed
// and start again, and a heartbeat that the backend sent before arrives late.
func forgottenDeparture(r *run) int {
	const host = "payslips.example"
	r.configure(7, []string{"archive-desk"}, host, route("r-lookup", "/lookup/", "idempotent", "archive-desk", "2000ms", 2), route("r-print", "/print/", "non_idempotent", "archive-desk", "2000ms", 1))
	for i := range 6 {
		zone := []string{"puget-a", "willamette-a", "inland-a"}[i%3]
		n := r.addNode(fmt.Sprintf("sidecar-%s-%d", zone, i/3+1), []string{"puget", "willamette", "inland"}[i%3], zone, "archive-desk")
		r.addBackend(n, fmt.Sprintf("i-%04d", i), "v1", 9, 250*time.Millisecond)
	}
	r.startAll()
	for _, b := range r.backends {
		b.start()
	}
	r.awaitReady(15 * time.Second)
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, n := range r.nodes {
		go r.traffic(ctx, n, 10, func() request {
			if rand.IntN(3) == 0 {
				return request{method: "POST", host: host, path: "/print/1", body: "batch", deadline: 4 * time.Second}
			}
			return request{method: "GET", host: host, path: "/lookup/1", deadline: 4 * time.Second}
		})
	}
	time.Sleep(5 * time.Second)
	leaver := r.backends[0]
	if r.trouble {
		late := leaver.nextBeat()
		r.record("backend %s sends a heartbeat that is 6 s on its way: %s", leaver.id, late)
		time.AfterFunc(6*time.Second, func() {
			acknowledged := leaver.post(leaver.control, "/heartbeat", late)
			r.record("the late heartbeat of %s arrives, acknowledged %v", leaver.id, acknowledged)
		})
	}
	time.Sleep(300 * time.Millisecond)
	confirmed := leaver.deregister()
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		for _, n := range r.nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		for _, n := range r.nodes {
			n.start()
		}
	}
	time.Sleep(11 * time.Second)
	r.record("backend %s has served for %s since it was confirmed that it leaves", leaver.id, time.Since(confirmed).Round(time.Millisecond))
	leaver.stop()
	time.Sleep(2 * time.Second)
	cancel()
	time.Sleep(time.Second)
	r.mu.Lock()
	late := 0
	lost := 0
	for _, e := range r.executions {
		up, isUp := e.ingress.up()
		inTouch := isUp && e.sentAt.Sub(up) > stableWindow
		if e.backend != leaver || e.at.Sub(confirmed) <= drainBound || !inTouch {
			continue
		}
		late++
		if s := r.sendings[e.attempt]; !s.sealed {
			lost++
		}
	}
	r.mu.Unlock()
	r.record("DRAIN: %d requests reached %s later than %s after the confirmation, sent on by machines in touch; %d of them got no answer of it", late, leaver.id, drainBound, lost)
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
