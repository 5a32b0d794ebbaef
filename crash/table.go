package crash

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// _maxRecords bounds the records of a table.
	_maxRecords = 256
	// _trialTimeout is how long nodes wait for the outcome of a trial call before
	// they let the next one through.
	_trialTimeout = 3 * time.Second
	// _trialSpacing is the time between the first trial calls that two nodes let
	// through after a block has ended, so that the outcome of one is known before
	// the next. After the first block it is _firstTrialSpacing: most calls that
	// are blocked for no fault of theirs get an answer then.
	_trialSpacing      = 6 * time.Second
	_firstTrialSpacing = time.Second
)

// Verdict says what to do with a call.
type Verdict int

// The verdicts on calls.
const (
	// Allowed means that nothing speaks against the call.
	Allowed Verdict = iota + 1
	// Trial means that the call may go to an upstream to find out whether it
	// still crashes one. The record then says so, which other nodes should learn.
	Trial
	// Blocked means that the call is refused.
	Blocked
)

// String returns the name of the verdict, as it appears in logs.
func (v Verdict) String() string {
	switch v {
	case Allowed:
		return "allowed"
	case Trial:
		return "trial"
	case Blocked:
		return "blocked"
	default:
		return "invalid"
	}
}

// Call is a call as a node knows it that has read its body.
type Call struct {
	Target  Target
	Content Content
	// Label describes the call for operators.
	Label string
}

// entry is a record and what this node alone knows of the call.
type entry struct {
	record Record
	// shareUntil is until when the record is sent to other nodes although the
	// call is not blocked.
	shareUntil time.Time
	// newRunnerTrialAt is when this node last let a trial call through to a runner
	// that has not crashed; zero if none is under way. Each node tries by itself:
	// its other callers must not wait for the news of another node's trial.
	newRunnerTrialAt time.Time
	// sound holds the runners that have answered the call since it was blocked
	// for others.
	sound map[Runner]bool
}

// Table holds the records of the calls that were running when upstreams crashed.
// Tables that exchange their records agree in the end. It is safe for concurrent
// use.
type Table struct {
	// self is the node's name, by which its trial calls are spread.
	self string
	// size is the number of entries, for calls to be checked without a lock
	// while there are none.
	size atomic.Int64

	mu      sync.Mutex
	entries map[Content]*entry
	// targets counts the entries of each target.
	targets map[Target]int
	// refused counts the calls that Check has blocked.
	refused uint64
}

// New returns an empty table for the node with the given name.
func New(self string) *Table {
	return &Table{self: self, entries: make(map[Content]*entry), targets: make(map[Target]int)}
}

// Empty reports whether no call is on record. It is cheap enough for each call.
func (t *Table) Empty() bool {
	return t.size.Load() == 0
}

// Suspects reports whether a call to the target is on record, so that the
// content of this one matters.
func (t *Table) Suspects(target Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[target] > 0
}

// Check returns the verdict on a call that is about to be sent to a runner, and
// for a blocked one the time until it is worth trying again. The nodes, of which
// there are as many as given, let trial calls through one after the other.
func (t *Table) Check(now time.Time, content Content, runner Runner, nodes int) (Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[content]
	if !ok || e.record.Trips == 0 || e.record.expired(now) || e.sound[runner] {
		return Allowed, 0
	}
	if !e.record.hasCrashed(runner) {
		// Another version may run the call well.
		return t.startTrial(now, now, &e.newRunnerTrialAt)
	}
	verdict, wait := t.startTrial(now, e.record.BlockedUntil().Add(t.trialDelay(&e.record, nodes)), &e.record.TrialAt)
	if verdict == Trial {
		e.shareUntil = now.Add(_shareFor)
	}
	return verdict, wait
}

// startTrial returns Trial if the given time has come and no trial is under way
// since trialAt, which it then sets. The caller holds t.mu.
func (t *Table) startTrial(now, from time.Time, trialAt *time.Time) (Verdict, time.Duration) {
	if !trialAt.IsZero() {
		from = later(from, trialAt.Add(_trialTimeout))
	}
	if now.Before(from) {
		t.refused++
		return Blocked, from.Sub(now)
	}
	*trialAt = now
	return Trial, 0
}

