package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// drain is the bound of the site file.
const drain = 2500 * time.Millisecond

// latePing is the case of a backend that starts again under its id, whose first
// pings are late, and that leaves before they arrive.
func latePing(w *world, trouble bool) bool {
	w.addMachines("orders", "a", "b", "c", "d", "e", "f", "g")
	w.putConfig(1, []string{"orders"}, route("once", "/once/", "non_idempotent", "orders", "2000ms"), route("idem", "/idem/", "idempotent", "orders", "2000ms"))
	var backends []*backend
	for i, m := range w.machines {
		w.start(m)
		backends = append(backends, w.startBackend(m, fmt.Sprintf("i-%d", i+1)))
	}
	w.awaitReady("/idem/answer=10")
	time.Sleep(4 * time.Second)

	var done atomic.Bool
	var all sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]answer)
	for _, m := range w.machines {
		all.Go(func() {
			for !done.Load() {
				all.Go(func() {
					q := request{id: newID(), method: http.MethodPost, path: "/once/work=200,body=100,answer=100", body: 100, deadline: 2 * time.Second, closes: true}
					a := askOnce(m.address(m.ports.calls), q)
					w.log("request %s to node %d, %s %s: %s", q.id, m.number, q.method, q.path, a.text())
					mu.Lock()
					defer mu.Unlock()
					answers[q.id] = a
				})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	backends[0].end()
	time.Sleep(time.Second)

	// The backend starts again under its id.
	const late = 3500 * time.Millisecond
	m := w.machines[0]
	b := w.newBackend(m, "i-1")
	w.log("backend i-1 starts again, born %d", b.born)
	if trouble {
		b.pingDelay = late
		w.log("its pings arrive %s late", late)
	}
	go b.accept()
	go b.beat()
	time.Sleep(2500 * time.Millisecond)
	b.stopPings()
	confirmed := false
	for !confirmed {
		confirmed = b.post("deregister", []byte(fmt.Sprintf(`{"born":%d}`, b.born)))
	}
	confirmedAt := time.Now()
	w.log("backend i-1 has deregistered, and node 1 has confirmed it")
	// It goes on serving for drain after the confirmation, and some seconds longer.
	time.Sleep(drain + 5*time.Second)
	b.end()
	done.Store(true)
	all.Wait()

	reached, lost := 0, 0
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.runs {
		if after := r.at.Sub(confirmedAt); after > drain {
			reached++
			a := answers[r.id]
			if a.err != nil || a.status != http.StatusOK {
				lost++
			}
			w.log("request %s reached backend i-1 %d ms after the confirmation; its requester got: %s", r.id, after.Milliseconds(), a.text())
		}
	}
	w.log("%d requests reached the backend later than %s after the confirmation; %d of them were lost", reached, drain, lost)
	fmt.Printf("%d requests reached the backend later than %s after the confirmation; %d of them were lost\n", reached, drain, lost)
	return reached == 0
}
