package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newFleet returns the tables of a fleet in which all know each other.
func newFleet(zones, each int) []*Table {
	names := make([]Zone, 0, zones)
	for z := range zones {
		names = append(names, Zone(fmt.Sprintf("zone-%02d", z)))
	}
	s := newSchedule(names, each)
	for _, a := range s.tables {
		for _, b := range s.tables {
			a.Merge(s.now, b.Self())
		}
	}
	return s.tables
}

// News of one node reaches all at once, and no node sends to more than its
// zone and a few of each other one.
func TestNewsReachesAllWithoutTellingEach(t *testing.T) {
	const zones, each = 12, 30
	tables := newFleet(zones, each)
	byID := make(map[NodeID]*Table)
	for _, table := range tables {
		byID[table.Self().ID] = table
	}
	told := map[NodeID]int{tables[0].Self().ID: 0}
	tell := func(from *Table, scope Scope) []*Table {
		var reached []*Table
		audience := from.Audience(scope)
		assert.Assert(t, len(audience) <= each-1+_heralds*(zones-1), "%d are told by one", len(audience))
		for _, m := range audience {
			told[m.ID]++
			reached = append(reached, byID[m.ID])
		}
		return reached
	}
	messages := 0
	for _, peer := range tell(tables[0], ScopeAll) {
		messages++
		if peer.Passes(tables[0].Self().Zone) {
			messages += len(tell(peer, ScopeZone))
		}
	}
	assert.Equal(t, len(told), zones*each)
	assert.Assert(t, messages < 4*zones*each, "%d messages for %d nodes", messages, zones*each)
}

// Each zone takes news from two others, so that its own follower of the
// platform may fail.
func TestNearZonesCoverEachOther(t *testing.T) {
	// told holds who is told from each zone.
	told := make(map[Zone]map[NodeID]bool)
	for _, table := range newFleet(6, 2) {
		for _, m := range table.Audience(ScopeNear) {
			if m.Zone == table.Self().Zone {
				continue
			}
			if told[m.Zone] == nil {
				told[m.Zone] = make(map[NodeID]bool)
			}
			told[m.Zone][m.ID] = true
		}
	}
	assert.Equal(t, len(told), 6)
	for zone, heralds := range told {
		assert.Equal(t, len(heralds), _nearZones, "zone %s", zone)
	}
	// A single zone has nobody else to tell.
	assert.Equal(t, len(newFleet(1, 4)[0].Audience(ScopeAll)), 3)
}

// The first news is told at once; what comes soon after waits and is told
// together, the newest record of each member once.
func TestNewsIsToldTogether(t *testing.T) {
	h := NewHerald()
	_, due, left := h.Take(_start)
	assert.Assert(t, !due && left == 0)
	m := member(1, "z")
	h.Add(ScopeZone, m)
	round, due, _ := h.Take(_start)
	assert.Assert(t, due)
	assert.DeepEqual(t, round.Scope, ScopeZone)
	assert.Equal(t, len(round.Records), 1)

	m.Sequence++
	h.Add(ScopeZone, m)
	m.Sequence++
	h.Add(ScopeAll, m)
	h.Add(ScopeZone)
	_, due, left = h.Take(_start.Add(_heraldGap / 4))
	assert.Assert(t, !due)
	assert.Equal(t, left, _heraldGap-_heraldGap/4)
	round, due, _ = h.Take(_start.Add(_heraldGap))
	assert.Assert(t, due)
	assert.Equal(t, round.Scope, ScopeAll)
	assert.Equal(t, len(round.Records), 1)
	assert.Equal(t, round.Records[0].Sequence, m.Sequence)
	_, due, _ = h.Take(_start.Add(time.Minute))
	assert.Assert(t, !due)

	for i := range 2 * _heraldRecordsMost {
		h.Add(ScopeZone, member(i, "z"))
	}
	round, _, _ = h.Take(_start.Add(time.Hour))
	assert.Equal(t, len(round.Records), _heraldRecordsMost)
}
