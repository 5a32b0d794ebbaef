package allotment

import (
	"math"
	"sync"
	"time"

	"lentilferry.example/lentilferry/config"
)

// bucket is the token bucket of a workspace.
type bucket struct {
	rate, burst float64
	// level is the number of tokens left; a debt if negative.
	level float64
	// demand is the number of calls asked for per second, the sum of the zones.
	demand float64
	zones  map[string]*zoneCount
}

// zoneCount is what a zone's reports say of one workspace.
type zoneCount struct {
	// admitted counts the calls of the last window.
	admitted ring
	// asked counts the calls asked for in the report that is being received.
	asked int64
	// demand is the number of calls asked for per second.
	demand float64
}

// zoneState is when a zone was last heard.
type zoneState struct {
	heardAt time.Time
	// silent is set if the demands don't include the zone any more.
	silent bool
}

// Holder keeps the buckets of all workspaces. It is safe for concurrent use.
type Holder struct {
	limits Limits

	mu      sync.Mutex
	sources sources
	buckets map[WorkspaceID]*bucket
	// members is the number of nodes that may admit calls.
	members int
	// settlesAt is when the holder begins to answer; the zero value while it has
	// heard from no collector.
	settlesAt time.Time
	settled   bool
	// vouchedSince is from when on the holder knows what was admitted.
	vouchedSince time.Time
	// updatedAt is when the levels were updated.
	updatedAt time.Time
	// share is the share of each rate and burst that the nodes get which this
	// holder hears from. The others keep a fixed share each.
	share float64
	// zones are those that were heard within the last window.
	zones map[string]*zoneState
}

// NewHolder returns a holder that has heard from no collector.
func NewHolder(limits Limits) *Holder {
	return &Holder{limits: limits, sources: make(sources), buckets: make(map[WorkspaceID]*bucket), zones: make(map[string]*zoneState), members: 1}
}

// SetWorkspaces sets the rates and bursts. They apply from then on; what was
// admitted before stays counted.
func (h *Holder) SetWorkspaces(now time.Time, workspaces []config.Workspace) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(now)
	configured := make(map[WorkspaceID]bool, len(workspaces))
	for _, w := range workspaces {
		if w.Rate <= 0 {
			continue
		}
		id := IDOf(w.Name)
		configured[id] = true
		b, ok := h.buckets[id]
		if !ok {
			b = &bucket{zones: make(map[string]*zoneCount)}
			h.buckets[id] = b
			if h.settled {
				b.level = w.Rate * now.Sub(h.vouchedSince).Seconds()
			}
		}
		b.rate, b.burst = w.Rate, w.Burst
		b.level = min(b.level, h.depth(b))
	}
	for id := range h.buckets {
		if !configured[id] {
			delete(h.buckets, id)
		}
	}
}

// SetMembers sets the number of nodes that may admit calls, including those
// that this node doesn't hear from.
func (h *Holder) SetMembers(members int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = max(1, members)
}

// Receive takes the report of a zone. It returns false if the collector has to
// send a full one.
func (h *Holder) Receive(now time.Time, r Report) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(now)
	zoneHeard := h.sources.hasZone(r.Zone)
	src, counted, resend := h.sources.accept(now, r)
	if !counted {
		return !resend
	}
	if h.settlesAt.IsZero() {
		h.settlesAt = now.Add(_settleTime)
	}
	elapsed := h.limits.Window
	if state, ok := h.zones[r.Zone]; ok {
		elapsed = min(elapsed, now.Sub(state.heardAt))
	}
	h.zones[r.Zone] = &zoneState{heardAt: now}
	reserved := time.Duration(0)
	if !zoneHeard {
		reserved = elapsed * time.Duration(r.Nodes) / time.Duration(max(h.members, r.Nodes))
	}
	for _, count := range r.Counts {
		asked, admitted := src.take(count)
		b, ok := h.buckets[count.Workspace]
		if !ok {
			continue
		}
		zone := b.zone(r.Zone)
		if src.continued {
			zone.asked += asked
			zone.admitted.add(now, h.limits.Window, admitted)
			b.level -= float64(admitted)
		}
		if r.Full {
			b.replace(now, h.limits.Window, zone, count.Recent, reserved)
		}
	}
	if src.continued && elapsed > 0 {
		h.updateDemand(r.Zone, elapsed)
	}
	return true
}

func (b *bucket) zone(name string) *zoneCount {
	zone, ok := b.zones[name]
	if !ok {
		zone = &zoneCount{}
		b.zones[name] = zone
	}
	return zone
}

// updateDemand updates the demand after a report of a zone, which covers the
// given time.
func (h *Holder) updateDemand(name string, elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/_demandTime.Seconds())
	for _, b := range h.buckets {
		if zone, ok := b.zones[name]; ok {
			before := zone.demand
			zone.updateDemand(elapsed, weight)
			b.demand = max(0, b.demand+zone.demand-before)
		}
	}
}

