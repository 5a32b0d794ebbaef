package move

import (
	"fmt"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/membership"
)

// stage is a step on the way to the whole of the calls.
type stage struct {
	share config.Share
	// endFraction is the part of the order's time after which the stage ends.
	endFraction float64
}

// _stages keep the calls of a version that turns out bad at any time before
// the last stage under a tenth of the service's calls: the shares times their
// parts of the time add up to 0.09.
var _stages = [...]stage{
	{share: 500, endFraction: 0.30},
	{share: 1500, endFraction: 0.55},
	{share: 3000, endFraction: 0.70},
	{share: config.FullShare, endFraction: 1},
}

const (
	// _minStageCalls is how many calls of the candidate a stage takes before the
	// share grows.
	_minStageCalls = 8
	// _reportLifetime is how long an owner's report counts as current.
	_reportLifetime = 2 * time.Second
	// _heartbeatInterval is how often a pilot writes though nothing has changed, so
	// that others see that it is there.
	_heartbeatInterval = 2 * time.Second
	// _takeoverTimeout is the silence after which the next node in line takes
	// over from a pilot.
	_takeoverTimeout = 3500 * time.Millisecond
	// _lastStageReserve is the part of the order's time before its end by which
	// the last stage begins, if the version is good so far: the calls at the
	// old version need a timeout's time to end.
	_lastStageReserve = 0.25
	// _maxFailureRatio is the part of the candidate's calls that may fail for the
	// share to grow. When more fail and the version before is no better, a
	// fault of both hides what the candidate does of its own.
	_maxFailureRatio = 0.1
	// _maxInconclusiveFailures is how many of the candidate's calls may fail while the
	// version before fails as often. A bad version is to be out soon after its
	// 50th bad answer.
	_maxInconclusiveFailures = 30
)

// inconclusive reports whether too many calls failed for the version to be kept
// though the version before is no better.
func inconclusive(v evidence.Verdict) bool {
	return v.CandidateFailures >= _maxInconclusiveFailures && float64(v.CandidateFailures) > _maxFailureRatio*float64(v.CandidateCalls)
}

// Inputs are what a pilot knows of an order.
type Inputs struct {
	// Verdict is what the evidence says of the candidate.
	Verdict evidence.Verdict
	// Upstreams are those of the service that are not gone.
	Upstreams []Upstream
}

// Upstream is one upstream of the service, as its owner last reported on it.
type Upstream struct {
	Owner   membership.NodeID
	Version config.VersionName
	// AcceptsCalls is set for one that takes calls, and Warm for one that is no
	// longer slow after its start.
	AcceptsCalls, Warm bool
	// ReportedAt is when its owner last reported; zero when it never did.
	ReportedAt time.Time
	// AppliedRevision is the revision of the order that the owner acts on.
	AppliedRevision uint64
	// InFlight is how many calls are in flight there.
	InFlight int
}

// countCandidates returns how many upstreams of the candidate take work, and how
// many of them are warm.
func (in Inputs) countCandidates(candidate config.VersionName) (accepting, warm int) {
	for _, u := range in.Upstreams {
		if u.Version == candidate && u.AcceptsCalls {
			accepting++
			if u.Warm {
				warm++
			}
		}
	}
	return accepting, warm
}

// staleOwner returns an owner that has not reported of late, empty when all have.
func (in Inputs) staleOwner(now time.Time) membership.NodeID {
	for _, u := range in.Upstreams {
		if u.AcceptsCalls && now.Sub(u.ReportedAt) > _reportLifetime {
			return u.Owner
		}
	}
	return ""
}

// undrainedOwner returns an owner of another version that may still take calls or has
// some in flight, empty when there is none.
func (in Inputs) undrainedOwner(now time.Time, candidate config.VersionName, revision uint64) membership.NodeID {
	for _, u := range in.Upstreams {
		if u.Version == candidate {
			continue
		}
		if u.AppliedRevision < revision || u.InFlight > 0 || now.Sub(u.ReportedAt) > _reportLifetime {
			return u.Owner
		}
	}
	return ""
}

// Coordinator decides on one order. It is used by one step at a time.
type Coordinator struct {
	self membership.NodeID
	// stage is the index of the present stage, -1 before the first.
	stage int
	// startCalls is what the candidate had been sent when the stage began, or
	// when too much failed to tell, and stageFailures what of it had failed.
	startCalls    uint64
	startFailures uint64
	// lastStageRevision is the order's revision from which on the last stage is in
	// force; 0 before it.
	lastStageRevision uint64
}

