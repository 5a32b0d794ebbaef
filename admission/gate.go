// Package admission decides which calls an upstream runs, which wait for a
// slot and which are refused at once. It does no I/O: the caller waits on the
// ticket it is given.
package admission

import (
	"slices"
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
	// Completed means that the upstream answered.
	Completed Result = iota + 1
	// Shed means that the upstream refused the call or ran out of time.
	Shed
	// NotRun means that the call was not run, for a reason that says nothing
	// of the upstream's load.
	NotRun
)

// Limits bounds what runs and waits.
type Limits struct {
	// Slots is how many calls the upstream runs at once; above zero.
	Slots int
	// MaxQueue is how many calls wait at most.
	MaxQueue int
	// MaxLookupWait and CommandWait are how long a call of the class waits at
	// most.
	MaxLookupWait  time.Duration
	MaxCommandWait time.Duration
	// Adaptive makes the gate run fewer calls than there are slots after the
	// upstream shed some. It is for upstreams that also serve others, or whose
	// slots are a guess.
	Adaptive bool
}

// _maxQueuePerSlot is how many calls wait at most for each slot.
const _maxQueuePerSlot = 16

// DefaultLimits returns the limits for an upstream with about the given slots.
func DefaultLimits(slots int) Limits {
	return Limits{
		Slots:          slots,
		MaxQueue:       _maxQueuePerSlot * slots,
		MaxLookupWait:  500 * time.Millisecond,
		MaxCommandWait: 10 * time.Second,
		Adaptive:       true,
	}
}

// ExactLimits returns the limits for an upstream that runs exactly the given
// number of calls at once and serves nobody else: a call waits as long as its
// deadline allows.
func ExactLimits(slots int) Limits {
	return Limits{
		Slots:          slots,
		MaxQueue:       _maxQueuePerSlot * slots,
		MaxLookupWait:  config.MaxTimeout,
		MaxCommandWait: config.MaxTimeout,
	}
}

// Request is a call that asks for a slot.
type Request struct {
	Class config.Class
	// Caller groups the calls between which slots are shared fairly; empty for
	// calls that are not.
	Caller   string
	Deadline time.Time
	// Route names the calls that take about as long as each other.
	Route config.RouteName
	// Rank orders calls by urgency; 0 is the most urgent.
	Rank uint32
	// UsefulUntil is until when an answer is of full use to the caller.
	UsefulUntil time.Time
}

const (
	// _limitDecrease is what is left of the limit after the upstream shed a call.
	_limitDecrease = 0.7
	// _durationSmoothing is the weight of the newest call in the average time.
	_durationSmoothing = 0.1
	// _maxConsecutiveUrgent is how many calls go before a waiting one of a lower rank,
	// so that none starves.
	_maxConsecutiveUrgent = 4
	// _enqueueDurationFactor is how many times its usual time is to be left for a call that
	// waits: the run of one that its deadline ends is wasted.
	_enqueueDurationFactor = 2
	// _runDurationFactor is the part of a call's usual time that must be left for it to
	// be worth running: calls of a route differ.
	_runDurationFactor = 1
	// _minCapacityShare is the part of the slots that is taken to be left for a rank
	// however much more urgent work comes.
	_minCapacityShare = 0.1
	// _maxRoutes bounds the routes whose times are remembered.
	_maxRoutes = 1_000
)

// Gate admits the calls of one upstream. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	limits Limits
	// concurrencyLimit is how many calls run at once; from 1 to Slots.
	concurrencyLimit float64
	// running is the number of admitted calls that have not left.
	running  int
	draining bool
	// waiting holds the calls that wait, in the order of their turns.
	waiting []*Ticket
	// consecutiveUrgent counts the calls admitted since one of a lower rank was.
	consecutiveUrgent int
	// averageDuration is the moving averageDuration of the time a call takes; 0 at first.
	averageDuration time.Duration
	// durationByRoute holds that average for each route.
	durationByRoute map[config.RouteName]time.Duration
	// limitDecreasedAt is when the limit was last lowered.
	limitDecreasedAt time.Time
	// ticketCount counts the calls that came.
	ticketCount uint64
	// demand is what is asked of the upstream by urgency.
	demand demand
}

// New returns a gate with the given limits.
func New(limits Limits) *Gate {
	return &Gate{limits: limits, concurrencyLimit: float64(limits.Slots), durationByRoute: make(map[config.RouteName]time.Duration), demand: newDemand()}
}

