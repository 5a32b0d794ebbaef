// Package lifecycle decides when a node's upstream takes work. It does no I/O.
package lifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"lentilferry.example/lentilferry/membership"
)

const (
	_eventReady     = "ready"
	_eventWarmed    = "warmed"
	_eventUnhealthy = "unhealthy"
	_eventDrain     = "drain"
	_eventLeave     = "leave"
)

var _states = map[string]membership.State{
	membership.Starting.String(): membership.Starting,
	membership.Warming.String():  membership.Warming,
	membership.Serving.String():  membership.Serving,
	membership.Draining.String(): membership.Draining,
	membership.Left.String():     membership.Left,
}

func transitions() fsm.Events {
	starting, warming, serving := membership.Starting.String(), membership.Warming.String(), membership.Serving.String()
	draining, left := membership.Draining.String(), membership.Left.String()
	return fsm.Events{
		{Name: _eventReady, Src: []string{starting}, Dst: warming},
		{Name: _eventWarmed, Src: []string{warming}, Dst: serving},
		{Name: _eventUnhealthy, Src: []string{warming, serving}, Dst: starting},
		{Name: _eventDrain, Src: []string{starting, warming, serving}, Dst: draining},
		{Name: _eventLeave, Src: []string{draining}, Dst: left},
	}
}

// _unhealthyAfterFailures is how many failed checks in a row take an upstream out.
const _unhealthyAfterFailures = 3

// Check is what a node knows of itself at one moment.
type Check struct {
	// Configured is set when the node has a revision that is not older than
	// what it ran before.
	Configured bool
	// Healthy is set when the upstream answered its last check.
	Healthy bool
}

// Lifecycle is the state of one node. It is safe for concurrent use.
type Lifecycle struct {
	warmup time.Duration

	mu      sync.Mutex
	machine *fsm.FSM
	// warmingSince is when the upstream began to take work.
	warmingSince time.Time
	// consecutiveFailures counts failed checks in a row.
	consecutiveFailures int
}

// New returns the lifecycle of a node that starts. An upstream is cold for
// the warmup.
func New(warmup time.Duration) *Lifecycle {
	return &Lifecycle{
		warmup:  warmup,
		machine: fsm.NewFSM(membership.Starting.String(), transitions(), fsm.Callbacks{}),
	}
}

// State returns the present state.
func (l *Lifecycle) State() membership.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state()
}

func (l *Lifecycle) state() membership.State {
	return _states[l.machine.Current()]
}

// Update takes in a check and returns the state that follows.
func (l *Lifecycle) Update(now time.Time, c Check) membership.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Healthy {
		l.consecutiveFailures = 0
	} else {
		l.consecutiveFailures++
	}
	switch state := l.state(); {
	case state == membership.Starting && c.Configured && c.Healthy:
		l.fire(_eventReady)
		l.warmingSince = now
	case state.AcceptsCalls() && l.consecutiveFailures >= _unhealthyAfterFailures:
		l.fire(_eventUnhealthy)
	case state == membership.Warming && now.Sub(l.warmingSince) >= l.warmup:
		l.fire(_eventWarmed)
	}
	return l.state()
}

// Drain begins to leave and reports whether it had not begun before.
func (l *Lifecycle) Drain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fire(_eventDrain)
}

// Leave ends the draining.
func (l *Lifecycle) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fire(_eventLeave)
}

func (l *Lifecycle) fire(event string) bool {
	return l.machine.Event(context.Background(), event) == nil
}
