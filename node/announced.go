package node

import (
	"time"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/upstream"
)

// HandleAnnouncement handles an announcement of the upstream on this VM. Once it
// returns, an upstream that is leaving gets no new calls. It returns
// upstream.Unrecorded if that could not be recorded in time.
func (n *Node) HandleAnnouncement(now time.Time, a upstream.Announcement) upstream.Result {
	before, _ := n.upstreamRegistry.Current(now)
	result := n.upstreamRegistry.HandleAnnouncement(now, a)
	if result == upstream.Accepted && (before.ID != a.ID || before.Incarnation != a.Incarnation || before.Leaving != a.Leaving) {
		n.deps.Logger.Info("Upstream announced itself", "process", a.ID, "incarnation", a.Incarnation, "sequence", a.Sequence,
			"version", a.Version, "slots", a.Slots, "leaving", a.Leaving, "coldFor", a.ColdFor)
	}
	n.syncUpstreamState(now)
	if a.Leaving && result != upstream.Foreign && !n.confirmDeparture(upstream.Instance{ID: a.ID, Incarnation: a.Incarnation}) {
		return upstream.Unrecorded
	}
	return result
}

// HandleDeparture handles a notice that the given process of the upstream on
// this VM is ending. Once it returns, that process gets no new calls. It returns
// upstream.Unrecorded if that could not be recorded in time.
func (n *Node) HandleDeparture(now time.Time, id upstream.ID) upstream.Result {
	result := n.upstreamRegistry.HandleDeparture(id)
	n.deps.Logger.Info("Upstream departure received", "process", id, "result", result.String())
	n.syncUpstreamState(now)
	if !n.confirmDeparture(n.upstreamRegistry.InstanceOf(id)) {
		return upstream.Unrecorded
	}
	return result
}

// ordersByCost reports whether the calls of the upstream wait and are refused by
// what that costs their callers: where the upstream reports how fast its VM is,
// or the configuration has workspaces.
func (n *Node) ordersByCost() bool {
	if _, ok := n.upstreamLoad.Newest(); ok {
		return true
	}
	table := n.Table()
	return table != nil && table.HasWorkspaces()
}

// syncUpstreamState updates the admission gate and this node's membership
// record from what is known of the upstream.
func (n *Node) syncUpstreamState(now time.Time) {
	n.upstreamMu.Lock()
	defer n.upstreamMu.Unlock()
	// Checked before the departure is read, which first contact may deliver at
	// any time.
	mayLearnDeparture := n.mayLearnDeparture(now)
	if d := n.members.Self().LastDeparture; d.Process != "" {
		n.upstreamRegistry.RestoreDeparture(upstream.Instance{ID: upstream.ID(d.Process), Incarnation: d.Incarnation})
	}
	current, state := n.upstreamRegistry.Current(now)
	n.recorder.SetVersion(current.Version)
	reason, allowed := n.mayServe(current.Version)
	if mayLearnDeparture {
		reason, allowed = "its recorded departures are not known yet", false
		state = upstream.Absent
	}
	lastDeparted := n.upstreamRegistry.LastDeparted()
	departed := membership.Departure{Process: string(lastDeparted.ID), Incarnation: lastDeparted.Incarnation}
	leaving := n.lifecycle.State() != membership.Starting
	switch {
	case !allowed || state != upstream.Cold && state != upstream.Ready:
		n.gate.Drain()
	case !leaving:
		limits := admission.ExactLimits(current.Slots)
		limits.ByCost = n.ordersByCost()
		n.gate.SetLimits(limits)
		n.gate.Resume()
	}
	if reason != n.exclusionReason {
		n.deps.Logger.Info("Upstream exclusion changed", "process", current.ID, "version", current.Version, "reason", reason)
		n.exclusionReason = reason
	}
	if leaving {
		// The record already says that the node is leaving.
		n.members.UpdateSelf(now, func(m *membership.Member) { m.LastDeparture = departed })
		return
	}
	var to membership.State
	switch {
	case n.Table() == nil || state == upstream.Absent:
		to = membership.Starting
	case state == upstream.Cold:
		to = membership.Warming
	case state == upstream.Ready:
		to = membership.Serving
	default:
		to = membership.Draining
	}
	before := n.members.Self()
	if before.State == to && before.Version == current.Version && before.Slots == current.Slots && before.LastDeparture == departed {
		return
	}
	n.deps.Logger.Info("Upstream state changed", "process", current.ID, "from", before.State.String(), "to", to.String(), "upstream", state.String())
	n.members.UpdateSelf(now, func(m *membership.Member) {
		m.State = to
		m.Version = current.Version
		m.Slots = current.Slots
		m.LastDeparture = departed
	})
	if after := n.members.Self(); changesRouting(before, after) {
		n.broadcasts.Add(membership.ScopeAllZones, after)
	}
}

// changesRouting reports whether a change of a record affects where calls are
// routed. Such a change must not wait for gossip.
func changesRouting(before, after membership.Member) bool {
	if before.State.AcceptsCalls() != after.State.AcceptsCalls() {
		return true
	}
	return after.State.AcceptsCalls() && (before.Version != after.Version || before.Slots != after.Slots)
}

// announcedProcess tells the call owner which process of an upstream that
// announces itself takes calls.
type announcedProcess struct{ node *Node }

var _ call.UpstreamProcess = announcedProcess{}

// upstreamProcess returns nil for an upstream that does not announce itself.
func (n *Node) upstreamProcess() call.UpstreamProcess {
	if n.upstreamRegistry == nil {
		return nil
	}
	return announcedProcess{node: n}
}

// Current returns the current process of the upstream, and whether it takes
// calls.
func (p announcedProcess) Current(now time.Time) (upstream.ID, bool) {
	current, state := p.node.upstreamRegistry.Current(now)
	return current.ID, state == upstream.Cold || state == upstream.Ready
}

// ReportAnswered records that the process answered a call.
func (p announcedProcess) ReportAnswered(now time.Time, id upstream.ID) {
	p.node.upstreamRegistry.MarkReachable(now, id)
}

// IsLeaving reports whether the process has said that it leaves.
func (p announcedProcess) IsLeaving(id upstream.ID) bool {
	return p.node.upstreamRegistry.IsLeaving(id)
}

// ReportUnreachable records that no connection to the process could be made.
func (p announcedProcess) ReportUnreachable(now time.Time, id upstream.ID) {
	p.node.upstreamRegistry.MarkUnreachable(id)
	p.node.deps.Logger.Info("Upstream connection failed", "process", id)
	p.node.syncUpstreamState(now)
}
