package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newConnectedTables returns tables that all know each other.
func newConnectedTables(zones, nodesPerZone int) []*Table {
	names := make([]Zone, 0, zones)
	for z := range zones {
		names = append(names, Zone(fmt.Sprintf("zone-%02d", z)))
	}
	s := newSimulation(names, nodesPerZone)
	for _, a := range s.tables {
		for _, b := range s.tables {
			a.Merge(s.now, b.Self())
		}
	}
	return s.tables
}

// A broadcast reaches all nodes, although each node sends it only to its own
// zone and a few members of each other zone.
func TestBroadcastReachesAllNodesWithinMessageBound(t *testing.T) {
	const zones, nodesPerZone = 12, 30
	tables := newConnectedTables(zones, nodesPerZone)
	byID := make(map[NodeID]*Table)
	for _, table := range tables {
		byID[table.Self().ID] = table
	}
	received := map[NodeID]int{tables[0].Self().ID: 0}
	broadcast := func(from *Table, scope BroadcastScope) []*Table {
		var reached []*Table
		targets := from.BroadcastTargets(scope)
		assert.Assert(t, len(targets) <= nodesPerZone-1+_forwardersPerZone*(zones-1), "one node sends to %d members", len(targets))
		for _, m := range targets {
			received[m.ID]++
			reached = append(reached, byID[m.ID])
		}
		return reached
	}
	messages := 0
	for _, peer := range broadcast(tables[0], ScopeAllZones) {
		messages++
		if peer.ShouldForward(tables[0].Self().Zone) {
			messages += len(broadcast(peer, ScopeOwnZone))
		}
	}
	assert.Equal(t, len(received), zones*nodesPerZone)
	assert.Assert(t, messages < 4*zones*nodesPerZone, "%d messages for %d nodes", messages, zones*nodesPerZone)
}

// Each zone receives broadcasts from two other zones, so that its own node that
// follows the platform may fail.
func TestNextZonesCoverEachOther(t *testing.T) {
	// receivers holds the members of each zone that other zones send to.
	receivers := make(map[Zone]map[NodeID]bool)
	for _, table := range newConnectedTables(6, 2) {
		for _, m := range table.BroadcastTargets(ScopeNextZones) {
			if m.Zone == table.Self().Zone {
				continue
			}
			if receivers[m.Zone] == nil {
				receivers[m.Zone] = make(map[NodeID]bool)
			}
			receivers[m.Zone][m.ID] = true
		}
	}
	assert.Equal(t, len(receivers), 6)
	for zone, forwarders := range receivers {
		assert.Equal(t, len(forwarders), _nextZones, "zone %s", zone)
	}
	// With a single zone, a broadcast only goes to the other members of that
	// zone.
	assert.Equal(t, len(newConnectedTables(1, 4)[0].BroadcastTargets(ScopeAllZones)), 3)
}

// The first update is broadcast at once. Later updates wait for the minimum
// interval and are sent together, with only the latest record of each member.
func TestBroadcastsAreBatched(t *testing.T) {
	queue := NewBroadcastQueue()
	_, due, wait := queue.Take(_start)
	assert.Assert(t, !due && wait == 0)
	m := member(1, "z")
	queue.Add(ScopeOwnZone, m)
	broadcast, due, _ := queue.Take(_start)
	assert.Assert(t, due)
	assert.DeepEqual(t, broadcast.Scope, ScopeOwnZone)
	assert.Equal(t, len(broadcast.Records), 1)

	m.Sequence++
	queue.Add(ScopeOwnZone, m)
	m.Sequence++
	queue.Add(ScopeAllZones, m)
	queue.Add(ScopeOwnZone)
	_, due, wait = queue.Take(_start.Add(_minBroadcastInterval / 4))
	assert.Assert(t, !due)
	assert.Equal(t, wait, _minBroadcastInterval-_minBroadcastInterval/4)
	broadcast, due, _ = queue.Take(_start.Add(_minBroadcastInterval))
	assert.Assert(t, due)
	assert.Equal(t, broadcast.Scope, ScopeAllZones)
	assert.Equal(t, len(broadcast.Records), 1)
	assert.Equal(t, broadcast.Records[0].Sequence, m.Sequence)
	_, due, _ = queue.Take(_start.Add(time.Minute))
	assert.Assert(t, !due)

	for i := range 2 * _maxBroadcastRecords {
		queue.Add(ScopeOwnZone, member(i, "z"))
	}
	broadcast, _, _ = queue.Take(_start.Add(time.Hour))
	assert.Equal(t, len(broadcast.Records), _maxBroadcastRecords)
}