// NewCoordinator returns a pilot that takes up an order where it is.
func NewCoordinator(self membership.NodeID, active ActiveOrder) *Coordinator {
	c := &Coordinator{self: self, stage: -1}
	for i, s := range _stages {
		if active.Order.Progress.State == Running && active.Order.Progress.Share >= s.share {
			c.stage = i
		}
	}
	return c
}

// MayDecide reports whether a node decides on an order: the pilot itself, and
// one further down the line of successors once the pilot has been silent. The
// place is the node's in that line, from 0, and -1 for one that is not in it.
func MayDecide(now time.Time, self membership.NodeID, rank int, active ActiveOrder) bool {
	if active.Order.Progress.Coordinator == self {
		return true
	}
	if rank < 0 {
		return false
	}
	wait := time.Duration(rank) * _takeoverTimeout
	if active.Order.Progress.Coordinator != "" {
		wait += _takeoverTimeout
	}
	return now.Sub(active.UpdatedAt) >= wait
}

// Decide returns the order's next progress, and false when nothing is to be
// written now.
func (c *Coordinator) Decide(now time.Time, active ActiveOrder, in Inputs) (Progress, bool) {
	next := active.Order.Progress
	next.Remaining = active.Deadline.Sub(now)
	if next.Coordinator != c.self {
		next.Coordinator = c.self
		next.Epoch++
	}
	switch {
	case in.Verdict.Bad:
		next.State, next.Share, next.Reason = Reverted, 0, in.Verdict.Reason
		return next, true
	case inconclusive(in.Verdict):
		next.State, next.Share = Reverted, 0
		next.Reason = fmt.Sprintf("%d of %d calls failed; that the version before fails too does not show the version to be good",
			in.Verdict.CandidateFailures, in.Verdict.CandidateCalls)
		return next, true
	case next.State == Ordered:
		next.State, next.Share, next.Reason = Running, 0, "the version is awaited"
		return next, true
	case c.stage == len(_stages)-1:
		if c.lastStageRevision == 0 {
			c.lastStageRevision = active.Order.Revision
		}
		undrained := in.undrainedOwner(now, next.Candidate, c.lastStageRevision)
		if undrained == "" {
			next.State, next.Reason = Complete, "no call is left at the version before"
			return next, true
		}
		next.Reason = "calls may be left at " + string(undrained)
	case c.canRaiseShare(now, active, in, &next):
		c.stage++
		c.resetCounts(in.Verdict)
		next.Share = _stages[c.stage].share
		next.Reason = fmt.Sprintf("raised after %d calls, %d of them failed", in.Verdict.CandidateCalls, in.Verdict.CandidateFailures)
		return next, true
	}
	return next, next.Coordinator != active.Order.Progress.Coordinator || now.Sub(active.UpdatedAt) >= _heartbeatInterval
}

// resetCounts begins to count the candidate's calls anew.
func (c *Coordinator) resetCounts(v evidence.Verdict) {
	c.startCalls, c.startFailures = v.CandidateCalls, v.CandidateFailures
}

// canRaiseShare reports whether the next stage begins; next.Reason says why not.
func (c *Coordinator) canRaiseShare(now time.Time, active ActiveOrder, in Inputs, next *Progress) bool {
	calls := in.Verdict.CandidateCalls - c.startCalls
	failures := in.Verdict.CandidateFailures - c.startFailures
	accepting, warm := in.countCandidates(next.Candidate)
	staleOwner := in.staleOwner(now)
	elapsed := float64(now.Sub(active.StartedAt)) / float64(max(active.Order.Duration, time.Millisecond))
	switch {
	case accepting == 0:
		next.Reason = "no upstream of the version takes work"
		return false
	case c.stage < 0:
		next.Reason = "the version's upstreams are cold"
		return warm > 0
	case calls < _minStageCalls:
		next.Reason = "too few calls of the version were seen"
		return false
	case float64(failures) > _maxFailureRatio*float64(calls):
		next.Reason = fmt.Sprintf("%d of %d calls failed, and of the version before no fewer", failures, calls)
		c.resetCounts(in.Verdict)
		return false
	case staleOwner != "" && elapsed < 1-_lastStageReserve:
		next.Reason = "no current report from " + string(staleOwner)
		return false
	default:
		next.Reason = "the stage is observed"
		return elapsed >= _stages[c.stage].endFraction
	}
}
