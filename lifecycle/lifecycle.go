// Package lifecycle decides when a node's upstream accepts calls. It does no
// I/O.
package lifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"lentilferry.example/lentilferry/membership"
)

// The events of the state machine.
const (
	_eventReady     = "ready"
	_eventWarmed    = "warmed"
	_eventUnhealthy = "unhealthy"
	_eventDrain     = "drain"
	_eventLeave     = "leave"
)

// _states maps the state machine's state names to membership states.
var _states = map[string]membership.State{
	membership.Starting.String(): membership.Starting,
	membership.Warming.String():  membership.Warming,
	membership.Serving.String():  membership.Serving,
	membership.Draining.String(): membership.Draining,
	membership.Left.String():     membership.Left,
}

// transitions returns the transitions of the state machine. An unhealthy
// upstream returns to Starting; draining can't be undone.
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

// _unhealthyAfterFailures is the number of consecutive failed checks after
// which an upstream no longer accepts calls.
const _unhealthyAfterFailures = 3

// Check is a node's view of itself at one moment.
type Check struct {
	// Configured is set if the node has a revision at least as new as the one
	// it ran before.
	Configured bool
	// Healthy is set if the upstream answered its last health check.
	Healthy bool
}

// Lifecycle tracks the state of one node. It is safe for concurrent use.
type Lifecycle struct {
	warmup time.Duration

	mu      sync.Mutex
	machine *fsm.FSM
	// warmingSince is when the upstream last began to accept calls.
	warmingSince time.Time
	// consecutiveFailures is the number of failed checks in a row.
	consecutiveFailures int
}

// New returns the lifecycle of a starting node, whose upstream is in state
// Warming for the given time before it is Serving.
func New(warmup time.Duration) *Lifecycle {
	return &Lifecycle{
		warmup:  warmup,
		machine: fsm.NewFSM(membership.Starting.String(), transitions(), fsm.Callbacks{}),
	}
}

// State returns the current state.
func (l *Lifecycle) State() membership.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state()
}

func (l *Lifecycle) state() membership.State {
	return _states[l.machine.Current()]
}

// Update applies a check and returns the new state.
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

// Drain starts draining and reports whether this call started it.
func (l *Lifecycle) Drain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fire(_eventDrain)
}

// Leave ends draining: the node has left.
func (l *Lifecycle) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fire(_eventLeave)
}

// fire reports whether the event is allowed in the current state and was
// applied.
func (l *Lifecycle) fire(event string) bool {
	return l.machine.Event(context.Background(), event) == nil
}
