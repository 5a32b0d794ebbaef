package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Timing holds the periods of failure detection.
type Timing struct {
	// SuspicionTimeout is how long a suspected member has to refute.
	SuspicionTimeout time.Duration
	// TombstoneTTL is how long a member that is gone is remembered.
	TombstoneTTL time.Duration
	// SyncInterval is the least time between two whole reconciliations.
	SyncInterval time.Duration
}

// DefaultTiming returns the periods for zones of about a hundred nodes.
func DefaultTiming() Timing {
	return Timing{
		SuspicionTimeout: 4 * time.Second,
		TombstoneTTL:     time.Hour,
		SyncInterval:     5 * time.Second,
	}
}

const (
	// _maxUpdatesPerMessage bounds the records piggybacked on one message.
	_maxUpdatesPerMessage = 12
	// _failedMemberOdds is how many contacts there are for one with a member
	// that counts as failed.
	_failedMemberOdds = 8
	// _retransmitMultiplier multiplies the logarithm of the zone's size to give how often
	// a record is passed on.
	_retransmitMultiplier = 3
)

// Table is one node's view of all members. It is safe for concurrent use:
// each zone is a shard with a lock of its own.
type Table struct {
	timing Timing

	selfMu sync.Mutex
	// self is this node's own record, of which it alone raises the sequence.
	self Member
	// revisionFloor is the highest revision that others say this node has run.
	revisionFloor uint64

	zonesMu sync.RWMutex
	zones   map[Zone]*shard

	queueMu sync.Mutex
	// queue holds the records still to be passed on.
	queue []queuedUpdate

	probeMu sync.Mutex
	// probeOrder is a shuffled round of the zone's members.
	probeOrder []NodeID
	rnd        *rand.Rand

	// generation grows with each change of any record.
	generation atomic.Uint64
	// changed holds a token after a change that nobody has waited for.
	changed chan struct{}
}

type shard struct {
	mu      sync.Mutex
	members map[NodeID]*record
	// hash is the exclusive or of all records' hashes.
	hash uint64
	// asOf is when the newest state left the zone.
	asOf time.Time
	// lastSync is when the zone was last reconciled whole.
	lastSync time.Time
}

type record struct {
	member Member
	// updatedAt is when the member was suspected or gone.
	updatedAt time.Time
}

type queuedUpdate struct {
	member Member
	// transmissionsLeft is how often the record is still passed on; above zero.
	transmissionsLeft int
}

// New returns a table that knows only this node.
func New(timing Timing, self Member, rnd *rand.Rand, now time.Time) *Table {
	t := &Table{timing: timing, self: self, zones: make(map[Zone]*shard), rnd: rnd, changed: make(chan struct{}, 1)}
	t.Merge(now, self)
	return t
}

// Self returns this node's own record.
func (t *Table) Self() Member {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	return t.self
}

// RevisionFloor returns the highest revision that this node is known to have run,
// in this life or an earlier one.
func (t *Table) RevisionFloor() uint64 {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	return t.revisionFloor
}

// Generation returns a number that changes with any record.
func (t *Table) Generation() uint64 {
	return t.generation.Load()
}

// UpdateSelf changes this node's own record and passes it on.
func (t *Table) UpdateSelf(now time.Time, change func(*Member)) {
	t.selfMu.Lock()
	before := t.self
	change(&t.self)
	if t.self == before {
		t.selfMu.Unlock()
		return
	}
	t.self.Sequence++
	self := t.self
	t.selfMu.Unlock()
	t.Merge(now, self)
}

// SetRevision notes which revision this node runs. That is not passed on by itself,
// but with the next change of the record: with each change of configuration
// every member would else tell every other.
func (t *Table) SetRevision(revision uint64) {
	t.selfMu.Lock()
	t.self.Revision = revision
	self := t.self
	t.selfMu.Unlock()
	s := t.shard(self.Zone)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.members[self.ID]; ok && r.member.Sequence == self.Sequence && r.member.Incarnation == self.Incarnation {
		r.member.Revision = revision
	}
}

// Merge takes in a record of a member and reports whether it was news. One of
// this node that is not its own is refuted.
func (t *Table) Merge(now time.Time, m Member) bool {
	if t.refute(now, m) {
		return true
	}
	s := t.shard(m.Zone)
	s.mu.Lock()
	news := s.put(now, m)
	s.mu.Unlock()
	if news {
		t.markChanged()
		t.enqueue(m)
	}
	return news
}

