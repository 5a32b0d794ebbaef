package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// encodedPath is the case of a path with an encoded slash, which selects another
// route than the path as it was sent.
func encodedPath(w *world, trouble bool) bool {
	w.addMachines("orders", "a", "b", "c")
	w.putConfig(1, []string{"orders"},
		route("place", "/orders/", "non_idempotent", "orders", "2000ms"),
		route("status", "/orders/status/", "idempotent", "orders", "2000ms"))
	var backends []*backend
	for i, m := range w.machines {
		w.start(m)
		backends = append(backends, w.startBackend(m, fmt.Sprintf("i-%d", i+1)))
	}
	w.awaitReady("/orders/status/answer=10")
	time.Sleep(4 * time.Second)
	if trouble {
		// One of three backends loses the answers of 5 in 100 of the requests that it ran.
		backends[0].loseAnswers(20)
		w.log("backend %s loses the answer of one in 20 of the requests that it runs", backends[0].id)
	}
	const each = 200
	var all sync.WaitGroup
	var mu sync.Mutex
	var requests []request
	for _, m := range w.machines {
		all.Go(func() {
			for n := range each {
				q := request{id: newID(), method: http.MethodPost, body: 200, deadline: 2 * time.Second, closes: true}
				q.path = fmt.Sprintf("/orders/status%%2F%d/work=10,body=200,answer=40", n)
				a := askOnce(m.address(m.ports.calls), q)
				mu.Lock()
				requests = append(requests, q)
				mu.Unlock()
				w.log("request %s to node %d, %s %s: %s", q.id, m.number, q.method, q.path, a.text())
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	twice, changed := 0, 0
	for _, q := range requests {
		n := 0
		for _, b := range backends {
			for _, r := range b.runsOf(q.id) {
				n++
				if r.path != q.path {
					changed++
				}
			}
		}
		if n > 1 {
			twice++
			w.log("request %s %s ran %d times", q.id, q.path, n)
		}
	}
	w.log("%d of %d requests that may run once ran more often; %d arrived with another path", twice, len(requests), changed)
	fmt.Printf("%d of %d requests that may run once ran more often\n", twice, len(requests))
	return twice == 0
}
