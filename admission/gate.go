// Package admission decides which calls an upstream runs, which wait for a slot
// and which are refused at once. It does no I/O: the caller waits on the
// returned Ticket.
package admission

import (
	"slices"
	"sync"
	"time"

	"lentilferry.example/lentilferry/config"
)

// Reason states why a call was refused. A refused call was not run.
type Reason string

// The reasons for refusing a call.
const (
	// ReasonDraining means that the upstream is draining.
	ReasonDraining Reason = "draining"
	// ReasonQueueFull means that the queue is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonTooLate means that the call can't complete before its deadline or
	// would exceed the longest wait of its class.
	ReasonTooLate Reason = "too-late"
	// ReasonAbandoned means that the caller gave up while the call was waiting.
	ReasonAbandoned Reason = "abandoned"
	// ReasonDisplaced means that the queue was full and the call gave up its
	// place to one that costs callers more to refuse.
	ReasonDisplaced Reason = "displaced"
)

// Result states how an admitted call ended.
type Result int

// The results of admitted calls.
const (
	// Completed means that the upstream answered.
	Completed Result = iota + 1
	// Shed means that the upstream refused the call or ran out of time. It
	// lowers the limit of an adaptive gate.
	Shed
	// NotRun means that the call was not run, for a reason unrelated to the
	// upstream's load.
	NotRun
)

// Limits bounds how many calls run and wait.
type Limits struct {
	// Slots is how many calls the upstream runs concurrently; above zero.
	Slots int
	// MaxQueue is the maximum number of waiting calls.
	MaxQueue int
	// MaxLookupWait and MaxCommandWait bound how long a call of the class
	// waits.
	MaxLookupWait  time.Duration
	MaxCommandWait time.Duration
	// ByCost orders and refuses calls by what that costs their callers; see
	// Ticket.compareByCost.
	ByCost bool
	// Adaptive lowers the concurrency limit below Slots after the upstream shed
	// calls. Use it for upstreams that also serve other clients, or whose
	// number of slots is a guess.
	Adaptive bool
}

// _maxQueuePerSlot is the maximum number of waiting calls for each slot.
const _maxQueuePerSlot = 16

// DefaultLimits returns the limits for an upstream with approximately the given
// number of slots.
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
// number of calls concurrently and serves no other clients. Its calls wait for
// as long as their deadlines allow.
func ExactLimits(slots int) Limits {
	return Limits{
		Slots:          slots,
		MaxQueue:       _maxQueuePerSlot * slots,
		MaxLookupWait:  config.MaxTimeout,
		MaxCommandWait: config.MaxTimeout,
	}
}

// Request describes a call that asks for a slot.
type Request struct {
	Class config.Class
	// Caller identifies the sender of the call. Callers take turns for slots;
	// calls without a caller take no turns.
	Caller   string
	Deadline time.Time
	// Route groups calls that take about the same time.
	Route config.RouteName
	// Workspace is empty for a call without one.
	Workspace config.WorkspaceName
	// WorkspaceRank is the priority of the call's workspace, which comes before
	// Rank; 0 is the most urgent, also for a call without a workspace.
	WorkspaceRank uint32
	// Rank is the priority of the call's route; 0 is the most urgent.
	Rank uint32
	// UsefulUntil is the time until which an answer is of full use to the
	// caller. It may be before Deadline.
	UsefulUntil time.Time
	// WorkspaceWeight is the workspace's part in the slots relative to those of
	// the same rank; 0 stands for the mean of the others. Only limits that are
	// ByCost use it.
	WorkspaceWeight float64
}

const (
	// _limitDecrease is the factor applied to the limit after the upstream shed
	// a call.
	_limitDecrease = 0.7
	// _durationSmoothing is the weight of the newest call in the moving average
	// of durations.
	_durationSmoothing = 0.1
	// _maxConsecutiveUrgent is how many calls in a row overtake a waiting call
	// of a higher level, so that none starves.
	_maxConsecutiveUrgent = 4
	// _enqueueDurationFactor times a call's expected duration must remain
	// before its deadline when it would start, or it is not queued: a run that
	// the deadline cuts off is wasted.
	_enqueueDurationFactor = 2
	// _runDurationFactor times its expected duration must remain for a waiting
	// call to be worth running, as the durations of a route's calls vary.
	_runDurationFactor = 1
	// _minCapacityShare is the share of the slots assumed to remain for a level,
	// however much work of lower levels arrives.
	_minCapacityShare = 0.1
	// _durationLifetime is how long the durations of a route are taken to hold when
	// none of its calls is run.
	_durationLifetime = 2 * time.Second
	// _maxRoutes bounds the routes whose durations are tracked.
	_maxRoutes = 1_000
)

