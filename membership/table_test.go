package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var _start = time.Unix(1_800_000_000, 0)

// member returns the record of the i-th node of a zone, which is serving.
func member(i int, zone Zone) Member {
	return Member{
		ID: NodeID(fmt.Sprintf("%s-%02d", zone, i)), Incarnation: 1, State: Serving, Zone: zone, Region: "r",
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, zone[0], 0, byte(i)}), 1), Service: "s", Version: "v", Slots: 1,
	}
}

// newTable returns a table that holds only the given node.
func newTable(m Member, seed uint64) *Table {
	return New(DefaultTiming(), m, rand.New(rand.NewPCG(seed, 1)), _start)
}

// Tables that merge the same records in any order and any number of times end
// with the same state.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			m := member(rapid.IntRange(0, 3).Draw(t, "id"), "a")
			m.Incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			m.Sequence = uint64(rapid.IntRange(0, 3).Draw(t, "sequence"))
			if incarnation := rapid.IntRange(0, 3).Draw(t, "departed"); incarnation > 0 {
				m.LastDeparture = Departure{Process: "u", Incarnation: uint64(incarnation)}
			}
			switch rapid.IntRange(0, 2).Draw(t, "precedence") {
			case 1:
				m.Suspected = true
			case 2:
				m.State = Failed
			}
			return m
		}), 1, 20).Draw(t, "records")
		first, second := newTable(member(9, "b"), 1), newTable(member(9, "b"), 2)
		for _, r := range records {
			first.Merge(_start, r)
		}
		for _, i := range rapid.Permutation(indexes(len(records))).Draw(t, "order") {
			second.Merge(_start, records[i])
			second.Merge(_start, records[i])
		}
		assert.DeepEqual(t, first.Digests(_start.Add(time.Second)), second.Digests(_start.Add(time.Second)))
		for _, m := range first.ZoneMembers("a") {
			same, ok := second.Member("a", m.ID)
			assert.Assert(t, ok && !same.Supersedes(m) && !m.Supersedes(same) && same.LastDeparture == m.LastDeparture)
		}
	})
}

// indexes returns the numbers from 0 to n-1.
func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// A suspected member can refute, fails after the suspicion timeout, and can
// come back after it was marked as failed.
func TestSuspicionAndRefutation(t *testing.T) {
	a, b := newTable(member(0, "a"), 1), newTable(member(1, "a"), 2)
	a.Merge(_start, b.Self())
	a.Suspect(_start, b.Self().ID)
	suspected, _ := a.Member("a", b.Self().ID)
	assert.Assert(t, suspected.Suspected)
	assert.Equal(t, len(a.Tick(_start.Add(3*time.Second))), 0)

	// The suspected node receives the suspicion and refutes it.
	b.Merge(_start, suspected)
	a.Merge(_start, b.Self())
	cleared, _ := a.Member("a", b.Self().ID)
	assert.Assert(t, !cleared.Suspected)

	// Without a refutation, it is marked as failed after the timeout.
	a.Suspect(_start, b.Self().ID)
	assert.Equal(t, len(a.Tick(_start.Add(3*time.Second))), 0)
	assert.Equal(t, len(a.Tick(_start.Add(4*time.Second))), 1)
	failed, _ := a.Member("a", b.Self().ID)
	assert.Equal(t, failed.State, Failed)

	// A node that was paused learns that it was marked as failed, and refutes.
	b.Merge(_start, failed)
	assert.Equal(t, b.Self().State, Serving)
	a.Merge(_start, b.Self())
	back, _ := a.Member("a", b.Self().ID)
	assert.Equal(t, back.State, Serving)
}

// A VM that replaces another and reuses its ID supersedes the old record, even
// if its clock is behind, and learns which revision its predecessor ran.
func TestReplacedNode(t *testing.T) {
	old := member(0, "a")
	old.Incarnation, old.Sequence, old.Revision = 50, 9, 7
	fresh := member(0, "a")
	fresh.Incarnation = 20
	table := newTable(fresh, 1)
	table.Merge(_start, old)
	assert.Assert(t, table.Self().Supersedes(old))
	assert.Equal(t, table.RevisionFloor(), uint64(7))
	assert.Equal(t, table.Self().Revision, uint64(0))
}

// The tombstone of a member that left is dropped after its time to live.
func TestTombstonesExpire(t *testing.T) {
	table := newTable(member(0, "a"), 1)
	gone := member(1, "a")
	gone.State = Left
	table.Merge(_start, gone)
	hash := table.Digests(_start)
	table.Tick(_start.Add(DefaultTiming().TombstoneTTL))
	_, known := table.Member("a", gone.ID)
	assert.Assert(t, !known)
	assert.Assert(t, len(hash) == 0 || hash[0].Hash != table.Digests(_start)[0].Hash)
}

// When one of the holders of a role fails, the others keep the role.
func TestRoleHoldersKeepRoleWhenOneFails(t *testing.T) {
	var zone []Member
	for i := range 92 {
		zone = append(zone, member(i, "a"))
	}
	before := RoleHolders(zone, "relay", 2)
	assert.Equal(t, len(before), 2)
	for i := range zone {
		if zone[i].ID == before[0].ID {
			zone[i].State = Failed
		}
	}
	after := RoleHolders(zone, "relay", 2)
	assert.Equal(t, after[0].ID, before[1].ID)
	assert.Assert(t, !HoldsRole(zone, "relay", 2, before[0].ID))
}

