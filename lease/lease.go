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
	// Beat grows with each renewal.
	Beat uint64
}

// Timing holds the periods of a lease.
type Timing struct {
	// Lifetime is how long a lease is good for without a renewal.
	Lifetime time.Duration
	// RenewEvery is the time between renewals, less than half of Lifetime.
	RenewEvery time.Duration
	// Margin is how much earlier than its Lifetime a holder stops to act.
	Margin time.Duration
}

// DefaultTiming returns the periods of the controller's lease.
func DefaultTiming() Timing {
	return Timing{Lifetime: 8 * time.Second, RenewEvery: 2500 * time.Millisecond, Margin: 2 * time.Second}
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

	// known tells whether record and version were observed.
	known   bool
	absent  bool
	record  Record
	version uint64
	// changed is when the observed record last changed.
	changed time.Time
	// read is when the record was last observed.
	read time.Time
	// renewed is when the last successful write of this holder was sent;
	// zero while the lease is not held.
	renewed time.Time
	// outranked is the highest epoch known to have been used; see Outrank.
	outranked uint64
}

// New returns a candidate that has observed nothing.
func New(timing Timing, self string) *Lease {
	return &Lease{timing: timing, self: self}
}

// Next returns what to do now.
func (l *Lease) Next(now time.Time) Action {
	switch {
	case !l.known:
		return Action{Kind: Read}
	case !l.renewed.IsZero():
		return l.renew(now)
	case l.absent:
		return Action{Kind: Create, Record: Record{Holder: l.self, Epoch: 1, Beat: 1}}
	case l.record.Holder == "" || now.Sub(l.changed) >= l.timing.Lifetime:
		record := Record{Holder: l.self, Epoch: l.record.Epoch + 1, Beat: 1}
		return Action{Kind: Update, Record: record, Version: l.version}
	case now.Sub(l.read) >= l.timing.RenewEvery:
		return Action{Kind: Read}
	default:
		return Action{Kind: Wait}
	}
}

func (l *Lease) renew(now time.Time) Action {
	if now.Sub(l.renewed) < l.timing.RenewEvery && (l.outranked == 0 || l.record.Epoch > l.outranked) {
		return Action{Kind: Wait}
	}
	record := l.record
	record.Beat++
	if l.outranked > 0 {
		record.Epoch = max(record.Epoch, l.outranked+1)
	}
	return Action{Kind: Update, Record: record, Version: l.version}
}

// Observe takes in the record as it was read. A record that is this holder's
// own, in its epoch, means that a renewal whose answer was lost took effect or
// never did; either way the lease is still this holder's.
func (l *Lease) Observe(now time.Time, record Record, version uint64) {
	mine := !l.renewed.IsZero() && record.Holder == l.self && record.Epoch == l.record.Epoch
	if !l.known || l.absent || l.version != version {
		l.changed = now
	}
	l.known, l.absent = true, false
	l.record, l.version = record, version
	l.read = now
	if !mine {
		l.renewed = time.Time{}
	}
}

// ObserveAbsent takes in that there is no record.
func (l *Lease) ObserveAbsent(now time.Time) {
	l.known, l.absent = true, true
	l.record, l.version = Record{}, 0
	l.read = now
	l.renewed = time.Time{}
}

// Written takes in that an action's write took effect. Sent is when the write
// was begun.
func (l *Lease) Written(sent time.Time, record Record, version uint64) {
	l.known, l.absent = true, false
	l.record, l.version = record, version
	l.changed, l.read = sent, sent
	l.renewed = sent
	if record.Holder != l.self {
		l.renewed = time.Time{}
	}
}

// Failed takes in that an action's write did not or may not have taken
// effect: what is stored has to be read. A lease that is held stays so until
// its time is over or Observe shows it changed.
func (l *Lease) Failed() {
	l.known = false
}

// Outrank takes in an epoch that was used before, which is higher than the
// holder's own when the record was lost and created anew. The next renewal goes
// above it. That is safe: the renewal fails if another holds the lease.
func (l *Lease) Outrank(epoch uint64) {
	l.outranked = max(l.outranked, epoch)
}

// Held returns the epoch while this candidate holds the lease and may act.
func (l *Lease) Held(now time.Time) (uint64, bool) {
	if l.renewed.IsZero() || now.Sub(l.renewed) >= l.timing.Lifetime-l.timing.Margin {
		return 0, false
	}
	return l.record.Epoch, true
}

// GiveBack returns the write that frees the lease for others at once, false
// when it is not held.
func (l *Lease) GiveBack(now time.Time) (Action, bool) {
	if _, held := l.Held(now); !held || !l.known {
		return Action{}, false
	}
	record := l.record
	record.Holder = ""
	return Action{Kind: Update, Record: record, Version: l.version}, true
}