// Gate admits the calls of one upstream. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	limits Limits
	// concurrencyLimit is how many calls may run at once, from 1 to Slots. It
	// is fractional because each completed call raises it by
	// 1/concurrencyLimit.
	concurrencyLimit float64
	// running is the number of admitted calls that were not released.
	running  int
	draining bool
	// waiting holds the waiting calls in the order of Ticket.compare.
	waiting []*Ticket
	// consecutiveUrgent counts the calls that were dequeued in a row while a
	// call of a higher level waited.
	consecutiveUrgent int
	// averageDuration is the moving average of how long calls run; 0 before the
	// first call.
	averageDuration time.Duration
	// durationByRoute holds that average by route.
	durationByRoute map[config.RouteName]time.Duration
	// measuredAt is when a call of a route last ended, or was admitted as a trial.
	measuredAt map[config.RouteName]time.Time
	// limitDecreasedAt is when concurrencyLimit was last lowered.
	limitDecreasedAt time.Time
	// ticketCount is the number of tickets issued.
	ticketCount uint64
	// demand is the recent demand by level.
	demand demand
	// shares and turns are only used by limits that are ByCost.
	shares levelShares
	turns  workspaceTurns
}

// New returns a gate with the given limits.
func New(limits Limits) *Gate {
	return &Gate{
		limits:           limits,
		concurrencyLimit: float64(limits.Slots),
		durationByRoute:  make(map[config.RouteName]time.Duration),
		measuredAt:       make(map[config.RouteName]time.Time),
		demand:           newDemand(),
		shares:           newLevelShares(),
		turns:            newWorkspaceTurns(),
	}
}

// Acquire requests a slot. An admitted call must be passed to Release; a call
// that gives up while waiting must be passed to Abandon.
func (g *Gate) Acquire(now time.Time, request Request) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{request: request, arrivedAt: now, expectedDuration: g.expectDuration(request.Route), decided: make(chan struct{})}
	t.late = now.Add(t.expectedDuration).After(request.UsefulUntil)
	t.level = levelOf(request.Rank, t.expectedDuration)
	if g.limits.ByCost {
		t.level += workspaceLevel(request.WorkspaceRank)
		t.turn = g.turns.take(now, request, t.expectedDuration)
		g.shares.recordAsked(now, t.level)
	}
	g.ticketCount++
	t.sequence = g.ticketCount
	g.demand.add(now, t.level, t.expectedDuration)
	switch {
	case g.draining:
		t.refuse(ReasonDraining)
	case now.Add(t.expectedDuration).After(request.Deadline) && !g.beginTrial(now, t):
		t.refuse(ReasonTooLate)
	case g.hasFreeSlot() && len(g.waiting) == 0:
		g.admit(now, t)
	case len(g.waiting) >= g.limits.MaxQueue && !g.displaceLast(t):
		t.retryAfter = g.estimateWait(len(g.waiting))
		t.refuse(ReasonQueueFull)
	default:
		g.enqueue(now, t)
	}
	return t
}

// beginTrial reports whether a call that is expected to run beyond its deadline is
// admitted all the same, because nothing has shown for a while that this is still
// so. Without trials, a route all of whose calls are refused would stay refused.
func (g *Gate) beginTrial(now time.Time, t *Ticket) bool {
	if !g.hasFreeSlot() || len(g.waiting) > 0 || now.Sub(g.measuredAt[t.request.Route]) < _durationLifetime {
		return false
	}
	t.isTrial = true
	g.recordMeasured(now, t.request.Route)
	return true
}

func (g *Gate) recordMeasured(now time.Time, route config.RouteName) {
	if _, known := g.measuredAt[route]; known || len(g.measuredAt) < _maxRoutes {
		g.measuredAt[route] = now
	}
}

