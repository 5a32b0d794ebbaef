package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulation runs tables in simulated time, one round per second, over links
// that lose messages or are partitioned.
type simulation struct {
	tables []*Table
	now    time.Time
	// dropped reports whether a message from one node to another is lost.
	dropped func(from, to int) bool
	// sentMessages and sentRecords count what was sent.
	sentMessages, sentRecords int
	// spreadRevisions makes nodes adopt a higher revision from each other.
	spreadRevisions bool
}

// newSimulation returns a simulation in which each node knows only the first
// one and itself.
func newSimulation(zones []Zone, nodesPerZone int) *simulation {
	s := &simulation{now: _start, dropped: func(int, int) bool { return false }}
	for z, zone := range zones {
		for i := range nodesPerZone {
			s.tables = append(s.tables, newTable(member(i, zone), uint64(z*1000+i)))
		}
	}
	first := s.tables[0].Self()
	for _, t := range s.tables {
		t.Merge(s.now, first)
	}
	return s
}

// index returns the index of a node, or -1.
func (s *simulation) index(id NodeID) int {
	for i, t := range s.tables {
		if t.Self().ID == id {
			return i
		}
	}
	return -1
}

// exchange sends records and digests in both directions and reports whether
// both messages arrived.
func (s *simulation) exchange(from, to int) bool {
	if to < 0 || s.dropped(from, to) {
		return false
	}
	a, b := s.tables[from], s.tables[to]
	digests := a.Digests(s.now)
	s.deliver(a.Updates(), b)
	b.ObserveAges(s.now, digests)
	answer := append(b.Updates(), b.RecordsToSync(s.now, digests)...)
	if s.dropped(to, from) {
		return false
	}
	s.deliver(answer, a)
	a.ObserveAges(s.now, b.Digests(s.now))
	if s.spreadRevisions {
		revision := max(a.Self().Revision, b.Self().Revision)
		a.SetRevision(revision)
		b.SetRevision(revision)
	}
	return true
}

// deliver merges records into a table and counts them.
func (s *simulation) deliver(members []Member, to *Table) {
	s.sentMessages++
	s.sentRecords += len(members)
	for _, m := range members {
		to.Merge(s.now, m)
	}
}

// round advances the time by one second. Each node probes one member, and the
// relays exchange state with the other zones.
func (s *simulation) round() {
	s.now = s.now.Add(time.Second)
	for i, t := range s.tables {
		t.Tick(s.now)
		if target, ok := t.NextProbe(); ok && !s.probe(i, target) {
			t.Suspect(s.now, target.ID)
		}
		if !HoldsRole(t.ZoneMembers(t.Self().Zone), "relay", 2, t.Self().ID) {
			continue
		}
		for _, zone := range t.OtherZones() {
			if m, ok := t.RandomMember(zone); ok {
				s.exchange(i, s.index(m.ID))
			}
		}
	}
}

// probe probes a member directly and then through two helpers, and reports
// whether it answered.
func (s *simulation) probe(from int, target Member) bool {
	to := s.index(target.ID)
	if s.exchange(from, to) {
		return true
	}
	for _, helper := range s.tables[from].RandomPeers(target.ID, 2) {
		h := s.index(helper.ID)
		if !s.dropped(from, h) && s.exchange(h, to) && !s.dropped(h, from) {
			return true
		}
	}
	return false
}

// countInState returns the number of tables that hold a member in the given
// state and not as suspected.
func (s *simulation) countInState(id NodeID, zone Zone, state State) int {
	n := 0
	for _, t := range s.tables {
		if m, ok := t.Member(zone, id); ok && m.State == state && !m.Suspected {
			n++
		}
	}
	return n
}

// All nodes learn of each other although each starts with one known node.
func TestAllNodesDiscoverEachOther(t *testing.T) {
	s := newSimulation([]Zone{"a", "b", "c"}, 30)
	for range 20 {
		s.round()
	}
	for _, table := range s.tables {
		assert.Equal(t, len(table.Members()), 90)
	}
}

// All other nodes mark a silent node as failed within 40 rounds. They mark no
// other node as failed, although one message in ten is lost.
func TestFailureDetectionUnderMessageLoss(t *testing.T) {
	const rounds = 40
	s := newSimulation([]Zone{"a"}, 40)
	for range 15 {
		s.round()
	}
	silent := 7
	sent := 0
	s.dropped = func(from, to int) bool {
		sent++
		return from == silent || to == silent || sent%10 == 0
	}
	id := s.tables[silent].Self().ID
	for range rounds {
		s.round()
	}
	assert.Equal(t, s.countInState(id, "a", Failed), 39)
	for i, table := range s.tables {
		if i == silent {
			continue
		}
		for _, m := range table.Members() {
			assert.Assert(t, m.ID == id || !m.State.Gone(), "%s is marked as %s", m.ID, m.State)
		}
	}
}

// If a link fails in one direction only, neither of its nodes is marked as
// failed, because the other nodes still reach both.
func TestHalfOpenLink(t *testing.T) {
	s := newSimulation([]Zone{"a"}, 10)
	for range 10 {
		s.round()
	}
	s.dropped = func(from, to int) bool { return from == 0 && to == 1 }
	for range 30 {
		s.round()
	}
	for _, table := range s.tables {
		for _, m := range table.Members() {
			assert.Assert(t, !m.State.Gone(), "%s is marked as %s", m.ID, m.State)
		}
	}
}

// Partitioned zones, and partitioned parts of a zone, find each other again
// when the partition heals, and end with the latest record of each member.
func TestPartitionHealsWithoutStaleRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation([]Zone{"a", "b"}, 6)
		for range 10 {
			s.round()
		}
		side := rapid.SliceOfN(rapid.Bool(), 12, 12).Draw(t, "side")
		s.dropped = func(from, to int) bool { return side[from] != side[to] }
		for range rapid.IntRange(1, 40).Draw(t, "partitionRounds") {
			s.round()
		}
		changed := rapid.IntRange(0, 11).Draw(t, "changed")
		s.tables[changed].UpdateSelf(s.now, func(m *Member) { m.Revision = 99 })
		s.dropped = func(int, int) bool { return false }
		for range 60 {
			s.round()
		}
		for _, table := range s.tables {
			members := table.Members()
			assert.Equal(t, len(members), 12)
			for _, m := range members {
				assert.Assert(t, m.State == Serving && !m.Suspected, "%s is %s in the table of %s", m.ID, m.State, table.Self().ID)
				own := s.tables[s.index(m.ID)].Self()
				assert.Equal(t, m.Revision, own.Revision)
			}
		}
	})
}
