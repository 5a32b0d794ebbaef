package allotment

import (
	"sync"
	"time"

	"lentilferry.example/lentilferry/config"
)

// Collector adds up the reports of the nodes of a zone and keeps the newest
// state of the holder for them. It is safe for concurrent use.
type Collector struct {
	limits Limits
	name   string
	zone   string

	mu      sync.Mutex
	sole    bool
	epoch   uint64
	sources sources
	sums    map[WorkspaceID]*counter
	sender  sender
	state   State
	// stateAt is when the holder determined the state.
	stateAt time.Time
	// exchangedAt is when the last report for the holder was taken.
	exchangedAt time.Time
}

// NewCollector returns a collector that has heard from no node. The epoch is
// higher than those of earlier processes of this node.
func NewCollector(limits Limits, name, zone string, epoch uint64) *Collector {
	return &Collector{limits: limits, name: name, zone: zone, sole: true, epoch: epoch, sources: make(sources), sums: make(map[WorkspaceID]*counter)}
}

// SetWorkspaces drops the counts of workspaces that are no longer configured.
func (c *Collector) SetWorkspaces(workspaces []config.Workspace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	configured := idsOf(workspaces)
	for id := range c.sums {
		if !configured[id] {
			delete(c.sums, id)
			// The counter starts at zero if the workspace is configured again.
			c.epoch++
			c.sender = sender{}
		}
	}
}

func idsOf(workspaces []config.Workspace) map[WorkspaceID]bool {
	ids := make(map[WorkspaceID]bool, len(workspaces))
	for _, w := range workspaces {
		ids[IDOf(w.Name)] = true
	}
	return ids
}

// Receive takes a report of a node. It returns false if the node has to send a
// full one.
func (c *Collector) Receive(now time.Time, r Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	src, counted, resend := c.sources.accept(now, r)
	if !counted {
		return !resend
	}
	if !src.continued {
		// The holder learns of the node's recent calls from a full report only.
		c.sender.receiver = ""
	}
	for _, count := range r.Counts {
		sum, ok := c.sums[count.Workspace]
		if !ok {
			sum = &counter{}
			c.sums[count.Workspace] = sum
		}
		asked, admitted := src.take(count)
		if !src.continued {
			// What the node counted earlier was reported by another collector, or
			// came from a fixed share. It is only part of what was recent.
			sum.ring.addRecent(now, c.limits.Window, count.Recent)
			continue
		}
		sum.asked += uint64(asked)
		sum.admitted += uint64(admitted)
		sum.ring.add(now, c.limits.Window, admitted)
	}
	return true
}

// HasSources reports whether any node reports to this collector.
func (c *Collector) HasSources(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sources.expire(now, c.limits.Window)
}

// ExchangeDelay returns how long to wait for further reports of nodes before the
// next exchange with the holder, in a fleet of the given size.
func (c *Collector) ExchangeDelay(now time.Time, nodes int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	interval := ExchangeInterval
	if nodes > _largeFleet {
		interval = _longExchangeInterval
	}
	return max(interval/4, c.exchangedAt.Add(interval).Sub(now))
}

// SetSole sets whether this is the only collector of its zone. Otherwise its
// reports don't replace those of another collector of the zone.
func (c *Collector) SetSole(sole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sole = sole
}

// Report returns the report of the zone for the holder.
func (c *Collector) Report(now time.Time, holder string) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources.expire(now, c.limits.Window)
	c.exchangedAt = now
	r := Report{Source: c.name, Zone: c.zone, Epoch: c.epoch}
	if !c.sole {
		r.Zone += "/" + c.name
	}
	r.Sequence, r.Full = c.sender.next(holder)
	r.Nodes, r.Vouched = c.sources.nodes(now, c.limits.Window)
	for id, sum := range c.sums {
		sum.appendTo(&r, id, now, c.limits.Window)
	}
	return r
}

// Apply stores the holder's answer to the report with the given sequence.
func (c *Collector) Apply(now time.Time, holder string, sequence uint64, st State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence != c.sender.sequence {
		return
	}
	if c.sender.answered(holder, st) {
		for _, sum := range c.sums {
			sum.answered = sum.sent
		}
	}
	if st.Ready {
		c.state, c.stateAt = st, now.Add(-st.Age)
	}
}

// State returns the newest state of the holder.
func (c *Collector) State(now time.Time) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.state
	st.Age = max(0, now.Sub(c.stateAt))
	st.Ready = st.Ready && st.Age < StaleAfter
	return st
}
