package admission

import (
	"cmp"
	"math"
	"time"
)

// Ticket is a call's request for a slot and its outcome.
type Ticket struct {
	request   Request
	arrivedAt time.Time
	startedAt time.Time
	// expectedDuration is how long the call was expected to run on arrival.
	expectedDuration time.Duration
	// level orders calls by how much a slot gains by running them first; the
	// lowest goes first. See levelOf.
	level int
	// turn is the place of the call's workspace among the workspaces when the
	// call arrived; see workspaceTurns. It is 0 unless the limits are ByCost.
	turn int
	// callerBacklog is how many calls of the same caller waited on arrival.
	callerBacklog int
	// sequence numbers the tickets of a gate in the order of their arrival.
	sequence uint64
	// late is set for a call that can't be answered while its answer is of full
	// use.
	late bool
	// isTrial is set for a call that was admitted by beginTrial.
	isTrial bool
	// decided is closed once the call is admitted or refused.
	decided chan struct{}
	// reason is empty for an admitted call. It is set before decided is closed.
	reason Reason
	// retryAfter is how long until a refused call would find a slot; 0 if
	// unknown.
	retryAfter time.Duration
}

// Decided returns a channel that is closed once the call is admitted or
// refused.
func (t *Ticket) Decided() <-chan struct{} {
	return t.decided
}

// Reason returns why the call was refused, empty if it was admitted. It must
// not be called before Decided is closed.
func (t *Ticket) Reason() Reason {
	return t.reason
}

// RetryAfter returns how long until a refused call would find a slot, 0 if
// unknown. It must not be called before Decided is closed.
func (t *Ticket) RetryAfter() time.Duration {
	return t.retryAfter
}

// refuse marks the call as refused for the given reason.
func (t *Ticket) refuse(reason Reason) {
	t.reason = reason
	close(t.decided)
}

// levelOf returns the level of a call: its rank plus the binary logarithm of
// its expected duration in milliseconds, rounded. A call that takes half as long
// counts as one rank more urgent, so that under load a slot completes the
// greatest weight of calls for its time (the cµ rule), and the short calls that
// running calls wait for are not refused behind long ones. Rounding keeps calls
// of one route in one level.
func levelOf(rank uint32, expectedDuration time.Duration) int {
	if expectedDuration < time.Millisecond {
		return int(rank)
	}
	return int(rank) + int(math.Round(math.Log2(float64(expectedDuration)/float64(time.Millisecond))))
}

// compare orders waiting calls: by level, then by rank, then those that are not
// late, then by turns between callers, then by when their answers stop being
// useful, and last by arrival.
func (t *Ticket) compare(other *Ticket) int {
	late := func(t *Ticket) int {
		if t.late {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(t.level, other.level),
		cmp.Compare(t.request.Rank, other.request.Rank),
		cmp.Compare(late(t), late(other)),
		cmp.Compare(t.callerBacklog, other.callerBacklog),
		t.usefulUntil().Compare(other.usefulUntil()),
		cmp.Compare(t.sequence, other.sequence),
	)
}

// usefulUntil returns until when the call is worth running: while its answer is
// of full use or, for a late call, until its deadline.
func (t *Ticket) usefulUntil() time.Time {
	if t.late {
		return t.request.Deadline
	}
	return t.request.UsefulUntil
}
