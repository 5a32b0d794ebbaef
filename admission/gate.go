// Package admission decides which calls an upstream runs, which wait for a
// slot and which are refused at once. It does no I/O: the caller waits on the
// ticket it is given.
package admission

import (
	"container/list"
	"sync"
	"time"

	"lentilferry.example/lentilferry/config"
)

// Reason tells why a call was refused. A refused call was not run.
type Reason string

// The reasons for refusals.
const (
	// ReasonDraining means that the upstream is leaving.
	ReasonDraining Reason = "draining"
	// ReasonQueueFull means that the queue of the call's class is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonTooLate means that the call can't be done within its deadline.
	ReasonTooLate Reason = "too-late"
	// ReasonAbandoned means that the caller gave up while the call waited.
	ReasonAbandoned Reason = "abandoned"
)

// Result tells how an admitted call ended.
type Result int

// The results of admitted calls.
const (
	// Done means that the upstream answered.
	Done Result = iota + 1
	// Shed means that the upstream refused the call or ran out of time.
	Shed
	// Refused means that the call was not run, for a reason that says nothing
	// of the upstream's load.
	Refused
)

// Limits bounds what waits for an upstream.
type Limits struct {
	// Slots is how many calls the upstream runs at once; above zero.
	Slots int
	// Lookup bounds the queue of lookups.
	Lookup QueueLimits
	// Command bounds the queue of commands.
	Command QueueLimits
}

// QueueLimits bounds the queue of one class.
type QueueLimits struct {
	// Length is how many calls wait at most.
	Length int
	// Wait is how long a call waits at most.
	Wait time.Duration
}

// DefaultLimits returns the limits for an upstream with the given slots.
func DefaultLimits(slots int) Limits {
	return Limits{
		Slots:   slots,
		Lookup:  QueueLimits{Length: 4 * slots, Wait: 500 * time.Millisecond},
		Command: QueueLimits{Length: 16 * slots, Wait: 10 * time.Second},
	}
}

// Request is a call that asks for a slot.
type Request struct {
	Class config.Class
	// Caller groups the calls between which slots are shared fairly.
	Caller   string
	Deadline time.Time
	// Route names the calls that take about as long as each other.
	Route config.RouteName
	// Rank orders calls by urgency; 0 is the most urgent.
	Rank uint32
	// Useful is until when an answer is of full use to the caller.
	Useful time.Time
}

const (
	// _decrease is what is left of the limit after the upstream shed a call.
	_decrease = 0.7
	// _averageWeight is the weight of the newest call in the average time.
	_averageWeight = 0.1
	// _commandsInARow is how many commands go before a waiting lookup.
	_commandsInARow = 3
)

// Gate admits the calls of one upstream. It is safe for concurrent use.
type Gate struct {
	limits Limits

	mu sync.Mutex
	// limit is how many calls run at once; from 1 to Slots.
	limit float64
	// running is the number of admitted calls that have not left.
	running  int
	draining bool
	lookups  *queue
	commands *queue
	// commandsRow counts the commands admitted since the last lookup.
	commandsRow int
	// average is the moving average of the time a call takes; 0 at first.
	average time.Duration
	// decreased is when the limit was last lowered.
	decreased time.Time
}

// New returns a gate with the given limits.
func New(limits Limits) *Gate {
	return &Gate{
		limits:   limits,
		limit:    float64(limits.Slots),
		lookups:  newQueue(limits.Lookup),
		commands: newQueue(limits.Command),
	}
}

// Ticket is a call's place at the gate.
type Ticket struct {
	request Request
	entered time.Time
	started time.Time
	// decided is closed when the call was admitted or refused.
	decided chan struct{}
	// reason is empty for an admitted call; set before decided is closed.
	reason  Reason
	element *list.Element
	// retryAfter is when a refused call would find room; 0 when not known.
	retryAfter time.Duration
}

// Decided returns a channel that is closed when the call was admitted or
// refused.
func (t *Ticket) Decided() <-chan struct{} {
	return t.decided
}

// Reason returns why the call was refused, empty when it was admitted. It may
// be called after Decided was closed.
func (t *Ticket) Reason() Reason {
	return t.reason
}

// RetryAfter returns when a refused call would find room, 0 when that is not
// known. It may be called after Decided was closed.
func (t *Ticket) RetryAfter() time.Duration {
	return t.retryAfter
}

func (t *Ticket) refuse(reason Reason) {
	t.reason = reason
	close(t.decided)
}

