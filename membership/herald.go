package membership

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// BroadcastScope is how far news is told at once. What is not told spreads by gossip.
type BroadcastScope int

// The scopes, each wider than the one before.
const (
	// ScopeOwnZone is the node's own zone.
	ScopeOwnZone BroadcastScope = iota + 1
	// ScopeNextZones adds a herald of each of the zones that come next in the order
	// of the names. It is for news that each zone should have from elsewhere too.
	ScopeNextZones
	// ScopeAllZones adds the heralds of all other zones, who tell their zones.
	ScopeAllZones
)

const (
	// _roleForwarder is the role of taking news for a zone.
	_roleForwarder = "herald"
	// _forwardersPerZone is how many members of a zone take news for it.
	_forwardersPerZone = 3
	// _nextZones is how many zones ScopeNear adds.
	_nextZones = 2
	// _minBroadcastInterval is the least time between two rounds, so that many changes at
	// once, as when a region starts, are told together.
	_minBroadcastInterval = 200 * time.Millisecond
	// _maxBroadcastRecords bounds the records that one round tells; those left
	// out spread by gossip.
	_maxBroadcastRecords = 48
)

// Broadcast is what a node tells at once, and how far.
type Broadcast struct {
	Scope   BroadcastScope
	Records []Member
}

// BroadcastQueue collects the news that a node is to tell at once. It is safe for
// concurrent use.
type BroadcastQueue struct {
	mu sync.Mutex
	// scope is the widest that was asked for since the last round; 0 when there
	// is no news.
	scope BroadcastScope
	// records holds the newest record of each member that is news.
	records map[NodeID]Member
	// lastTaken is when the lastTaken round was taken.
	lastTaken time.Time
	// changed holds a token after there was news.
	changed chan struct{}
}

// NewBroadcastQueue returns a herald without news.
func NewBroadcastQueue() *BroadcastQueue {
	return &BroadcastQueue{records: make(map[NodeID]Member), changed: make(chan struct{}, 1)}
}

// Add takes in news: records, or with none what every message carries anyway.
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

// Changed returns a channel that gives a token after there was news. It is for
// one reader.
func (q *BroadcastQueue) Changed() <-chan struct{} {
	return q.changed
}

// Take returns the round that is due and forgets its news. With no round due
// it returns the time until one is, or 0 when there is no news.
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

// BroadcastTargets returns the members that a round of the given scope is told to.
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

// nextZoneForwarders returns a herald of each near zone, another one for each zone
// that tells it, so that one which is gone does not keep the news from a zone.
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

// IsForwarder reports whether this node takes news for its zone.
func (t *Table) IsForwarder() bool {
	self := t.Self()
	return HoldsRole(t.ZoneMembers(self.Zone), _roleForwarder, _forwardersPerZone, self.ID)
}

// ShouldForward reports whether this node tells its zone what a peer told it: a herald
// does that with what comes from another zone.
func (t *Table) ShouldForward(from Zone) bool {
	return from != t.Self().Zone && t.IsForwarder()
}
