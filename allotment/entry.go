package allotment

import (
	"sync"
	"time"

	"lentilferry.example/lentilferry/config"
)

const (
	// _minRetryAfter is the least time after which a refused caller is asked to
	// come back. Tokens that return sooner go to calls that arrive anyway.
	_minRetryAfter = 50 * time.Millisecond
	// _growth is the factor by which the calls of a workspace that isn't scarce
	// may grow at one node before the holder knows of it, and _calmDepth the time
	// over which the calls of its share may come at once. They allow for callers
	// that move between nodes, and for a jump on all nodes of 3.1 s of the rate
	// until fixed shares are in force, which is what the limits leave.
	_growth    = 2
	_calmDepth = 600 * time.Millisecond
	// _minCalmDepth is the number of calls of a workspace that isn't scarce that
	// a node may admit at once. Small workspaces have a share of less than one.
	_minCalmDepth = 4
	// _carefulAfter is the age of a state from which on a node admits little more
	// than usual. Without faults, a newer state comes within 600 ms.
	_carefulAfter = 700 * time.Millisecond
	// _smallStaleAfter replaces StaleAfter where a node's share is less than
	// _minWindowShare, so that nothing else bounds what it admits.
	_smallStaleAfter = 1050 * time.Millisecond
	// _minWindowShare is the number of calls in a window from which on a node's
	// share bounds what it admits while no newer state comes. Demand for smaller
	// shares is too uneven for that.
	_minWindowShare = 2
	// _scarceGrowth, _scarceDepth and _minScarceDepth are the same for a scarce
	// workspace: the factor, which applies while all its calls are admitted, the
	// time over which calls may come at once, and the least number of calls, which
	// is doubled while all are admitted.
	// Together, 72 nodes then admit 1.1 s of the rate within half a second of a
	// jump.
	_scarceGrowth   = 1.15
	_scarceDepth    = 350 * time.Millisecond
	_minScarceDepth = 1.5
	// _refusalEnd is how long no call of a workspace was refused when its refusal
	// counts as ended.
	_refusalEnd = 2 * time.Second
)

// fixedShare is a node's part of the allotment of a workspace while it doesn't
// hear from the holder: one call for each interval, which can be used within
// the validity. All nodes together then hold rate x validity unused calls on
// average, however small the share of each is.
type fixedShare struct {
	interval, validity time.Duration
	// rate is the number of calls per second, and perWindow the number in a
	// window, with the part of the burst.
	rate, perWindow float64
}

// entry is what a node knows of one workspace.
type entry struct {
	id WorkspaceID

	mu sync.Mutex
	counter
	limits config.Workspace
	fixed  fixedShare

	// fraction is the fraction of the calls that may be admitted, at most
	// _scarceFraction.
	fraction float64
	// credit grows by fraction with each call. A call is admitted if it is at
	// least 1. It starts at a random value, so that few calls at many nodes are
	// admitted in the right proportion.
	credit float64
	// tokens bound the calls that are admitted before the holder learns of them.
	// They return at rate up to depth.
	tokens, rate, depth float64
	tokensAt            time.Time
	// usual is the smoothed number of calls asked for per second, reportedUsual
	// its value before the last report, and basis the one that the newest state
	// is based on.
	usual, reportedUsual, basis float64
	// askedAtReport is counter.asked at the last report. When jumpAt calls have
	// been asked for since, demand has jumped.
	askedAtReport, jumpAt uint64

	// phase is the offset of the intervals of the fixed share, as a fraction.
	phase float64
	// nextFixed is the time of the oldest call of the fixed share that is unused.
	nextFixed time.Time
	// byFixed is set if the last call was admitted by the fixed share.
	byFixed bool

	// refusedAt is when a call was last refused, and refusing is set from the
	// first refusal until there was none for _refusalEnd.
	refusedAt time.Time
	refusing  bool
}