// updateDemand updates the demand after a report that covers the given time. A jump
// that random variation doesn't explain is taken over at once.
func (z *zoneCount) updateDemand(elapsed time.Duration, weight float64) {
	expected := z.demand * elapsed.Seconds()
	if float64(z.asked)-expected > _jumpDeviations*math.Sqrt(expected+1)+_jumpDeviations {
		weight = 1
	}
	z.demand += weight * (float64(z.asked)/elapsed.Seconds() - z.demand)
	z.asked = 0
}

// replace takes a full count of a zone. What exceeds both the known count and
// what the rate gives in the reserved time is charged to the bucket.
func (b *bucket) replace(now time.Time, window time.Duration, known *zoneCount, counts []uint32, reserved time.Duration) {
	var reported ring
	reported.addRecent(now, window, counts)
	excess := reported.total(now, window) - known.admitted.total(now, window)
	if excess <= 0 {
		return
	}
	known.admitted = reported
	b.level -= max(0, float64(excess)-b.rate*reserved.Seconds())
}

// State returns which workspaces are scarce.
func (h *Holder) State(now time.Time) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(now)
	if !h.settled {
		return State{}
	}
	st := State{Ready: true}
	for id, b := range h.buckets {
		if f := h.fraction(b); f < _scarceFraction {
			st.Scarce = append(st.Scarce, Fraction{Workspace: id, Value: f})
		}
	}
	return st
}

// fraction returns which part of the demand may be admitted, 0 or more. A debt
// is repaid before calls beyond it are admitted.
func (h *Holder) fraction(b *bucket) float64 {
	allowed := b.rate*h.share + b.level/_repayTime.Seconds()
	return max(0, allowed/max(b.demand, math.SmallestNonzeroFloat32))
}

// updateShare determines the share from the sources that aren't late.
func (h *Holder) updateShare(now time.Time) {
	heard, _ := h.sources.nodes(now, h.limits.Window)
	h.share = min(1, float64(heard)/float64(max(heard, h.members, 1))*(1+_usableOverage*h.limits.Overage))
}

// depth returns how many tokens a bucket can hold.
func (h *Holder) depth(b *bucket) float64 {
	return (b.burst + _burstSlack*h.limits.Slack) * h.share
}

// update adds the tokens of the time that has passed.
func (h *Holder) update(now time.Time) {
	if !h.sources.expire(now, h.limits.Window) {
		// Nobody takes this node for the holder.
		h.settlesAt, h.settled = time.Time{}, false
	}
	elapsed := now.Sub(h.updatedAt)
	if elapsed > 0 {
		h.updatedAt = now
		h.reserveLate(now)
		h.forgetZones(now)
	}
	h.updateShare(now)
	if elapsed <= 0 {
		return
	}
	if !h.settled {
		if !h.settlesAt.IsZero() && !now.Before(h.settlesAt) {
			h.settle(now)
		}
		return
	}
	for _, b := range h.buckets {
		b.level = min(h.depth(b), b.level+b.rate*h.share*elapsed.Seconds())
	}
}

// reserveLate charges the fixed shares of the nodes that weren't heard for a
// while, from when they were last heard. From then on, the share leaves them
// out.
func (h *Holder) reserveLate(now time.Time) {
	for _, src := range h.sources {
		silence := now.Sub(src.heardAt)
		if src.late || src.stale || silence <= _lateAfter {
			continue
		}
		src.late = true
		part := float64(src.nodes) / float64(max(h.members, src.nodes))
		for _, b := range h.buckets {
			b.level -= b.rate * part * silence.Seconds()
		}
	}
}

// forgetZones takes zones that weren't heard for too long out of the demands, and
// drops what is known of those whose counts have left the window.
func (h *Holder) forgetZones(now time.Time) {
	for name, state := range h.zones {
		silence := now.Sub(state.heardAt)
		if silence > StaleAfter && !state.silent {
			state.silent = true
			for _, b := range h.buckets {
				if zone, ok := b.zones[name]; ok {
					b.demand = max(0, b.demand-zone.demand)
					zone.demand = 0
				}
			}
		}
		if silence > h.limits.Window {
			delete(h.zones, name)
			for _, b := range h.buckets {
				delete(b.zones, name)
			}
		}
	}
}

// settle determines the levels from what the zones admitted in the last window.
// Each bucket is taken as empty at the beginning of the time for which the nodes
// have counts, so that after a restart of nodes none starts full.
func (h *Holder) settle(now time.Time) {
	h.settled = true
	_, vouched := h.sources.nodes(now, h.limits.Window)
	h.vouchedSince = now.Add(-vouched)
	slot := h.limits.Window / _slots
	for _, b := range h.buckets {
		var counts [_slots]int64
		for _, zone := range b.zones {
			for i, n := range zone.admitted.recent(now, h.limits.Window) {
				counts[i] += n
			}
		}
		b.level = 0
		for i := _slots - 1; i >= 0; i-- {
			refill := min(slot, max(0, vouched-time.Duration(i)*slot))
			b.level = min(h.depth(b), b.level+b.rate*h.share*refill.Seconds()-float64(counts[i]))
		}
	}
}