// Enter asks for a slot. An admitted call must Leave; one that gives up while
// it waits must Abandon.
func (g *Gate) Enter(now time.Time, request Request) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket := &Ticket{request: request, entered: now, decided: make(chan struct{})}
	q := g.queue(request.Class)
	switch {
	case g.draining:
		ticket.refuse(ReasonDraining)
	case now.Add(g.average).After(request.Deadline):
		ticket.refuse(ReasonTooLate)
	case g.hasSlot() && g.waiting() == 0:
		g.admit(now, ticket)
	case q.length >= q.limits.Length:
		ticket.refuse(ReasonQueueFull)
	case g.expectedWait(request.Class) > g.patience(now, request):
		ticket.refuse(ReasonTooLate)
	default:
		q.push(ticket)
	}
	return ticket
}

// patience is how long the call can wait and still be done in time.
func (g *Gate) patience(now time.Time, request Request) time.Duration {
	return min(request.Deadline.Sub(now)-g.average, g.queue(request.Class).limits.Wait)
}

// expectedWait estimates how long a call that is queued now waits.
func (g *Gate) expectedWait(class config.Class) time.Duration {
	ahead := g.commands.length
	if class == config.ClassLookup {
		ahead = g.lookups.length + min(g.commands.length, _commandsInARow*(g.lookups.length+1))
	}
	return time.Duration(float64(g.average) * float64(ahead+1) / g.limit)
}

func (g *Gate) queue(class config.Class) *queue {
	if class == config.ClassCommand {
		return g.commands
	}
	return g.lookups
}

func (g *Gate) waiting() int {
	return g.lookups.length + g.commands.length
}

func (g *Gate) hasSlot() bool {
	return g.running < int(g.limit)
}

func (g *Gate) admit(now time.Time, ticket *Ticket) {
	g.running++
	ticket.started = now
	close(ticket.decided)
}

// Leave gives an admitted call's slot back.
func (g *Gate) Leave(now time.Time, ticket *Ticket, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if result != Refused {
		g.learn(now, now.Sub(ticket.started), result)
	}
	g.fill(now)
}

func (g *Gate) learn(now time.Time, took time.Duration, result Result) {
	if g.average == 0 {
		g.average = took
	}
	g.average += time.Duration(_averageWeight * float64(took-g.average))
	if result == Done {
		g.limit = min(float64(g.limits.Slots), g.limit+1/g.limit)
		return
	}
	if now.Sub(g.decreased) >= g.average {
		g.limit = max(1, g.limit*_decrease)
		g.decreased = now
	}
}

// fill admits waiting calls to the free slots and refuses those that can no
// longer be done in time.
func (g *Gate) fill(now time.Time) {
	for g.hasSlot() {
		ticket := g.next()
		if ticket == nil {
			return
		}
		late := now.Add(g.average).After(ticket.request.Deadline)
		if late || now.Sub(ticket.entered) > g.queue(ticket.request.Class).limits.Wait {
			ticket.refuse(ReasonTooLate)
			continue
		}
		g.admit(now, ticket)
	}
}

func (g *Gate) next() *Ticket {
	lookupsTurn := g.lookups.length > 0 && g.commandsRow >= _commandsInARow
	if g.commands.length > 0 && !lookupsTurn {
		g.commandsRow++
		return g.commands.pop()
	}
	g.commandsRow = 0
	return g.lookups.pop()
}

// Abandon takes a waiting call out of the queue and reports whether it was
// still waiting. Otherwise it was decided meanwhile; if admitted, it must
// Leave.
func (g *Gate) Abandon(ticket *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-ticket.decided:
		return false
	default:
	}
	g.queue(ticket.request.Class).remove(ticket)
	ticket.refuse(ReasonAbandoned)
	return true
}

// LongestWait returns how long a call of a class waits at most.
func (g *Gate) LongestWait(class config.Class) time.Duration {
	return g.queue(class).limits.Wait
}

// Expire refuses the waiting calls whose time is over.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, q := range []*queue{g.lookups, g.commands} {
		for _, ticket := range q.tickets() {
			if now.After(ticket.request.Deadline) || now.Sub(ticket.entered) >= q.limits.Wait {
				q.remove(ticket)
				ticket.refuse(ReasonTooLate)
			}
		}
	}
}

// Drain refuses all waiting and all new calls. Those that run go on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, q := range []*queue{g.lookups, g.commands} {
		for ticket := q.pop(); ticket != nil; ticket = q.pop() {
			ticket.refuse(ReasonDraining)
		}
	}
}

// Resume admits calls again after Drain.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = false
}

// Resize sets how many calls the upstream runs at once.
func (g *Gate) Resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slots == g.limits.Slots {
		return
	}
	g.limits = DefaultLimits(slots)
	g.limit = float64(slots)
	g.lookups.limits = g.limits.Lookup
	g.commands.limits = g.limits.Command
}

// Load is how busy an upstream is.
type Load struct {
	Running int
	Waiting int
	// Limit is how many calls run at once at present.
	Limit int
	// Work is how long a call runs on average; 0 before the first.
	Work time.Duration
}

// Load returns how busy the upstream is.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Running: g.running, Waiting: g.waiting(), Limit: int(g.limit), Work: g.average}
}