// enqueue inserts a call among the waiting ones, and refuses the calls, this
// one or others behind it, that can no longer meet their deadlines. A call that
// can't be answered while its answer is of full use waits behind those that
// can. Under lasting overload this serves as many calls as first come, first
// served, and more of them in time.
func (g *Gate) enqueue(now time.Time, t *Ticket) {
	t.callerBacklog = g.countWaiting(t.request.Caller)
	position, wait := g.findPosition(now, t)
	if !t.late && now.Add(wait+t.expectedDuration).After(t.request.UsefulUntil) {
		t.late = true
		position, wait = g.findPosition(now, t)
	}
	minTime := wait + time.Duration(_enqueueDurationFactor*float64(t.expectedDuration))
	if wait > g.maxWait(t.request.Class) || now.Add(minTime).After(t.request.Deadline) {
		t.retryAfter = wait
		t.refuse(ReasonTooLate)
		return
	}
	g.waiting = slices.Insert(g.waiting, position, t)
	g.refuseInfeasible(now, position+1)
}

// findPosition returns a call's position among the waiting ones and its
// expected wait.
func (g *Gate) findPosition(now time.Time, t *Ticket) (int, time.Duration) {
	position, _ := slices.BinarySearchFunc(g.waiting, t, g.compare)
	return position, g.estimateContendedWait(now, position, t)
}

// refuseInfeasible refuses the waiting calls at or behind a position that were
// overtaken and can no longer meet their deadlines.
func (g *Gate) refuseInfeasible(now time.Time, from int) {
	for i := from; i < len(g.waiting); i++ {
		t := g.waiting[i]
		wait := g.estimateWait(i)
		if g.limits.ByCost && g.shares.isStarved(now, t.level) {
			wait = g.estimateWait(g.countAhead(i, t.level))
		}
		if !now.Add(wait + time.Duration(_runDurationFactor*float64(t.expectedDuration))).After(t.request.Deadline) {
			continue
		}
		g.waiting = slices.Delete(g.waiting, i, i+1)
		i--
		t.retryAfter = wait
		t.refuse(ReasonTooLate)
	}
}

// countWaiting returns how many calls of a caller wait, 0 for an empty caller.
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

// estimateWait returns how long the call at a position is expected to wait.
func (g *Gate) estimateWait(position int) time.Duration {
	excess := float64(g.running) - g.concurrencyLimit
	return time.Duration(max(0, excess+float64(position)+1) / g.concurrencyLimit * float64(g.averageDuration))
}

// estimateContendedWait is like estimateWait, and allows for the calls still to
// arrive that will overtake this one.
func (g *Gate) estimateContendedWait(now time.Time, position int, t *Ticket) time.Duration {
	if g.limits.ByCost && g.shares.isStarved(now, t.level) {
		return g.estimateWait(g.countAhead(position, t.level))
	}
	busy := g.demand.slotsBelow(now, t.level)
	if t.late {
		busy = g.demand.slotsBelow(now, t.level+1)
	}
	capacityShare := max(_minCapacityShare, 1-busy/g.concurrencyLimit)
	return time.Duration(float64(g.estimateWait(position)) / capacityShare)
}

// expectDuration returns how long a call of a route is expected to run: the
// route's average or, if that is unknown, the average of all calls; 0 before
// the first call.
func (g *Gate) expectDuration(route config.RouteName) time.Duration {
	if duration, ok := g.durationByRoute[route]; ok {
		return duration
	}
	return g.averageDuration
}

func (g *Gate) hasFreeSlot() bool {
	return g.running < int(g.concurrencyLimit)
}

func (g *Gate) admit(now time.Time, t *Ticket) {
	if g.limits.ByCost {
		g.shares.recordServed(now, t.level)
	}
	g.running++
	t.startedAt = now
	close(t.decided)
}

// Release returns an admitted call's slot and records how the call ended.
func (g *Gate) Release(now time.Time, t *Ticket, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if result != NotRun {
		g.recordResult(now, t, result)
	}
	g.admitWaiting(now)
}

