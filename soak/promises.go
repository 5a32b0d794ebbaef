package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

const (
	// _leavingBound is how long after a confirmed leaving a call may still
	// reach the process: what was on its way.
	_leavingBound = 2500 * time.Millisecond
	// _violationsMost bounds the violations that are described.
	_violationsMost = 40
)

// sentCall is a call as its caller knows it.
type sentCall struct {
	call       fakehost.Call
	idempotent bool
	answer     fakehost.Response
	ended      bool
	runs       []fakehost.Run
}

// promises checks what callers and upstreams see against what the system
// promises. It is safe for concurrent use.
type promises struct {
	mu    sync.Mutex
	calls map[string]*sentCall
	// byStatus counts the answers; 0 for none.
	byStatus map[int]int
	broken   []string
}

func newPromises() *promises {
	return &promises{calls: make(map[string]*sentCall), byStatus: make(map[int]int)}
}

func (p *promises) breakf(format string, args ...any) {
	if len(p.broken) < _violationsMost {
		p.broken = append(p.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// sending notes a call before its first byte can leave.
func (p *promises) sending(c fakehost.Call, idempotent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c.ID] = &sentCall{call: c, idempotent: idempotent}
}

// answered notes what a caller got.
func (p *promises) answered(id string, a fakehost.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.calls[id]
	c.answer, c.ended = a, true
	p.byStatus[a.Status]++
	if a.Mismatch != "" {
		p.breakf("call %s: a success that is not its own: %s", id, a.Mismatch)
	}
	if a.Status == http.StatusNotFound {
		p.breakf("call %s: %s answered 404 on a route that all configurations have", id, c.call.Path)
	}
	p.refused(id, c)
}

// ran notes that an upstream began to work on a call.
func (p *promises) ran(r fakehost.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, known := p.calls[r.ID]
	if !known {
		p.breakf("call %s: run by %s, and no caller sent it", r.ID, r.Instance)
		return
	}
	if want := fakehost.HashRequest(c.call.Method, c.call.Path, c.call.Body); r.RequestHash != want {
		p.breakf("call %s: run by %s with other content", r.ID, r.Instance)
	}
	c.runs = append(c.runs, r)
	if !c.idempotent && len(c.runs) > 1 {
		p.breakf("call %s: run %d times, by %s and %s", r.ID, len(c.runs), c.runs[0].Instance, r.Instance)
	}
	p.refused(r.ID, c)
}

// refused checks a call that was both refused and run.
func (p *promises) refused(id string, c *sentCall) {
	if c.ended && c.answer.NotRun && !c.idempotent && len(c.runs) > 0 {
		p.breakf("call %s: answered %d, and run by %s", id, c.answer.Status, c.runs[0].Instance)
	}
}

// left checks that a process that leaves got nothing after its confirmation.
func (p *promises) left(process string, confirmed time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if confirmed.IsZero() {
		return
	}
	for id, c := range p.calls {
		for _, r := range c.runs {
			if late := r.StartedAt.Sub(confirmed); r.Instance == process && late > _leavingBound {
				p.breakf("call %s: run by %s %s after its leaving was confirmed", id, process, late)
			}
		}
	}
}

// brokenf notes a broken promise that was seen elsewhere.
func (p *promises) brokenf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakf(format, args...)
}

// report returns the counts of answers and the broken promises.
func (p *promises) report() (map[int]int, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[int]int, len(p.byStatus))
	for status, n := range p.byStatus {
		counts[status] = n
	}
	return counts, append([]string(nil), p.broken...)
}