// IsBlocked reports whether a call is in a block for a runner, and how long that
// lasts. Unlike Check it lets all trial calls through: another node has decided
// on them.
func (t *Table) IsBlocked(now time.Time, content Content, runner Runner) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[content]
	if !ok || !e.record.Blocked(now) || !e.record.hasCrashed(runner) {
		return 0, false
	}
	t.refused++
	return e.record.BlockedUntil().Sub(now), true
}

// RecordCrash records that a process ended while it was running a call. It
// returns the updated record and whether that has changed.
func (t *Table) RecordCrash(now time.Time, call Call, c Crash) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[call.Content]
	if !ok {
		e = t.add(now, Record{Content: call.Content, Target: call.Target})
	}
	e.endTrial(c.Runner)
	delete(e.sound, c.Runner)
	e.shareUntil = now.Add(_shareFor)
	changed := e.record.addCrash(now, c)
	if e.record.Label == "" {
		e.record.Label = call.Label
	}
	return e.record, changed
}

// RecordAnswer records that a runner has answered a call completely, which
// clears the call for it. It reports whether that changed the record.
func (t *Table) RecordAnswer(now time.Time, content Content, runner Runner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[content]
	if !ok {
		return false
	}
	e.endTrial(runner)
	if !e.record.hasCrashed(runner) {
		if e.record.Trips > 0 {
			if e.sound == nil {
				e.sound = make(map[Runner]bool)
			}
			e.sound[runner] = true
		}
		return false
	}
	e.shareUntil = now.Add(_shareFor)
	e.record.clear(now, func(c Crash) bool { return c.Runner == runner })
	return true
}

// EndTrial records that a trial call to a runner has ended without showing
// anything.
func (t *Table) EndTrial(content Content, runner Runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[content]; ok {
		e.endTrial(runner)
	}
}

// endTrial records that no trial with a runner is under way.
func (e *entry) endTrial(runner Runner) {
	if e.record.hasCrashed(runner) {
		e.record.TrialAt = time.Time{}
	} else {
		e.newRunnerTrialAt = time.Time{}
	}
}

// Lift clears a call for all runners and returns its record as it was before;
// false if the call is not on record.
func (t *Table) Lift(now time.Time, content Content) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[content]
	if !ok || len(e.record.Crashes) == 0 {
		return Record{}, false
	}
	before := e.record
	e.shareUntil = now.Add(_shareFor)
	e.record.clear(now, func(Crash) bool { return true })
	return before, true
}

// BlockedCount returns the number of calls that are in a block.
func (t *Table) BlockedCount(now time.Time) int {
	count := 0
	for _, r := range t.Records(now) {
		if r.Blocked(now) {
			count++
		}
	}
	return count
}

// RefusedCount returns how many calls were blocked so far.
func (t *Table) RefusedCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// add adds an entry for a record. If the table is full, it drops the expired
// records or else the least important one. The caller holds t.mu.
func (t *Table) add(now time.Time, r Record) *entry {
	if len(t.entries) >= _maxRecords {
		t.prune(now)
	}
	if len(t.entries) >= _maxRecords {
		var least *entry
		for _, e := range t.entries {
			if least == nil || byWeight(e, least) > 0 {
				least = e
			}
		}
		t.remove(least)
	}
	e := &entry{record: r}
	t.entries[r.Content] = e
	t.targets[r.Target]++
	t.size.Store(int64(len(t.entries)))
	return e
}

// remove removes an entry. The caller holds t.mu.
func (t *Table) remove(e *entry) {
	target := e.record.Target
	delete(t.entries, e.record.Content)
	if t.targets[target]--; t.targets[target] == 0 {
		delete(t.targets, target)
	}
	t.size.Store(int64(len(t.entries)))
}

// prune removes the expired records. The caller holds t.mu.
func (t *Table) prune(now time.Time) {
	for _, e := range t.entries {
		if e.record.expired(now) {
			t.remove(e)
		}
	}
}

// trialDelay returns how much later than the end of a block this node lets the
// first trial call through.
func (t *Table) trialDelay(r *Record, nodes int) time.Duration {
	const steps = 1 << 16
	place := xxhash.Sum64(append(slices.Clone(r.Content[:]), t.self...)) % steps
	spacing := _trialSpacing
	if r.Trips == 1 {
		spacing = _firstTrialSpacing
	}
	return spacing * time.Duration(max(1, nodes)) * time.Duration(place) / steps
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
