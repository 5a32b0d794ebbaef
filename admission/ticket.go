package admission

import (
	"cmp"
	"time"
)

// Ticket is a call's place at the gate.
type Ticket struct {
	request   Request
	arrivedAt time.Time
	startedAt time.Time
	// expectedDuration is how long the call was expected to run when it came.
	expectedDuration time.Duration
	// callerBacklog is how many calls of the same caller waited when this one came.
	callerBacklog int
	// sequence grows with each call.
	sequence uint64
	// late is set for a call that can't be done while it is of full use.
	late bool
	// decided is closed when the call was admitted or refused.
	decided chan struct{}
	// reason is empty for an admitted call; set before decided is closed.
	reason Reason
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

// compare orders waiting calls: the more urgent first, among these those that
// can still be of full use, then in turn between callers, and then by when
// their use ends.
func (t *Ticket) compare(other *Ticket) int {
	late := func(t *Ticket) int {
		if t.late {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(t.request.Rank, other.request.Rank),
		cmp.Compare(late(t), late(other)),
		cmp.Compare(t.callerBacklog, other.callerBacklog),
		t.usefulUntil().Compare(other.usefulUntil()),
		cmp.Compare(t.sequence, other.sequence),
	)
}

// usefulUntil is until when the call is worth running: as long as its answer is of full
// use and, for a late call, until its deadline.
func (t *Ticket) usefulUntil() time.Time {
	if t.late {
		return t.request.Deadline
	}
	return t.request.UsefulUntil
}
