package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// _maxSharedRecords bounds the records that a node sends in one message.
	_maxSharedRecords = 32
	// _shareFor is how long a record of a call that is not blocked is sent to
	// other nodes after a change, or after another node has sent an older one.
	_shareFor = 10 * time.Second
)

// Merge merges another node's record and reports whether that changed anything,
// and whether it blocked the call.
func (t *Table) Merge(now time.Time, r Record) (changed, blocked bool) {
	if r.expired(now) || len(r.Crashes) > _maxCrashes || r.Trips > _maxTrips {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r.Content]
	if !ok {
		if len(r.Crashes) == 0 {
			return false, false
		}
		t.add(now, r).shareUntil = now.Add(_shareFor)
		return true, r.Trips > 0
	}
	if r.Generation != e.record.Generation || r.Trips != e.record.Trips {
		e.shareUntil = now.Add(_shareFor)
	}
	trips := e.record.Trips
	generation := e.record.Generation
	if !e.record.merge(now, r) {
		return false, false
	}
	e.shareUntil = now.Add(_shareFor)
	if e.record.Generation != generation {
		e.sound = nil
	}
	return true, e.record.Trips > trips
}

// Shared returns the records to send to other nodes: those of calls that are or
// were blocked, and others for _shareFor. If there are too many, half are the
// last changed, cleared ones included, and half the most important.
func (t *Table) Shared(now time.Time) []Record {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	var shared []*entry
	for _, e := range t.entries {
		if e.record.Trips > 0 || now.Before(e.shareUntil) {
			shared = append(shared, e)
		}
	}
	if len(shared) > _maxSharedRecords {
		const newest = _maxSharedRecords / 2
		slices.SortFunc(shared, func(a, b *entry) int { return b.shareUntil.Compare(a.shareUntil) })
		slices.SortFunc(shared[newest:], byWeight)
		shared = shared[:_maxSharedRecords]
	}
	slices.SortFunc(shared, byWeight)
	return recordsOf(shared)
}

// Records returns all records, and drops those that have expired. Those of
// blocked calls come first, then those with most crashes, then the newest.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	return recordsOf(slices.SortedFunc(maps.Values(t.entries), byWeight))
}

func recordsOf(entries []*entry) []Record {
	records := make([]Record, 0, len(entries))
	for _, e := range entries {
		records = append(records, e.record)
	}
	return records
}

// byWeight orders entries by how much their records matter, the most important first.
func byWeight(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(b.record.Trips, a.record.Trips),
		cmp.Compare(len(b.record.Crashes), len(a.record.Crashes)),
		b.record.ChangedAt.Compare(a.record.ChangedAt),
		slices.Compare(a.record.Content[:], b.record.Content[:]),
	)
}