// Acquire asks for a slot. An admitted call must Leave; one that gives up while
// it waits must Abandon.
func (g *Gate) Acquire(now time.Time, request Request) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{request: request, arrivedAt: now, expectedDuration: g.expectDuration(request.Route), decided: make(chan struct{})}
	t.late = now.Add(t.expectedDuration).After(request.UsefulUntil)
	g.ticketCount++
	t.sequence = g.ticketCount
	g.demand.add(now, request.Rank, t.expectedDuration)
	switch {
	case g.draining:
		t.refuse(ReasonDraining)
	case now.Add(t.expectedDuration).After(request.Deadline):
		t.refuse(ReasonTooLate)
	case g.hasFreeSlot() && len(g.waiting) == 0:
		g.admit(now, t)
	case len(g.waiting) >= g.limits.MaxQueue:
		t.retryAfter = g.estimateWait(len(g.waiting))
		t.refuse(ReasonQueueFull)
	default:
		g.enqueue(now, t)
	}
	return t
}

// enqueue gives a call its place among those that wait, and refuses those, this
// one or others behind it, that can no longer be done in time. A call that
// can't be done while it is of full use waits behind those that can: under
// lasting overload that serves as many calls, and more of them in time, than
// the order of their coming.
func (g *Gate) enqueue(now time.Time, t *Ticket) {
	t.callerBacklog = g.countWaiting(t.request.Caller)
	place, start := g.findPosition(now, t)
	if !t.late && now.Add(start+t.expectedDuration).After(t.request.UsefulUntil) {
		t.late = true
		place, start = g.findPosition(now, t)
	}
	need := start + time.Duration(_enqueueDurationFactor*float64(t.expectedDuration))
	if start > g.maxWait(t.request.Class) || now.Add(need).After(t.request.Deadline) {
		t.retryAfter = start
		t.refuse(ReasonTooLate)
		return
	}
	g.waiting = slices.Insert(g.waiting, place, t)
	g.refuseInfeasible(now, place+1)
}

// findPosition returns a call's place among those that wait, and when it begins.
func (g *Gate) findPosition(now time.Time, t *Ticket) (int, time.Duration) {
	place, _ := slices.BinarySearchFunc(g.waiting, t, (*Ticket).compare)
	return place, g.estimateContendedWait(now, place, t)
}

// refuseInfeasible refuses the calls from a place on that others went before, and that
// have no hope left.
func (g *Gate) refuseInfeasible(now time.Time, from int) {
	for i := from; i < len(g.waiting); i++ {
		t := g.waiting[i]
		start := g.estimateWait(i)
		if !now.Add(start + time.Duration(_runDurationFactor*float64(t.expectedDuration))).After(t.request.Deadline) {
			continue
		}
		g.waiting = slices.Delete(g.waiting, i, i+1)
		i--
		t.retryAfter = start
		t.refuse(ReasonTooLate)
	}
}

// countWaiting returns how many calls of a caller wait.
func (g *Gate) countWaiting(caller string) int {
	if caller == "" {
		return 0
	}
	count := 0
	for _, t := range g.waiting {
		if t.request.Caller == caller {
			count++
		}
	}
	return count
}

// estimateWait estimates when the call at a place among those that wait begins.
func (g *Gate) estimateWait(place int) time.Duration {
	free := float64(g.running) - g.concurrencyLimit
	return time.Duration(max(0, free+float64(place)+1) / g.concurrencyLimit * float64(g.averageDuration))
}

// estimateContendedWait estimates when a call at a place among those that wait begins,
// given that calls go on coming that go before it.
func (g *Gate) estimateContendedWait(now time.Time, place int, t *Ticket) time.Duration {
	before := g.demand.slotsAbove(now, t.request.Rank)
	if t.late {
		before = g.demand.slotsAbove(now, t.request.Rank+1)
	}
	left := max(_minCapacityShare, 1-before/g.concurrencyLimit)
	return time.Duration(float64(g.estimateWait(place)) / left)
}

// expectDuration returns how long a call of a route usually runs, 0 before the first
// call.
func (g *Gate) expectDuration(route config.RouteName) time.Duration {
	if work, ok := g.durationByRoute[route]; ok {
		return work
	}
	return g.averageDuration
}

func (g *Gate) hasFreeSlot() bool {
	return g.running < int(g.concurrencyLimit)
}

func (g *Gate) admit(now time.Time, t *Ticket) {
	g.running++
	t.startedAt = now
	close(t.decided)
}

// Release gives an admitted call's slot back.
func (g *Gate) Release(now time.Time, t *Ticket, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if result != NotRun {
		g.recordResult(now, t, result)
	}
	g.admitWaiting(now)
}

