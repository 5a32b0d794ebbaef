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

// Timing holds the intervals and timeouts of failure detection and of the
// reconciliation between zones.
type Timing struct {
	// SuspicionTimeout is the time that a suspected member has to refute the
	// suspicion before it is marked as failed.
	SuspicionTimeout time.Duration
	// TombstoneTTL is the time for which the record of a member that left or
	// failed is kept.
	TombstoneTTL time.Duration
	// SyncInterval is the minimum time between two full reconciliations of a
	// zone.
	SyncInterval time.Duration
}

// DefaultTiming returns the timing for zones of about a hundred nodes.
func DefaultTiming() Timing {
	return Timing{
		SuspicionTimeout: 4 * time.Second,
		TombstoneTTL:     time.Hour,
		SyncInterval:     5 * time.Second,
	}
}

const (
	// _maxUpdatesPerMessage is the maximum number of records piggybacked on one
	// message.
	_maxUpdatesPerMessage = 12
	// _failedMemberOdds makes RandomMember return a failed member once in this
	// many calls on average, if there are live and failed ones.
	_failedMemberOdds = 8
	// _retransmitMultiplier times the logarithm of the zone's size is the
	// number of times that a record is sent.
	_retransmitMultiplier = 3
)

// Table is one node's view of all members. It is safe for concurrent use: each
// zone is a shard with its own lock.
type Table struct {
	timing Timing

	selfMu sync.Mutex
	// self is this node's own record. Only this node raises its sequence
	// number.
	self Member
	// revisionFloor is the highest revision in the records of this node that
	// were merged, including those that other nodes have sent.
	revisionFloor uint64

	zonesMu sync.RWMutex
	zones   map[Zone]*shard

	queueMu sync.Mutex
	// queue holds the records that still have to be sent to other members.
	queue []queuedUpdate

	probeMu sync.Mutex
	// probeOrder holds the members of the zone that are still to be probed in
	// this round, in random order.
	probeOrder []NodeID
	rnd        *rand.Rand

	// generation is incremented with each change of any record.
	generation atomic.Uint64
	// changed holds one token after a record has changed.
	changed chan struct{}
}

// shard holds the records of one zone.
type shard struct {
	mu      sync.Mutex
	members map[NodeID]*record
	// hash is the XOR of the hashes of all records.
	hash uint64
	// asOf is when the newest known state of the zone was current in the zone
	// itself.
	asOf time.Time
	// lastSync is when the zone was last fully reconciled.
	lastSync time.Time
}

// record is a member with the time of its last update.
type record struct {
	member Member
	// updatedAt is when the record was stored; for a suspected, left or failed
	// member, when it became so.
	updatedAt time.Time
}

// queuedUpdate is a record that is to be sent to other members.
type queuedUpdate struct {
	member Member
	// transmissionsLeft is the number of times that the record is still to be
	// sent; above zero.
	transmissionsLeft int
}

// New returns a table that holds only this node.
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

// RevisionFloor returns the highest revision that this node is known to have
// run, in this or an earlier incarnation.
func (t *Table) RevisionFloor() uint64 {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	return t.revisionFloor
}

// Generation returns a number that changes whenever any record changes.
func (t *Table) Generation() uint64 {
	return t.generation.Load()
}

// UpdateSelf changes this node's own record and queues it for other members.
// Without an actual change it does nothing. The change can't replace the last
// departure by an earlier one: another node may have sent a later one since the
// caller read the record.
func (t *Table) UpdateSelf(now time.Time, change func(*Member)) {
	t.selfMu.Lock()
	before := t.self
	change(&t.self)
	t.self.LastDeparture = t.self.LastDeparture.later(before.LastDeparture)
	if t.self == before {
		t.selfMu.Unlock()
		return
	}
	t.self.Sequence++
	self := t.self
	t.selfMu.Unlock()
	t.Merge(now, self)
}

// SetRevision stores the revision that this node runs. It does not queue the
// record: the revision is sent with the next other change. Otherwise, every
// member would send its record to every other one after each change of the
// configuration.
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

