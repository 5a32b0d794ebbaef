// Package lease decides when a node may hold a role that at most one should
// have. It does no I/O and trusts no clock but its own: a holder is taken for
// gone when its record did not change for the lease's whole lifetime as the
// observer's clock measures it.
//
// A lease saves work; it does not make writes safe. Each write of a holder is
// conditional, and carries the epoch.
package lease

import "time"

// Record is the stored form of a lease.
type Record struct {
	// Holder is empty after the holder gave the lease back.
	Holder string
	// Epoch grows with each change of the holder.
	Epoch uint64
	// RenewalCount grows with each renewal.
	RenewalCount uint64
}

// Timing holds the periods of a lease.
type Timing struct {
	// Lifetime is how long a lease is good for without a renewal.
	Lifetime time.Duration
	// RenewInterval is the time between renewals, less than half of Lifetime.
	RenewInterval time.Duration
	// SafetyMargin is how much earlier than its Lifetime a holder stops to act.
	SafetyMargin time.Duration
}

// DefaultTiming returns the periods of the controller's lease.
func DefaultTiming() Timing {
	return Timing{Lifetime: 8 * time.Second, RenewInterval: 2500 * time.Millisecond, SafetyMargin: 2 * time.Second}
}

// ActionKind tells what a candidate is to do next.
type ActionKind int

// The kinds of actions.
const (
	// Wait means that nothing is to be done now.
	Wait ActionKind = iota + 1
	// Read means that the record is to be read and given to Observe.
	Read
	// Create means that the record is to be created; see Written.
	Create
	// Update means that the record is to be written over the version observed.
	Update
)

// Action is what a candidate is to do next.
type Action struct {
	Kind ActionKind
	// Record is what to write; set for Create and Update.
	Record Record
	// Version is the condition of an Update.
	Version uint64
}

// Lease is one candidate's view of a lease. It is not safe for concurrent use.
type Lease struct {
	timing Timing
	self   string

	// observed tells whether record and version were observed.
	observed bool
	absent   bool
	record   Record
	version  uint64
	// changedAt is when the observed record last changedAt.
	changedAt time.Time
	// readAt is when the record was last observed.
	readAt time.Time
	// renewedAt is when the last successful write of this holder was sent;
	// zero while the lease is not held.
	renewedAt time.Time
	// highestUsedEpoch is the highest epoch known to have been used; see Outrank.
	highestUsedEpoch uint64
}

// New returns a candidate that has observed nothing.
func New(timing Timing, self string) *Lease {
	return &Lease{timing: timing, self: self}
}

// Next returns what to do now.
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

// Observe takes in the record as it was read. A record that is this holder's
// own, in its epoch, means that a renewal whose answer was lost took effect or
// never did; either way the lease is still this holder's.
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

// ObserveAbsent takes in that there is no record.
func (l *Lease) ObserveAbsent(now time.Time) {
	l.observed, l.absent = true, true
	l.record, l.version = Record{}, 0
	l.readAt = now
	l.renewedAt = time.Time{}
}

// WriteSucceeded takes in that an action's write took effect. Sent is when the write
// was begun.
func (l *Lease) WriteSucceeded(sentAt time.Time, record Record, version uint64) {
	l.observed, l.absent = true, false
	l.record, l.version = record, version
	l.changedAt, l.readAt = sentAt, sentAt
	l.renewedAt = sentAt
	if record.Holder != l.self {
		l.renewedAt = time.Time{}
	}
}

// WriteUnconfirmed takes in that an action's write did not or may not have taken
// effect: what is stored has to be read. A lease that is held stays so until
// its time is over or Observe shows it changed.
func (l *Lease) WriteUnconfirmed() {
	l.observed = false
}

// RaiseEpochAbove takes in an epoch that was used before, which is higher than the
// holder's own when the record was lost and created anew. The next renewal goes
// above it. That is safe: the renewal fails if another holds the lease.
func (l *Lease) RaiseEpochAbove(epoch uint64) {
	l.highestUsedEpoch = max(l.highestUsedEpoch, epoch)
}

// Held returns the epoch while this candidate holds the lease and may act.
func (l *Lease) Held(now time.Time) (uint64, bool) {
	if l.renewedAt.IsZero() || now.Sub(l.renewedAt) >= l.timing.Lifetime-l.timing.SafetyMargin {
		return 0, false
	}
	return l.record.Epoch, true
}

// Release returns the write that frees the lease for others at once, false
// when it is not held.
func (l *Lease) Release(now time.Time) (Action, bool) {
	if _, held := l.Held(now); !held || !l.observed {
		return Action{}, false
	}
	record := l.record
	record.Holder = ""
	return Action{Kind: Update, Record: record, Version: l.version}, true
}