// The revision in force is the lowest one that a live member runs, and the
// members and zones behind it are listed.
func TestInForceNamesLaggingMembers(t *testing.T) {
	members := []Member{member(0, "a"), member(1, "a"), member(2, "a")}
	members[2].State = Failed
	a := NewAppliedRevisions()
	a.Record("a-00", 1, 5)
	// Members that have not reported yet, or only in an earlier incarnation,
	// count as running no revision.
	assert.Equal(t, a.Summarize("a", members).Lowest, uint64(0))
	a.Record("a-01", 0, 9)
	assert.Equal(t, a.Summarize("a", members).Lowest, uint64(0))
	a.Record("a-01", 1, 4)
	a.Record("a-01", 1, 3)
	zone := a.Summarize("a", members)
	assert.Equal(t, zone.Lowest, uint64(4))
	assert.DeepEqual(t, zone.Lagging, []LaggingMember{{ID: "a-01", Zone: "a", Revision: 4}})

	converged := ZoneApplied{Zone: "b", Reached: true, Lowest: 5, Newest: 5}
	got := MergeInForce([]ZoneApplied{zone, converged}, nil)
	assert.Equal(t, got.Revision, uint64(4))
	assert.DeepEqual(t, got.Lagging, zone.Lagging)
	got = MergeInForce([]ZoneApplied{converged, {Zone: "c"}}, nil)
	assert.Equal(t, got.Revision, uint64(0))
	assert.DeepEqual(t, got.Lagging, []LaggingMember{{Zone: "c"}})
	got = MergeInForce([]ZoneApplied{converged, {Zone: "c"}}, []Zone{"c"})
	assert.Equal(t, got.Revision, uint64(5))
	got = MergeInForce([]ZoneApplied{converged, {Zone: "d", Reached: true, Lowest: 3, Newest: 3}}, nil)
	assert.DeepEqual(t, got.Lagging, []LaggingMember{{Zone: "d", Revision: 3}})
}

// A new configuration revision does not queue a record for gossip.
func TestSetRevisionIsNotGossiped(t *testing.T) {
	table := newTable(member(0, "a"), 1)
	for len(table.Updates()) > 0 {
		continue
	}
	before := table.Digests(_start)
	table.SetRevision(7)
	assert.Equal(t, table.Self().Revision, uint64(7))
	assert.Equal(t, len(table.Updates()), 0)
	assert.DeepEqual(t, table.Digests(_start), before)
	own, _ := table.Member("a", "a-00")
	assert.Equal(t, own.Revision, uint64(7))
}

// Each message carries a bounded number of records, and each record is sent a
// bounded number of times.
func TestUpdatesAreBoundedAndRunOut(t *testing.T) {
	table := newTable(member(0, "a"), 1)
	for i := 1; i < 92; i++ {
		table.Merge(_start, member(i, "a"))
	}
	messages := 0
	for ; ; messages++ {
		updates := table.Updates()
		assert.Assert(t, len(updates) <= _maxUpdatesPerMessage)
		if len(updates) == 0 {
			break
		}
	}
	assert.Assert(t, messages <= 92*_retransmitMultiplier*8/_maxUpdatesPerMessage+1, "%d messages", messages)
}

// The last departure of a member's upstream is kept in whichever order its
// records arrive, and a restarted node learns its own from other nodes.
func TestLastDepartureSurvivesRestart(t *testing.T) {
	before, after := member(1, "a"), member(1, "a")
	before.LastDeparture = Departure{Process: "u", Incarnation: 7}
	after.Incarnation = 2
	for _, records := range [][]Member{{before, after}, {after, before}} {
		table := newTable(member(9, "a"), 1)
		for _, r := range records {
			table.Merge(_start, r)
		}
		known, _ := table.Member("a", before.ID)
		assert.Equal(t, known.Incarnation, uint64(2))
		assert.Equal(t, known.LastDeparture, before.LastDeparture)
	}
	restarted := newTable(after, 1)
	restarted.Merge(_start, before)
	assert.Equal(t, restarted.Self().LastDeparture, before.LastDeparture)
	// An earlier departure does not replace a later one.
	before.LastDeparture.Incarnation = 6
	restarted.Merge(_start, before)
	assert.Equal(t, restarted.Self().LastDeparture.Incarnation, uint64(7))
}

// A node reads its record, first contact then delivers the departure that an
// earlier process of the node confirmed, and the node writes what it has read:
// the departure stays.
func TestUpdateSelfKeepsLaterDeparture(t *testing.T) {
	table := newTable(member(1, "a"), 1)
	departed := Departure{Process: "u", Incarnation: 7}
	read := table.Self().LastDeparture
	sent := table.Self()
	sent.LastDeparture = departed
	table.Merge(_start, sent)
	table.UpdateSelf(_start, func(m *Member) {
		m.State = Draining
		m.LastDeparture = read
	})
	assert.Equal(t, table.Self().State, Draining)
	assert.Equal(t, table.Self().LastDeparture, departed)
}