// recordResult updates the average durations and, on an adaptive gate, the
// concurrency limit: additive increase on success, multiplicative decrease at
// most once per average duration when calls are shed.
func (g *Gate) recordResult(now time.Time, t *Ticket, result Result) {
	duration := now.Sub(t.startedAt)
	g.recordMeasured(now, t.request.Route)
	if t.isTrial {
		g.forgetDuration(t.request.Route)
	}
	g.averageDuration = updateAverage(g.averageDuration, duration)
	if _, known := g.durationByRoute[t.request.Route]; known || len(g.durationByRoute) < _maxRoutes {
		g.durationByRoute[t.request.Route] = updateAverage(g.durationByRoute[t.request.Route], duration)
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

// forgetDuration clears the average by which calls of a route were expected to run
// beyond their deadlines. That of all calls stays if the route has its own, as others
// may be fast.
func (g *Gate) forgetDuration(route config.RouteName) {
	if _, known := g.durationByRoute[route]; known {
		g.durationByRoute[route] = 0
		return
	}
	g.averageDuration = 0
}

// updateAverage returns the moving average with one more value.
func updateAverage(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + time.Duration(_durationSmoothing*float64(value-average))
}

// admitWaiting admits waiting calls to the free slots, and refuses those that
// can no longer meet their deadlines.
func (g *Gate) admitWaiting(now time.Time) {
	for g.hasFreeSlot() && len(g.waiting) > 0 {
		g.demoteLate(now)
		t := g.dequeue(now)
		infeasible := now.Add(time.Duration(_runDurationFactor * float64(t.expectedDuration))).After(t.request.Deadline)
		if infeasible || now.Sub(t.arrivedAt) > g.maxWait(t.request.Class) {
			t.refuse(ReasonTooLate)
			continue
		}
		g.admit(now, t)
	}
}

// demoteLate moves calls back that have waited too long to be answered while
// their answers are of full use.
func (g *Gate) demoteLate(now time.Time) {
	demoted := false
	for _, t := range g.waiting {
		if !t.late && now.Add(t.expectedDuration).After(t.request.UsefulUntil) {
			t.late = true
			demoted = true
		}
	}
	if demoted {
		slices.SortFunc(g.waiting, g.compare)
	}
}

// dequeue removes and returns the next call to run. The lowest level goes first,
// but after _maxConsecutiveUrgent of its calls one of a higher level does. With
// limits that are ByCost, the first call goes, but for those of findStarved.
func (g *Gate) dequeue(now time.Time) *Ticket {
	position := 0
	level := g.waiting[0].level
	if g.limits.ByCost {
		position = g.findStarved(now)
		t := g.waiting[position]
		g.waiting = slices.Delete(g.waiting, position, position+1)
		return t
	}
	lessUrgent := slices.IndexFunc(g.waiting, func(t *Ticket) bool { return t.level > level })
	switch {
	case lessUrgent < 0:
		g.consecutiveUrgent = 0
	case g.consecutiveUrgent >= _maxConsecutiveUrgent:
		position = lessUrgent
		g.consecutiveUrgent = 0
	default:
		g.consecutiveUrgent++
	}
	t := g.waiting[position]
	g.waiting = slices.Delete(g.waiting, position, position+1)
	return t
}

// Abandon removes a waiting call and reports whether it was still waiting. If
// not, the call was admitted or refused in the meantime; an admitted one must
// be passed to Release.
func (g *Gate) Abandon(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	position := slices.Index(g.waiting, t)
	if position < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, position, position+1)
	t.refuse(ReasonAbandoned)
	return true
}

// MaxWait returns the longest time that a call of a class waits.
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

// Expire refuses the waiting calls that reached their deadline or the longest
// wait of their class.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = slices.DeleteFunc(g.waiting, func(t *Ticket) bool {
		expired := now.After(t.request.Deadline) || now.Sub(t.arrivedAt) >= g.maxWait(t.request.Class)
		if expired {
			t.refuse(ReasonTooLate)
		}
		return expired
	})
}

// Drain refuses all waiting and all new calls. Running calls continue.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, t := range g.waiting {
		t.refuse(ReasonDraining)
	}
	g.waiting = nil
}

// Resume ends draining: new calls are admitted again.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = false
}

// SetLimits replaces the limits and, if they changed, resets the concurrency
// limit to the number of slots.
func (g *Gate) SetLimits(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limits == g.limits {
		return
	}
	reordered := limits.ByCost != g.limits.ByCost
	g.limits = limits
	g.concurrencyLimit = float64(limits.Slots)
	if reordered {
		slices.SortFunc(g.waiting, g.compare)
	}
}

// Load describes how busy an upstream is.
type Load struct {
	Running int
	Waiting int
	// Limit is how many calls may currently run at once.
	Limit int
	// AverageDuration is how long a call runs on average; 0 before the first
	// call.
	AverageDuration time.Duration
}

// Load returns how busy the upstream is.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Running: g.running, Waiting: len(g.waiting), Limit: int(g.concurrencyLimit), AverageDuration: g.averageDuration}
}
