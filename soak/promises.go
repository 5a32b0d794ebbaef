package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
)

const (
	// _leaveGracePeriod is how long after a confirmed leaving a call may still
	// reach the process: what was on its way.
	_leaveGracePeriod = 2500 * time.Millisecond
	// _maxViolations bounds the violations that are described.
	_maxViolations = 40
)

// sentCall is a call as its caller knows it.
type sentCall struct {
	call       fakehost.Call
	idempotent bool
	response   fakehost.Response
	completed  bool
	runs       []fakehost.Run
}

// checker checks what callers and upstreams see against what the system
// checker. It is safe for concurrent use.
type checker struct {
	mu    sync.Mutex
	calls map[string]*sentCall
	// responsesByStatus counts the answers; 0 for none.
	responsesByStatus map[int]int
	violations        []string
}

func newChecker() *checker {
	return &checker{calls: make(map[string]*sentCall), responsesByStatus: make(map[int]int)}
}

func (p *checker) addViolationLockedf(format string, args ...any) {
	if len(p.violations) < _maxViolations {
		p.violations = append(p.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// recordSend notes a call before its first byte can leave.
func (p *checker) recordSend(c fakehost.Call, idempotent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c.ID] = &sentCall{call: c, idempotent: idempotent}
}

// recordResponse notes what a caller got.
func (p *checker) recordResponse(id string, a fakehost.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.calls[id]
	c.response, c.completed = a, true
	p.responsesByStatus[a.Status]++
	if a.Mismatch != "" {
		p.addViolationLockedf("call %s: a success that is not its own: %s", id, a.Mismatch)
	}
	if a.Status == http.StatusNotFound {
		p.addViolationLockedf("call %s: %s answered 404 on a route that all configurations have", id, c.call.Path)
	}
	p.checkRefusalLocked(id, c)
}

// recordRun notes that an upstream began to work on a call.
func (p *checker) recordRun(r fakehost.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, known := p.calls[r.ID]
	if !known {
		p.addViolationLockedf("call %s: run by %s, and no caller sent it", r.ID, r.Instance)
		return
	}
	if want := fakehost.HashRequest(c.call.Method, c.call.Path, c.call.Body); r.RequestHash != want {
		p.addViolationLockedf("call %s: run by %s with other content", r.ID, r.Instance)
	}
	c.runs = append(c.runs, r)
	if !c.idempotent && len(c.runs) > 1 {
		p.addViolationLockedf("call %s: run %d times, by %s and %s", r.ID, len(c.runs), c.runs[0].Instance, r.Instance)
	}
	p.checkRefusalLocked(r.ID, c)
}

// checkRefusalLocked checks a call that was both checkRefusalLocked and run.
func (p *checker) checkRefusalLocked(id string, c *sentCall) {
	if c.completed && c.response.NotRun && !c.idempotent && len(c.runs) > 0 {
		p.addViolationLockedf("call %s: answered %d, and run by %s", id, c.response.Status, c.runs[0].Instance)
	}
}

// checkRunsAfterLeave checks that a process that leaves got nothing after its confirmation.
func (p *checker) checkRunsAfterLeave(instance string, confirmedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if confirmedAt.IsZero() {
		return
	}
	for id, c := range p.calls {
		for _, r := range c.runs {
			if delay := r.StartedAt.Sub(confirmedAt); r.Instance == instance && delay > _leaveGracePeriod {
				p.addViolationLockedf("call %s: run by %s %s after its leaving was confirmed", id, instance, delay)
			}
		}
	}
}

// addViolationf notes a broken promise that was seen elsewhere.
func (p *checker) addViolationf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addViolationLockedf(format, args...)
}

// report returns the counts of answers and the broken promises.
func (p *checker) report() (map[int]int, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[int]int, len(p.responsesByStatus))
	for status, n := range p.responsesByStatus {
		counts[status] = n
	}
	return counts, append([]string(nil), p.violations...)
}
