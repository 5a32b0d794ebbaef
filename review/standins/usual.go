package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// usualRequests are short idempotent requests at all nodes, beside those that a
// case is about.
type usualRequests struct {
	w      *world
	ended  atomic.Bool
	all    sync.WaitGroup
	failed atomic.Int64
	served atomic.Int64
}

// sendUsual begins to send them.
func (w *world) sendUsual() *usualRequests {
	u := &usualRequests{w: w}
	const perNode = 4
	for _, m := range w.machines {
		for range perNode {
			u.all.Go(func() {
				for !u.ended.Load() {
					q := request{id: newID(), method: http.MethodGet, path: "/idem/work=5,answer=400", deadline: 4 * time.Second, closes: true}
					a := askOnce(m.address(m.ports.calls), q)
					w.log("request %s to node %d, %s %s: %s", q.id, m.number, q.method, q.path, a.text())
					if a.err != nil || a.status != http.StatusOK || a.fault != "" {
						u.failed.Add(1)
						continue
					}
					u.served.Add(1)
				}
			})
		}
	}
	return u
}

// stop ends them.
func (u *usualRequests) stop() {
	u.ended.Store(true)
	u.all.Wait()
	u.w.log("usual requests: %d served, %d not", u.served.Load(), u.failed.Load())
}

// logEarly writes to the record which part of the backends' answers were early.
func (w *world) logEarly(backends []*backend, from, to time.Time) {
	for _, b := range backends {
		all, early := b.answersBetween(from, to)
		w.log("backend %s answered %d of %d requests before it had read the body, within %d ms", b.id, early, all, to.Sub(from).Milliseconds())
	}
}
