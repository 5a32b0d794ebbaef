package move

import (
	"fmt"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/membership"
)

// stage is one increase of the candidate's share.
type stage struct {
	share config.Share
	// endFraction is the fraction of the order's duration after which the stage
	// ends.
	endFraction float64
}

// _stages keep the calls of a version that turns out bad before the last stage
// below a tenth of the service's calls: the shares, weighted by their fractions
// of the duration, add up to 0.0975.
var _stages = [...]stage{
	{share: 500, endFraction: 0.30},
	{share: 1500, endFraction: 0.55},
	{share: 3000, endFraction: 0.70},
	{share: config.FullShare, endFraction: 1},
}

const (
	// _minStageCalls is the number of calls that the candidate must have in a
	// stage before its share grows.
	_minStageCalls = 8
	// _reportLifetime is how long a report of an upstream's owner counts as
	// current.
	_reportLifetime = 2 * time.Second
	// _heartbeatInterval is the time after which a coordinator writes unchanged
	// progress, so that its successors see that it is alive.
	_heartbeatInterval = 2 * time.Second
	// _takeoverTimeout is how long a coordinator must have written nothing
	// before the next successor takes over.
	_takeoverTimeout = 3500 * time.Millisecond
	// _lastStageReserve is the fraction of the order's duration that is
	// reserved for the last stage. Once only that much is left, stale reports
	// no longer delay a stage, because calls that the baseline is still running
	// need up to their timeout to end.
	_lastStageReserve = 0.25
	// _maxFailureRatio is the largest ratio of failed candidate calls at which
	// the share grows. When more fail and the baseline is no better, a fault
	// that both share hides the candidate's own faults.
	_maxFailureRatio = 0.1
	// _maxInconclusiveFailures is the number of failed candidate calls at which
	// the move is reverted although the baseline fails as often. A bad version
	// must be out of service soon after its 50th bad answer.
	_maxInconclusiveFailures = 30
)

// inconclusive reports whether too many candidate calls failed to keep the
// candidate, although the evidence doesn't show that it is worse than the
// baseline.
func inconclusive(v evidence.Verdict) bool {
	return v.CandidateFailures >= _maxInconclusiveFailures && float64(v.CandidateFailures) > _maxFailureRatio*float64(v.CandidateCalls)
}

// Inputs is what a coordinator knows when it decides on an order.
type Inputs struct {
	// Verdict compares the candidate with the baseline.
	Verdict evidence.Verdict
	// Upstreams are the service's upstreams that have not left or failed.
	Upstreams []Upstream
}

// Upstream is one upstream of the service, as last reported by its owner, the
// node on the upstream's VM.
type Upstream struct {
	Owner   membership.NodeID
	Version config.VersionName
	// AcceptsCalls is set when the upstream takes new calls, and Warm when it
	// is no longer slow after its start.
	AcceptsCalls, Warm bool
	// ReportedAt is when the owner's last report arrived; zero without one.
	ReportedAt time.Time
	// AppliedRevision is the revision of the order that the owner has applied.
	AppliedRevision uint64
	// InFlight is the number of calls that the upstream is running.
	InFlight int
}

// countCandidates returns how many upstreams of the candidate accept calls, and
// how many of those are warm.
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

// staleOwner returns an owner of an upstream that accepts calls but has no
// current report, empty when there is none.
func (in Inputs) staleOwner(now time.Time) membership.NodeID {
	for _, u := range in.Upstreams {
		if u.AcceptsCalls && now.Sub(u.ReportedAt) > _reportLifetime {
			return u.Owner
		}
	}
	return ""
}

// undrainedOwner returns an owner of another version's upstream that may still
// take calls or has some in flight, empty when there is none. An owner takes
// none once it has applied the given revision of the order.
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

// Coordinator decides on one order: whether the candidate's share grows, the
// move is complete, or it is reverted. It is not safe for concurrent use.
type Coordinator struct {
	self membership.NodeID
	// stage is the index of the current stage, -1 before the first.
	stage int
	// startCalls is the candidate's number of calls when the stage began or
	// when the counts were last reset because too many failed, and
	// startFailures how many of those calls had failed.
	startCalls    uint64
	startFailures uint64
	// lastStageRevision is the order's revision that put the last stage in
	// force; 0 before.
	lastStageRevision uint64
}

// NewCoordinator returns a coordinator that resumes an order at its current
// stage.
func NewCoordinator(self membership.NodeID, active ActiveOrder) *Coordinator {
	c := &Coordinator{self: self, stage: -1}
	for i, s := range _stages {
		if active.Order.Progress.State == Running && active.Order.Progress.Share >= s.share {
			c.stage = i
		}
	}
	return c
}

// MayDecide reports whether a node decides on an order. The coordinator always
// does. A successor does once the order has not been updated for a timeout that
// grows with its rank among the successors; rank is 0 for the first and -1 for
// a node that is not a successor.
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

// Decide returns the order's next progress, and whether it must be written now.
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
	case active.IsUnsaved:
		// Owners may have applied this revision of the order with less progress.
		c.lastStageRevision = 0
		return next, true
	case c.stage == len(_stages)-1:
		if c.lastStageRevision == 0 {
			c.lastStageRevision = active.Order.Revision
		}
		undrainedOwner := in.undrainedOwner(now, next.Candidate, c.lastStageRevision)
		if undrainedOwner == "" {
			next.State, next.Reason = Complete, "no call is left at the version before"
			return next, true
		}
		next.Reason = "calls may be left at " + string(undrainedOwner)
	case c.canRaiseShare(now, active, in, &next):
		c.stage++
		c.resetCounts(in.Verdict)
		next.Share = _stages[c.stage].share
		next.Reason = fmt.Sprintf("raised after %d calls, %d of them failed", in.Verdict.CandidateCalls, in.Verdict.CandidateFailures)
		return next, true
	}
	return next, next.Coordinator != active.Order.Progress.Coordinator || now.Sub(active.UpdatedAt) >= _heartbeatInterval
}

// resetCounts restarts the stage's count of the candidate's calls.
func (c *Coordinator) resetCounts(v evidence.Verdict) {
	c.startCalls, c.startFailures = v.CandidateCalls, v.CandidateFailures
}

// canRaiseShare reports whether the next stage begins, and sets next.Reason to
// what it waits for otherwise. When too many calls failed, it restarts the
// stage's count.
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
