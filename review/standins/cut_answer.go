package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cutAnswer is the case of an answer without a length whose channel is reset on
// the way, while the request is still being sent.
func cutAnswer(w *world, trouble bool) bool {
	w.addMachines("orders", "a", "b", "c")
	w.putConfig(1, []string{"orders"}, route("once", "/once/", "non_idempotent", "orders", "4000ms"), route("idem", "/idem/", "idempotent", "orders", "4000ms"))
	var backends []*backend
	for i, m := range w.machines {
		w.start(m)
		backends = append(backends, w.startBackend(m, fmt.Sprintf("i-%d", i+1)))
	}
	w.awaitReady("/idem/answer=10")
	time.Sleep(4 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	wrong, whole, failed := 0, 0, 0
	send := func(m *machine, q request) {
		a := askOnce(m.address(m.ports.calls), q)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case a.fault != "":
			wrong++
		case a.err == nil && a.status == http.StatusOK:
			whole++
		default:
			failed++
		}
		w.log("request %s to node %d, %s %s: %s", q.id, m.number, q.method, q.path, a.text())
	}
	usual := w.sendUsual()
	time.Sleep(time.Second)
	began := time.Now()
	// Requests whose body takes 600 ms to be sent. The backend answers before it has
	// read the body, without a length, keeps the channel and reads on.
	const early = 10
	for range early {
		all.Go(func() {
			q := request{id: newID(), method: http.MethodPost, body: 8 << 10, piece: 6 << 10, pause: 600 * time.Millisecond, deadline: 4 * time.Second, closes: true}
			q.path = fmt.Sprintf("/once/body=%d,answer=3000,frame=close,early=1,piece=1000,pause=300", q.body)
			send(w.machines[0], q)
		})
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		channels, reset := backends[0].resetHalf()
		w.log("on one of three machines %d of the %d channels are reset", reset, channels)
	}
	all.Wait()
	time.Sleep(2 * time.Second)
	usual.stop()
	w.logEarly(backends, began, time.Now())
	w.log("%d requests got the backend's whole body, %d failed, %d got a success with a part of the backend's body", whole, failed, wrong)
	fmt.Printf("%d requests got a success with a part of the backend's body\n", wrong)
	return wrong == 0 && (trouble || failed == 0 && usual.failed.Load() == 0)
}