func (g *Gate) recordResult(now time.Time, t *Ticket, result Result) {
	took := now.Sub(t.startedAt)
	g.averageDuration = updateAverage(g.averageDuration, took)
	if _, known := g.durationByRoute[t.request.Route]; known || len(g.durationByRoute) < _maxRoutes {
		g.durationByRoute[t.request.Route] = updateAverage(g.durationByRoute[t.request.Route], took)
	}
	if !g.limits.Adaptive {
		return
	}
	if result == Completed {
		g.concurrencyLimit = min(float64(g.limits.Slots), g.concurrencyLimit+1/g.concurrencyLimit)
		return
	}
	if now.Sub(g.limitDecreasedAt) >= g.averageDuration {
		g.concurrencyLimit = max(1, g.concurrencyLimit*_limitDecrease)
		g.limitDecreasedAt = now
	}
}

// updateAverage returns a moving average after one more value.
func updateAverage(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + time.Duration(_durationSmoothing*float64(value-average))
}

// admitWaiting admits waiting calls to the free slots and refuses those that can no
// longer be done in time.
func (g *Gate) admitWaiting(now time.Time) {
	for g.hasFreeSlot() && len(g.waiting) > 0 {
		g.demoteLate(now)
		t := g.dequeue()
		hopeless := now.Add(time.Duration(_runDurationFactor * float64(t.expectedDuration))).After(t.request.Deadline)
		if hopeless || now.Sub(t.arrivedAt) > g.maxWait(t.request.Class) {
			t.refuse(ReasonTooLate)
			continue
		}
		g.admit(now, t)
	}
}

// demoteLate puts calls behind that have waited until they were late.
func (g *Gate) demoteLate(now time.Time) {
	demoted := false
	for _, t := range g.waiting {
		if !t.late && now.Add(t.expectedDuration).After(t.request.UsefulUntil) {
			t.late = true
			demoted = true
		}
	}
	if demoted {
		slices.SortFunc(g.waiting, (*Ticket).compare)
	}
}

// dequeue takes out the call whose turn it is.
func (g *Gate) dequeue() *Ticket {
	place := 0
	first := g.waiting[0].request.Rank
	lower := slices.IndexFunc(g.waiting, func(t *Ticket) bool { return t.request.Rank > first })
	switch {
	case lower < 0:
		g.consecutiveUrgent = 0
	case g.consecutiveUrgent >= _maxConsecutiveUrgent:
		place = lower
		g.consecutiveUrgent = 0
	default:
		g.consecutiveUrgent++
	}
	t := g.waiting[place]
	g.waiting = slices.Delete(g.waiting, place, place+1)
	return t
}

// Abandon takes a waiting call out of the queue and reports whether it was
// still waiting. Otherwise it was decided meanwhile; if admitted, it must
// Leave.
func (g *Gate) Abandon(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	place := slices.Index(g.waiting, t)
	if place < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, place, place+1)
	t.refuse(ReasonAbandoned)
	return true
}

// MaxWait returns how long a call of a class waits at most.
func (g *Gate) MaxWait(class config.Class) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.maxWait(class)
}

func (g *Gate) maxWait(class config.Class) time.Duration {
	if class == config.ClassCommand {
		return g.limits.MaxCommandWait
	}
	return g.limits.MaxLookupWait
}

// Expire refuses the waiting calls whose time is over.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(t *Ticket) bool {
		over := now.After(t.request.Deadline) || now.Sub(t.arrivedAt) >= g.maxWait(t.request.Class)
		if over {
			t.refuse(ReasonTooLate)
		}
		return over
	})
}

// Drain refuses all waiting and all new calls. Those that run go on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, t := range g.waiting {
		t.refuse(ReasonDraining)
	}
	g.waiting = nil
}

// Resume admits calls again after Drain.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = false
}

// Resize sets how many calls the upstream runs at once.
func (g *Gate) Resize(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limits == g.limits {
		return
	}
	g.limits = limits
	g.concurrencyLimit = float64(limits.Slots)
}

// Load is how busy an upstream is.
type Load struct {
	Running int
	Waiting int
	// Limit is how many calls run at once at present.
	Limit int
	// AverageDuration is how long a call runs on average; 0 before the first.
	AverageDuration time.Duration
}

// Load returns how busy the upstream is.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Running: g.running, Waiting: len(g.waiting), Limit: int(g.concurrencyLimit), AverageDuration: g.averageDuration}
}
