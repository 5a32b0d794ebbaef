package membership

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// BroadcastScope is the set of nodes to which an update is pushed directly.
// Nodes outside the scope receive it by gossip.
type BroadcastScope int

// The broadcast scopes, each a superset of the one before.
const (
	// ScopeOwnZone covers the members of the node's own zone.
	ScopeOwnZone BroadcastScope = iota + 1
	// ScopeNextZones adds one forwarder of each of the zones that follow in
	// sorted order. It is for updates that each zone should also receive from
	// other zones.
	ScopeNextZones
	// ScopeAllZones adds the forwarders of all other zones, which push the
	// update to their own zones.
	ScopeAllZones
)

const (
	// _roleForwarder is the role of receiving broadcasts from other zones and
	// pushing them to the node's own zone. Nodes hash this text, so it must be
	// the same on all of them.
	_roleForwarder = "herald"
	// _forwardersPerZone is the number of forwarders of each zone.
	_forwardersPerZone = 3
	// _nextZones is the number of zones that ScopeNextZones adds.
	_nextZones = 2
	// _minBroadcastInterval is the minimum time between two broadcasts, so that
	// many changes in a short time, as when a region starts, are sent together.
	_minBroadcastInterval = 200 * time.Millisecond
	// _maxBroadcastRecords is the maximum number of records in one broadcast;
	// the remaining ones spread by gossip.
	_maxBroadcastRecords = 48
)

// Broadcast is a batch of records to push to the members of a scope.
type Broadcast struct {
	Scope   BroadcastScope
	Records []Member
}

// BroadcastQueue collects the updates that a node pushes to other members
// instead of leaving them to gossip. It is safe for concurrent use.
type BroadcastQueue struct {
	mu sync.Mutex
	// scope is the widest scope requested since the last broadcast; 0 when the
	// queue is empty.
	scope BroadcastScope
	// records holds the latest queued record of each member.
	records map[NodeID]Member
	// lastTaken is when the last broadcast was taken from the queue.
	lastTaken time.Time
	// changed holds one token after an update was added.
	changed chan struct{}
}

// NewBroadcastQueue returns an empty queue.
func NewBroadcastQueue() *BroadcastQueue {
	return &BroadcastQueue{records: make(map[NodeID]Member), changed: make(chan struct{}, 1)}
}

// Add queues an update for the members of the scope. Without records, the
// broadcast carries only what every message carries anyway. Once
// _maxBroadcastRecords members are queued, records of further members are left
// to gossip.
func (q *BroadcastQueue) Add(scope BroadcastScope, records ...Member) {
	q.mu.Lock()
	for _, m := range records {
		if _, known := q.records[m.ID]; known || len(q.records) < _maxBroadcastRecords {
			q.records[m.ID] = m
		}
	}
	q.scope = max(q.scope, scope)
	q.mu.Unlock()
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a token after an update was added. It
// supports a single reader.
func (q *BroadcastQueue) Changed() <-chan struct{} {
	return q.changed
}

// Take removes and returns the next broadcast, with its records sorted by ID,
// and reports whether one is due. If none is due yet, wait is the time until
// then, or 0 if the queue is empty.
func (q *BroadcastQueue) Take(now time.Time) (broadcast Broadcast, due bool, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.scope == 0 {
		return Broadcast{}, false, 0
	}
	if wait = _minBroadcastInterval - now.Sub(q.lastTaken); !q.lastTaken.IsZero() && wait > 0 {
		return Broadcast{}, false, wait
	}
	broadcast = Broadcast{Scope: q.scope}
	for _, m := range q.records {
		broadcast.Records = append(broadcast.Records, m)
	}
	slices.SortFunc(broadcast.Records, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	q.scope, q.lastTaken = 0, now
	clear(q.records)
	return broadcast, true, 0
}

// BroadcastTargets returns the members to which a broadcast of the given scope
// is sent, without this node.
func (t *Table) BroadcastTargets(scope BroadcastScope) []Member {
	self := t.Self()
	targets := slices.DeleteFunc(t.ZoneMembers(self.Zone), func(m Member) bool { return m.ID == self.ID || m.State.Gone() })
	if scope < ScopeNextZones {
		return targets
	}
	zones := t.OtherZones()
	if scope == ScopeNextZones {
		return append(targets, t.nextZoneForwarders(zones)...)
	}
	for _, zone := range zones {
		targets = append(targets, RoleHolders(t.ZoneMembers(zone), _roleForwarder, _forwardersPerZone)...)
	}
	return targets
}

// nextZoneForwarders returns one forwarder of each of the next zones. Each of
// the zones that send to the same zone uses a different forwarder of it, so
// that one failed forwarder does not cut a zone off from the updates.
func (t *Table) nextZoneForwarders(zones []Zone) []Member {
	next, _ := slices.BinarySearch(zones, t.Self().Zone)
	zones = append(slices.Clone(zones[next:]), zones[:next]...)
	var forwarders []Member
	for i, zone := range zones[:min(_nextZones, len(zones))] {
		if holders := RoleHolders(t.ZoneMembers(zone), _roleForwarder, _forwardersPerZone); len(holders) > 0 {
			forwarders = append(forwarders, holders[i%len(holders)])
		}
	}
	return forwarders
}

// IsForwarder reports whether this node forwards broadcasts to its own zone.
func (t *Table) IsForwarder() bool {
	self := t.Self()
	return HoldsRole(t.ZoneMembers(self.Zone), _roleForwarder, _forwardersPerZone, self.ID)
}

// ShouldForward reports whether this node must push an update that it received
// from the given zone to its own zone. Forwarders do so with updates from other
// zones.
func (t *Table) ShouldForward(from Zone) bool {
	return from != t.Self().Zone && t.IsForwarder()
}
