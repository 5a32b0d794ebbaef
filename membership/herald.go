package membership

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Scope is how far news is told at once. What is not told spreads by gossip.
type Scope int

// The scopes, each wider than the one before.
const (
	// ScopeZone is the node's own zone.
	ScopeZone Scope = iota + 1
	// ScopeNear adds a herald of each of the zones that come next in the order
	// of the names. It is for news that each zone should have from elsewhere too.
	ScopeNear
	// ScopeAll adds the heralds of all other zones, who tell their zones.
	ScopeAll
)

const (
	// _roleHerald is the role of taking news for a zone.
	_roleHerald = "herald"
	// _heralds is how many members of a zone take news for it.
	_heralds = 3
	// _nearZones is how many zones ScopeNear adds.
	_nearZones = 2
	// _heraldGap is the least time between two rounds, so that many changes at
	// once, as when a region starts, are told together.
	_heraldGap = 200 * time.Millisecond
	// _heraldRecordsMost bounds the records that one round tells; those left
	// out spread by gossip.
	_heraldRecordsMost = 48
)

// Round is what a node tells at once, and how far.
type Round struct {
	Scope   Scope
	Records []Member
}

// Herald collects the news that a node is to tell at once. It is safe for
// concurrent use.
type Herald struct {
	mu sync.Mutex
	// scope is the widest that was asked for since the last round; 0 when there
	// is no news.
	scope Scope
	// records holds the newest record of each member that is news.
	records map[NodeID]Member
	// last is when the last round was taken.
	last time.Time
	// changed holds a token after there was news.
	changed chan struct{}
}

// NewHerald returns a herald without news.
func NewHerald() *Herald {
	return &Herald{records: make(map[NodeID]Member), changed: make(chan struct{}, 1)}
}

// Add takes in news: records, or with none what every message carries anyway.
func (h *Herald) Add(scope Scope, records ...Member) {
	h.mu.Lock()
	for _, m := range records {
		if _, known := h.records[m.ID]; known || len(h.records) < _heraldRecordsMost {
			h.records[m.ID] = m
		}
	}
	h.scope = max(h.scope, scope)
	h.mu.Unlock()
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that gives a token after there was news. It is for
// one reader.
func (h *Herald) Changed() <-chan struct{} {
	return h.changed
}

// Take returns the round that is due and forgets its news. With no round due
// it returns the time until one is, or 0 when there is no news.
func (h *Herald) Take(now time.Time) (round Round, due bool, left time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.scope == 0 {
		return Round{}, false, 0
	}
	if left = _heraldGap - now.Sub(h.last); !h.last.IsZero() && left > 0 {
		return Round{}, false, left
	}
	round = Round{Scope: h.scope}
	for _, m := range h.records {
		round.Records = append(round.Records, m)
	}
	slices.SortFunc(round.Records, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	h.scope, h.last = 0, now
	clear(h.records)
	return round, true, 0
}

// Audience returns the members that a round of the given scope is told to.
func (t *Table) Audience(scope Scope) []Member {
	self := t.Self()
	audience := slices.DeleteFunc(t.Zone(self.Zone), func(m Member) bool { return m.ID == self.ID || m.State.Gone() })
	if scope < ScopeNear {
		return audience
	}
	zones := t.OtherZones()
	if scope == ScopeNear {
		return append(audience, t.nearHeralds(zones)...)
	}
	for _, zone := range zones {
		audience = append(audience, Chosen(t.Zone(zone), _roleHerald, _heralds)...)
	}
	return audience
}

// nearHeralds returns a herald of each near zone, another one for each zone
// that tells it, so that one which is gone does not keep the news from a zone.
func (t *Table) nearHeralds(zones []Zone) []Member {
	next, _ := slices.BinarySearch(zones, t.Self().Zone)
	zones = append(slices.Clone(zones[next:]), zones[:next]...)
	var heralds []Member
	for i, zone := range zones[:min(_nearZones, len(zones))] {
		if chosen := Chosen(t.Zone(zone), _roleHerald, _heralds); len(chosen) > 0 {
			heralds = append(heralds, chosen[i%len(chosen)])
		}
	}
	return heralds
}

// IsHerald reports whether this node takes news for its zone.
func (t *Table) IsHerald() bool {
	self := t.Self()
	return IsChosen(t.Zone(self.Zone), _roleHerald, _heralds, self.ID)
}

// Passes reports whether this node tells its zone what a peer told it: a herald
// does that with what comes from another zone.
func (t *Table) Passes(from Zone) bool {
	return from != t.Self().Zone && t.IsHerald()
}
