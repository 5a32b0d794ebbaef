// Package lease decides when a node may hold a role that at most one node
// should hold. It does no I/O and relies only on the local clock: a lease has
// expired if its record has not changed for the full lifetime, as measured by
// the clock of the observer.
//
// A lease only avoids duplicate work; it does not make writes safe. For that,
// each write of a holder is conditional and carries the epoch as a fencing
// token.
package lease

import "time"

// Record is the stored form of a lease.
type Record struct {
	// Holder is the ID of the holder; empty after the lease was released.
	Holder string
	// Epoch grows with each change of holder. See also RaiseEpochAbove.
	Epoch uint64
	// RenewalCount grows with each renewal.
	RenewalCount uint64
}

// Timing holds the durations of a lease.
type Timing struct {
	// Lifetime is the time after which a lease expires without a renewal.
	Lifetime time.Duration
	// RenewInterval is the time between renewals; less than half of Lifetime.
	RenewInterval time.Duration
	// SafetyMargin is the time before the end of Lifetime at which a holder
	// stops acting.
	SafetyMargin time.Duration
}

// DefaultTiming returns the durations of the controller's lease.
func DefaultTiming() Timing {
	return Timing{Lifetime: 8 * time.Second, RenewInterval: 2500 * time.Millisecond, SafetyMargin: 2 * time.Second}
}

// ActionKind is the kind of the next step of a candidate.
type ActionKind int

// The kinds of actions.
const (
	// Wait means that there is nothing to do now.
	Wait ActionKind = iota + 1
	// Read means that the record must be read and passed to Observe or
	// ObserveAbsent.
	Read
	// Create means that the record must be created. Report the result with
	// WriteSucceeded or WriteUnconfirmed.
	Create
	// Update means that the record must be updated on the condition that it
	// still has Version. Report the result like that of Create.
	Update
)

// Action is the next step of a candidate.
type Action struct {
	Kind ActionKind
	// Record is the record to write; set for Create and Update.
	Record Record
	// Version is the stored version that an Update requires.
	Version uint64
}

// Lease is the view that one candidate has of a lease. It is not safe for
// concurrent use.
type Lease struct {
	timing Timing
	self   string

	// observed is set while the fields absent, record and version are known to
	// match the store.
	observed bool
	// absent is set if there was no record.
	absent  bool
	record  Record
	version uint64
	// changedAt is when the observed record last changed.
	changedAt time.Time
	// readAt is when the record was last read or written.
	readAt time.Time
	// renewedAt is when the last successful write by this holder was sent; zero
	// while it does not hold the lease.
	renewedAt time.Time
	// highestUsedEpoch is the highest epoch that is known to have been used;
	// see RaiseEpochAbove.
	highestUsedEpoch uint64
}

// New returns a candidate named self that has observed nothing.
func New(timing Timing, self string) *Lease {
	return &Lease{timing: timing, self: self}
}

// Next returns the next step of the candidate.
func (l *Lease) Next(now time.Time) Action {
	switch {
	case !l.observed:
		return Action{Kind: Read}
	case !l.renewedAt.IsZero():
		return l.renew(now)
	case l.absent:
		return Action{Kind: Create, Record: Record{Holder: l.self, Epoch: 1, RenewalCount: 1}}
	case l.record.Holder == "" || now.Sub(l.changedAt) >= l.timing.Lifetime:
		record := Record{Holder: l.self, Epoch: l.record.Epoch + 1, RenewalCount: 1}
		return Action{Kind: Update, Record: record, Version: l.version}
	case now.Sub(l.readAt) >= l.timing.RenewInterval:
		return Action{Kind: Read}
	default:
		return Action{Kind: Wait}
	}
}

// renew returns the next step of the holder.
func (l *Lease) renew(now time.Time) Action {
	if now.Sub(l.renewedAt) < l.timing.RenewInterval && (l.highestUsedEpoch == 0 || l.record.Epoch > l.highestUsedEpoch) {
		return Action{Kind: Wait}
	}
	record := l.record
	record.RenewalCount++
	if l.highestUsedEpoch > 0 {
		record.Epoch = max(record.Epoch, l.highestUsedEpoch+1)
	}
	return Action{Kind: Update, Record: record, Version: l.version}
}

// Observe stores the record as it was read. If the candidate held the lease and
// the record is its own in the same epoch, it still holds the lease, whether or
// not a renewal whose answer was lost took effect.
func (l *Lease) Observe(now time.Time, record Record, version uint64) {
	stillHeld := !l.renewedAt.IsZero() && record.Holder == l.self && record.Epoch == l.record.Epoch
	if !l.observed || l.absent || l.version != version {
		l.changedAt = now
	}
	l.observed, l.absent = true, false
	l.record, l.version = record, version
	l.readAt = now
	if !stillHeld {
		l.renewedAt = time.Time{}
	}
}

// ObserveAbsent records that there is no stored record.
func (l *Lease) ObserveAbsent(now time.Time) {
	l.observed, l.absent = true, true
	l.record, l.version = Record{}, 0
	l.readAt = now
	l.renewedAt = time.Time{}
}

// WriteSucceeded records that an action's write took effect, with the record
// and its new version. The write was sent at sentAt.
func (l *Lease) WriteSucceeded(sentAt time.Time, record Record, version uint64) {
	l.observed, l.absent = true, false
	l.record, l.version = record, version
	l.changedAt, l.readAt = sentAt, sentAt
	l.renewedAt = sentAt
	if record.Holder != l.self {
		l.renewedAt = time.Time{}
	}
}

// WriteUnconfirmed records that an action's write failed or may not have taken
// effect, so that the stored record must be read. A held lease remains held
// until it expires or Observe shows a change.
func (l *Lease) WriteUnconfirmed() {
	l.observed = false
}

// RaiseEpochAbove makes the next renewal use a higher epoch than the given one,
// which was used before. That epoch is higher than the holder's if the record
// was lost and created anew. Raising the epoch is safe because the renewal
// fails if another candidate holds the lease.
func (l *Lease) RaiseEpochAbove(epoch uint64) {
	l.highestUsedEpoch = max(l.highestUsedEpoch, epoch)
}

// Held returns the epoch and true while this candidate holds the lease and may
// act as the holder.
func (l *Lease) Held(now time.Time) (uint64, bool) {
	if l.renewedAt.IsZero() || now.Sub(l.renewedAt) >= l.timing.Lifetime-l.timing.SafetyMargin {
		return 0, false
	}
	return l.record.Epoch, true
}

// Release returns the write that frees the lease for other candidates at once.
// It returns false if the lease is not held or its stored version is not known.
func (l *Lease) Release(now time.Time) (Action, bool) {
	if _, held := l.Held(now); !held || !l.observed {
		return Action{}, false
	}
	record := l.record
	record.Holder = ""
	return Action{Kind: Update, Record: record, Version: l.version}, true
}