// markChanged notes that a record has changed.
func (t *Table) markChanged() {
	t.generation.Add(1)
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that gives a token after a record has changed. It
// is for one reader.
func (t *Table) Changed() <-chan struct{} {
	return t.changed
}

// refute answers a record of this node that is newer than its own record.
func (t *Table) refute(now time.Time, m Member) bool {
	t.selfMu.Lock()
	if m.ID == t.self.ID {
		t.revisionFloor = max(t.revisionFloor, m.Revision)
		// An earlier process of this node may have confirmed it.
		t.self.LastDeparture = t.self.LastDeparture.later(m.LastDeparture)
	}
	if m.ID != t.self.ID || !m.Supersedes(t.self) {
		t.selfMu.Unlock()
		return false
	}
	if m.Incarnation > t.self.Incarnation {
		t.self.Incarnation = m.Incarnation + 1
	}
	t.self.Sequence = max(t.self.Sequence, m.Sequence) + 1
	self := t.self
	t.selfMu.Unlock()
	return t.Merge(now, self)
}

func (s *shard) put(now time.Time, m Member) bool {
	old, found := s.members[m.ID]
	if found && !m.Supersedes(old.member) {
		kept := old.member.LastDeparture
		old.member.LastDeparture = kept.later(m.LastDeparture)
		return old.member.LastDeparture != kept
	}
	if found {
		m.LastDeparture = m.LastDeparture.later(old.member.LastDeparture)
		s.hash ^= old.member.Hash()
	}
	s.hash ^= m.Hash()
	s.members[m.ID] = &record{member: m, updatedAt: now}
	return true
}

func (t *Table) shard(zone Zone) *shard {
	t.zonesMu.RLock()
	s, ok := t.zones[zone]
	t.zonesMu.RUnlock()
	if ok {
		return s
	}
	t.zonesMu.Lock()
	defer t.zonesMu.Unlock()
	if s, ok = t.zones[zone]; !ok {
		s = &shard{members: make(map[NodeID]*record)}
		t.zones[zone] = s
	}
	return s
}

func (t *Table) enqueue(m Member) {
	t.queueMu.Lock()
	defer t.queueMu.Unlock()
	t.queue = slices.DeleteFunc(t.queue, func(q queuedUpdate) bool { return q.member.ID == m.ID })
	t.queue = append(t.queue, queuedUpdate{member: m, transmissionsLeft: t.transmissionLimit()})
}

func (t *Table) transmissionLimit() int {
	size := t.recordCount(t.Self().Zone)
	return _retransmitMultiplier * int(math.Ceil(math.Log2(float64(size)+2)))
}

// MemberCount returns how many members there are, with those that failed and may only
// be cut off.
func (t *Table) MemberCount() int {
	count := 0
	for _, zone := range t.zoneNames() {
		s := t.shard(zone)
		s.mu.Lock()
		for _, r := range s.members {
			if r.member.State != Left {
				count++
			}
		}
		s.mu.Unlock()
	}
	return count
}

// ZoneRecordCount returns how many members of a zone are known, those gone included.
func (t *Table) ZoneRecordCount(zone Zone) int {
	return t.recordCount(zone)
}

func (t *Table) recordCount(zone Zone) int {
	s := t.shard(zone)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members)
}

// Updates returns the records to piggyback on one message: this node's own
// and those passed on least.
func (t *Table) Updates() []Member {
	t.queueMu.Lock()
	defer t.queueMu.Unlock()
	slices.SortStableFunc(t.queue, func(a, b queuedUpdate) int { return b.transmissionsLeft - a.transmissionsLeft })
	n := min(len(t.queue), _maxUpdatesPerMessage)
	updates := make([]Member, 0, n)
	for i := range n {
		updates = append(updates, t.queue[i].member)
		t.queue[i].transmissionsLeft--
	}
	t.queue = slices.DeleteFunc(t.queue, func(q queuedUpdate) bool { return q.transmissionsLeft <= 0 })
	return updates
}

func (t *Table) zoneNames() []Zone {
	t.zonesMu.RLock()
	defer t.zonesMu.RUnlock()
	names := make([]Zone, 0, len(t.zones))
	for zone := range t.zones {
		names = append(names, zone)
	}
	slices.Sort(names)
	return names
}

// Member returns what is known of one member.
func (t *Table) Member(zone Zone, id NodeID) (Member, bool) {
	s := t.shard(zone)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return r.member, true
}

// ZoneOf returns the zone of a member, empty for one that is not known.
func (t *Table) ZoneOf(id NodeID) Zone {
	for _, zone := range t.zoneNames() {
		if _, ok := t.Member(zone, id); ok {
			return zone
		}
	}
	return ""
}

// ZoneMembers returns all that is known of a zone, sorted by ID.
func (t *Table) ZoneMembers(zone Zone) []Member {
	s := t.shard(zone)
	s.mu.Lock()
	members := make([]Member, 0, len(s.members))
	for _, r := range s.members {
		members = append(members, r.member)
	}
	s.mu.Unlock()
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members
}

// Members returns all known members, sorted by zone and ID.
func (t *Table) Members() []Member {
	names := t.zoneNames()
	members := make([]Member, 0, len(names))
	for _, zone := range names {
		members = append(members, t.ZoneMembers(zone)...)
	}
	return members
}