// Merge stores a record of a member if it is newer than the known one, queues
// it for other members, and reports whether anything changed. A newer record of
// this node that another node has sent is refuted.
func (t *Table) Merge(now time.Time, m Member) bool {
	if t.refute(now, m) {
		return true
	}
	s := t.shard(m.Zone)
	s.mu.Lock()
	changed := s.put(now, m)
	s.mu.Unlock()
	if changed {
		t.markChanged()
		t.enqueue(m)
	}
	return changed
}

// markChanged signals that a record has changed.
func (t *Table) markChanged() {
	t.generation.Add(1)
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a token after a record has changed.
// It supports a single reader.
func (t *Table) Changed() <-chan struct{} {
	return t.changed
}

// refute handles a record of this node that another node has sent. If that is
// newer than this node's own record, refute raises the sequence of the own
// record, and its incarnation if needed, so that the own record supersedes the
// received one. It reports whether this node's record changed.
func (t *Table) refute(now time.Time, m Member) bool {
	t.selfMu.Lock()
	if m.ID == t.self.ID {
		t.revisionFloor = max(t.revisionFloor, m.Revision)
		// An earlier process of this node may have confirmed the departure.
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

// put stores a record if it is newer than the known one, keeps the later
// departure of the two, and reports whether the stored record changed.
func (s *shard) put(now time.Time, m Member) bool {
	old, found := s.members[m.ID]
	if found && !m.Supersedes(old.member) {
		before := old.member.LastDeparture
		old.member.LastDeparture = before.later(m.LastDeparture)
		return old.member.LastDeparture != before
	}
	if found {
		m.LastDeparture = m.LastDeparture.later(old.member.LastDeparture)
		s.hash ^= old.member.Hash()
	}
	s.hash ^= m.Hash()
	s.members[m.ID] = &record{member: m, updatedAt: now}
	return true
}

// shard returns the shard of a zone, creating it if necessary.
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

// enqueue queues a record for other members in place of an older record of the
// same member.
func (t *Table) enqueue(m Member) {
	t.queueMu.Lock()
	defer t.queueMu.Unlock()
	t.queue = slices.DeleteFunc(t.queue, func(q queuedUpdate) bool { return q.member.ID == m.ID })
	t.queue = append(t.queue, queuedUpdate{member: m, transmissionsLeft: t.transmissionLimit()})
}

// transmissionLimit returns the number of times that a record is sent.
func (t *Table) transmissionLimit() int {
	size := t.recordCount(t.Self().Zone)
	return _retransmitMultiplier * int(math.Ceil(math.Log2(float64(size)+2)))
}

// MemberCount returns the number of members that have not left. It includes
// failed ones, which may be running behind a partition.
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

// ZoneRecordCount returns the number of known members of a zone, including
// those that left or failed.
func (t *Table) ZoneRecordCount(zone Zone) int {
	return t.recordCount(zone)
}

// recordCount returns the number of known members of a zone, including those
// that left or failed.
func (t *Table) recordCount(zone Zone) int {
	s := t.shard(zone)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members)
}

// Updates returns the records to piggyback on one message, at most
// _maxUpdatesPerMessage. Those that have been sent the fewest times come first.
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

// zoneNames returns the known zones, sorted.
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

// Member returns the record of one member.
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

// ZoneOf returns the zone of a member, or "" for an unknown one.
func (t *Table) ZoneOf(id NodeID) Zone {
	for _, zone := range t.zoneNames() {
		if _, ok := t.Member(zone, id); ok {
			return zone
		}
	}
	return ""
}

// ZoneMembers returns the records of all known members of a zone, sorted by ID.
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

// Members returns the records of all known members, sorted by zone and ID.
func (t *Table) Members() []Member {
	names := t.zoneNames()
	members := make([]Member, 0, len(names))
	for _, zone := range names {
		members = append(members, t.ZoneMembers(zone)...)
	}
	return members
}