func newEntry(name config.WorkspaceName, now time.Time, random func() float64) *entry {
	return &entry{id: IDOf(name), fraction: _scarceFraction, credit: random(), phase: random(), tokens: _minCalmDepth, tokensAt: now, nextFixed: now, jumpAt: _minJump}
}

// setLimits sets the limits of the workspace. Those of fixed shares apply at
// once, the others with the next state of the holder.
func (e *entry) setLimits(now time.Time, w config.Workspace, fixed fixedShare) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limits.Rate == w.Rate && e.limits.Burst == w.Burst {
		return
	}
	e.limits, e.fixed = w, fixed
	e.refill(now)
	e.setGuard(false)
}

// take decides on one call. If it is refused, wait is the expected time until
// the next one is admitted. The result jumped is set once for each jump of
// demand.
func (e *entry) take(now time.Time, freshUntil int64, window time.Duration) (ok bool, wait time.Duration, jumped bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	jumped = e.asked-e.askedAtReport == e.jumpAt
	staleAt := time.Unix(0, freshUntil)
	if e.fixed.perWindow < _minWindowShare {
		staleAt = staleAt.Add(_smallStaleAfter - StaleAfter)
	}
	switch left := time.Duration(freshUntil - now.UnixNano()); {
	case !now.Before(staleAt):
		ok, wait = e.takeFixed(now, staleAt, window)
	case left <= StaleAfter-_carefulAfter:
		ok, wait = e.takeCarefully(now, window)
	default:
		ok, wait = e.takeShared(now)
	}
	if !ok {
		e.refusedAt = now
		return false, wait, jumped
	}
	e.admitted++
	e.ring.add(now, window, 1)
	e.byFixed = !now.Before(staleAt)
	return true, 0, jumped
}

// takeShared decides by the state of the holder.
func (e *entry) takeShared(now time.Time) (ok bool, wait time.Duration) {
	e.refill(now)
	credit := e.credit + min(1, e.fraction)
	if credit < 1 && e.belowShare() {
		// Demand has fallen since the state was determined.
		credit = 1
	}
	if credit < 1 {
		e.credit = credit
		if e.fraction <= 0 {
			return false, 2 * _repayTime
		}
		// Until a call is admitted, others come as usual.
		return false, seconds((1 - credit) / (e.fraction * max(e.usual, 1)))
	}
	if e.tokens < 1 {
		return false, seconds((1 - e.tokens) / max(e.rate, 1/_repayTime.Seconds()))
	}
	e.credit = credit - 1
	e.tokens--
	return true, 0
}

// takeCarefully decides by a state that should have been replaced by a newer one.
func (e *entry) takeCarefully(now time.Time, window time.Duration) (ok bool, wait time.Duration) {
	if e.fraction >= 1 {
		// As if the workspace had just become scarce.
		e.refill(now)
		e.fraction = 1
		e.setGuard(true)
	}
	if e.exceedsWindow(now, window, e.basis*window.Seconds()) {
		return false, _repayTime
	}
	return e.takeShared(now)
}

// exceedsWindow reports whether the node has admitted its fixed share of a
// window, or the usual number if that is greater.
func (e *entry) exceedsWindow(now time.Time, window time.Duration, usual float64) bool {
	share := max(e.fixed.perWindow, usual)
	return share >= _minWindowShare && float64(e.ring.total(now, window)+1) > share
}

// belowShare reports whether the node admits clearly less than its share of a
// scarce workspace. Of a share of few calls, that can't be told.
func (e *entry) belowShare() bool {
	return e.depth >= _minScarceDepth+1 && e.tokens >= e.depth-1
}

