package call

import (
	"sync/atomic"
	"time"
)

// timeLimit is the time at which a planned stop ends, if one has begun. It is
// safe for concurrent use.
type timeLimit struct {
	// end is nil before a stop.
	end atomic.Pointer[time.Time]
}

// set begins a stop that ends at the given time.
func (l *timeLimit) set(end time.Time) {
	l.end.Store(&end)
}

// isSet reports whether a stop has begun.
func (l *timeLimit) isSet() bool {
	return l.end.Load() != nil
}

// apply returns the lesser of a call's remaining time and the time until the
// end of the stop.
func (l *timeLimit) apply(now time.Time, remaining time.Duration) time.Duration {
	if end := l.end.Load(); end != nil {
		return min(remaining, end.Sub(now))
	}
	return remaining
}