// takeFixed decides by the fixed share since the last state of the holder became
// stale. Time before that doesn't count: its calls were admitted otherwise.
func (e *entry) takeFixed(now, staleAt time.Time, window time.Duration) (ok bool, wait time.Duration) {
	oldest := now.Add(-e.fixed.validity)
	if oldest.Before(staleAt) {
		oldest = staleAt
	}
	if e.nextFixed.Before(oldest) {
		// The first call of the grid at oldest or later.
		offset := time.Duration(e.phase * float64(e.fixed.interval))
		since := time.Duration(oldest.UnixNano())%e.fixed.interval - offset
		if since > 0 {
			since -= e.fixed.interval
		}
		e.nextFixed = oldest.Add(-since)
	}
	if e.nextFixed.After(now) {
		return false, e.nextFixed.Sub(now)
	}
	if e.exceedsWindow(now, window, 0) {
		return false, _repayTime
	}
	e.nextFixed = e.nextFixed.Add(e.fixed.interval)
	return true, 0
}

// giveBack returns a call that has not run.
func (e *entry) giveBack(now time.Time, window time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admitted == 0 {
		return
	}
	e.admitted--
	e.ring.add(now, window, -1)
	e.tokens = min(e.depth, e.tokens+1)
	if e.byFixed {
		e.nextFixed = e.nextFixed.Add(-e.fixed.interval)
	}
}

// refill adds the tokens of the time that has passed.
func (e *entry) refill(now time.Time) {
	if elapsed := now.Sub(e.tokensAt); elapsed > 0 {
		e.tokens = min(e.depth, e.tokens+e.rate*elapsed.Seconds())
		e.tokensAt = now
	}
}

// setGuard sets the bounds of what may be admitted before the holder learns of it;
// with careful set, no more than the share.
func (e *entry) setGuard(careful bool) {
	if e.fraction >= _scarceFraction {
		e.rate = _growth * max(e.basis, e.fixed.rate)
		e.depth = max(_minCalmDepth, e.rate/_growth*_calmDepth.Seconds())
	} else {
		share := e.fraction * max(e.basis, e.fixed.rate/2)
		e.rate, e.depth = share, _minScarceDepth
		if e.fraction >= 1 && !careful {
			e.rate, e.depth = _scarceGrowth*share, _minScarceDepth*2
		}
		e.depth += share * _scarceDepth.Seconds()
	}
	e.tokens = min(e.tokens, e.depth)
}

const (
	// _minJump is the least number of calls between two reports that counts as a
	// jump, and _jump the factor to the usual number.
	_minJump = 6
	_jump    = 2.5
)

// report adds the count to a report and updates the usual demand.
func (e *entry) report(r *Report, now time.Time, elapsed, window time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if elapsed > 0 {
		weight := min(1, elapsed.Seconds()/_usualTime.Seconds())
		e.reportedUsual = e.usual
		e.usual += weight * (float64(e.asked-e.askedAtReport)/elapsed.Seconds() - e.usual)
	}
	e.askedAtReport = e.asked
	e.jumpAt = _minJump + uint64(_jump*e.usual*CalmInterval.Seconds())
	e.appendTo(r, e.id, now, window)
}

// refusalChange says whether a workspace began or ended being refused.
type refusalChange int

const (
	refusalUnchanged refusalChange = iota
	refusalBegan
	refusalEnded
)

// apply applies an answer: whether the receiver has taken the counts, and the
// fraction, if the state is fresh.
func (e *entry) apply(now time.Time, taken, fresh bool, fraction float64) refusalChange {
	e.mu.Lock()
	defer e.mu.Unlock()
	if taken {
		e.answered = e.sent
	}
	if fresh {
		e.refill(now)
		e.fraction, e.basis = fraction, e.reportedUsual
		e.setGuard(false)
	}
	refusing := !e.refusedAt.IsZero() && now.Sub(e.refusedAt) < _refusalEnd
	if refusing == e.refusing {
		return refusalUnchanged
	}
	e.refusing = refusing
	if refusing {
		return refusalBegan
	}
	return refusalEnded
}

// _maxDuration bounds durations that follow from a rate, so that times can still
// be computed with them.
const _maxDuration = 100 * 365 * 24 * time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), float64(_maxDuration)))
}
