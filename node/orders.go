package node

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/move"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/quarantine"
	"lentilferry.example/lentilferry/wire"
)

// OrderStore provides the orders to move services between versions, and stores
// the progress of each.
type OrderStore interface {
	// Next waits for changes and returns the orders that have changed. With
	// allowStale set, the read costs less and may be seconds stale.
	Next(ctx context.Context, allowStale bool) ([]move.Order, error)
	// Read returns the currently stored order for a service.
	Read(ctx context.Context, service config.ServiceName) (move.Order, error)
	// Save stores the progress of an order unless the stored order has changed
	// since o was read.
	Save(ctx context.Context, o move.Order, p move.Progress) objectstore.WriteOutcome
}

const (
	// _orderInterval is the time between a node's steps for orders. It is short
	// because a bad version must be out of service within seconds.
	_orderInterval = 400 * time.Millisecond
	// _saveEndedInterval is the time between a node's attempts to store again
	// how orders have ended.
	_saveEndedInterval = time.Second
	// _roleCoordinator is the role of the coordinator, the node that decides on
	// an order, followed by the name of the order's service. All nodes must use
	// the same text to choose the same coordinator.
	_roleCoordinator = "pilot/"
	// _eligibleCoordinators is how many nodes are eligible as the coordinator
	// of an order.
	_eligibleCoordinators = 3
	// _coordinatorTimeout is how long a coordinator may be silent before
	// reports go to all nodes eligible for its role, and before a node may
	// exclude its own failing upstream.
	_coordinatorTimeout = 3 * time.Second
	// _maxSpeedRatio is how many times slower than others an upstream of a
	// service may be for reasons of its VM.
	_maxSpeedRatio = 2.5
	// _localMinFailures is how many failed calls of a candidate's upstream make
	// its own node exclude it while the coordinator is silent, if they are also
	// more than one in _localFailureDivisor calls.
	_localMinFailures    = 6
	_localFailureDivisor = 4
)

// watchOrders merges changes of orders from the order store while this node is
// a watcher.
func (n *Node) watchOrders(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = _initialBackoff
	retryDelay.MaxInterval = _maxSourceBackoff
	failing, hasRead := false, false
	for ctx.Err() == nil {
		isWatcher, allowStale := n.watcherRole()
		if !isWatcher || hasRead && n.isStartingUp() {
			sleep(ctx, _watcherCheckInterval)
			continue
		}
		orders, err := n.deps.OrderStore.Next(ctx, allowStale)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !failing {
				n.deps.Logger.Info("Orders unavailable", "cause", err.Error())
			}
			failing = true
			sleep(ctx, retryDelay.NextBackOff())
			continue
		}
		if failing {
			n.deps.Logger.Info("Orders available again")
		}
		failing, hasRead = false, true
		retryDelay.Reset()
		for _, o := range orders {
			if n.mergeOrderAndSync(o) {
				n.broadcasts.Add(broadcastScope(allowStale))
			}
		}
	}
}

// Orders returns the orders known to this node.
func (n *Node) Orders(now time.Time) []move.Order {
	return n.orderTable.Orders(now)
}

// MergeOrder merges an order from a peer and reports whether it was new.
func (n *Node) MergeOrder(o move.Order) bool {
	return n.mergeOrderAndSync(o)
}

// mergeOrderAndSync merges an order and reports whether it was new. If it was,
// the upstream's state is updated too, because the upstream may have to take
// calls or stop taking them.
func (n *Node) mergeOrderAndSync(o move.Order) bool {
	now := n.deps.Now()
	if !n.orderTable.Merge(now, o) {
		return false
	}
	o, _, _ = n.orderTable.Order(o.Service)
	p := o.Progress
	n.deps.Logger.Info("Order updated", "service", o.Service, "candidate", o.Candidate, "revision", o.Revision,
		"state", p.State.String(), "share", p.Share.Percent(), "pilot", p.Coordinator, "epoch", p.Epoch, "reason", p.Reason)
	if n.upstreamRegistry != nil {
		n.syncUpstreamState(now)
	}
	return true
}

// mayServe reports whether the order for the service of this node's upstream
// lets the upstream take calls with the given version, and the reason if not.
func (n *Node) mayServe(version config.VersionName) (string, bool) {
	o, seen, ok := n.orderTable.Order(n.deps.Upstream.Service)
	if !ok {
		return "", true
	}
	p := o.Progress
	isCandidate := version == o.Candidate
	switch {
	case isCandidate && n.quarantines.InAllZones(o.ID()) && !p.State.Ended():
		return "the version is quarantined", false
	case isCandidate && (p.State == move.Reverted || p.State == move.Ordered || p.State == move.Running && p.Share == 0):
		return "the version has no share", false
	case isCandidate && p.State == move.Running && n.deps.Now().Sub(seen) > _coordinatorTimeout && n.hasLocalFailures():
		return "the version fails on this upstream and its pilot is silent", false
	case !isCandidate && (p.State == move.Complete || p.State == move.Running && p.Share >= config.FullShare):
		return "the service has moved on", false
	default:
		return "", true
	}
}

// hasLocalFailures reports whether the upstream has enough failed calls to
// exclude it without a decision of the coordinator.
func (n *Node) hasLocalFailures() bool {
	var calls, failures uint64
	for _, t := range n.recorder.Tallies() {
		calls += t.Calls
		failures += t.Failures
	}
	return failures >= _localMinFailures && failures*_localFailureDivisor > calls
}

// stepOrders sends a report on the order for this node's service and takes the
// next step of each order that this node decides on.
func (n *Node) stepOrders(ctx context.Context) {
	activeOrders := n.orderTable.Active()
	ownOrder := ""
	for _, active := range activeOrders {
		eligible := n.eligibleCoordinators(active.Order.Service)
		if active.Order.Service == n.deps.Upstream.Service {
			ownOrder = active.Order.ID()
			n.recorder.SetRollout(ownOrder)
			n.syncUpstreamState(n.deps.Now())
			n.reportOrder(ctx, n.reportTargets(active, eligible), active)
		}
		n.decideOrder(ctx, active, eligible)
	}
	if ownOrder == "" {
		n.recorder.SetRollout("")
	}
	if len(activeOrders) == 0 && len(n.coordinators) > 0 {
		clear(n.coordinators)
		clear(n.orderDetectors)
	}
}

// eligibleCoordinators returns the nodes that may coordinate a service's order,
// the first choice first.
func (n *Node) eligibleCoordinators(service config.ServiceName) []membership.Member {
	return membership.RoleHolders(n.members.Members(), _roleCoordinator+string(service), _eligibleCoordinators)
}

// saveEndedOrders stores how orders have ended once more, if the store lost it
// when it was restored from a copy and this node is the one to decide on them.
func (n *Node) saveEndedOrders(ctx context.Context) {
	for _, ended := range n.orderTable.UnsavedEnds() {
		if !n.mayDecide(n.deps.Now(), ended, n.eligibleCoordinators(ended.Order.Service)) {
			continue
		}
		service := ended.Order.Service
		stored, err := n.deps.OrderStore.Read(ctx, service)
		if err != nil {
			n.deps.Logger.Info("Order not read", "service", service, "cause", err.Error())
			continue
		}
		n.deps.Logger.Info("Order read back", "service", service, "candidate", stored.Candidate, "revision", stored.Revision,
			"known", ended.Order.Progress.State.String(), "hasEnded", stored.HasEnded())
		switch {
		case stored.ID() != ended.Order.ID():
			n.mergeOrderAndSync(stored)
			continue
		case stored.HasEnded():
			n.mergeOrderAndSync(stored)
			n.orderTable.MarkSaved(service, stored.Revision)
			continue
		}
		outcome := n.deps.OrderStore.Save(ctx, stored, ended.Order.Progress)
		n.deps.Logger.Info("Order end stored again", "service", service, "candidate", stored.Candidate, "revision", stored.Revision,
			"state", ended.Order.Progress.State.String(), "result", outcome.Result.String())
		if outcome.Result == objectstore.Written {
			stored.Revision, stored.Progress = outcome.Version, ended.Order.Progress
			n.mergeOrderAndSync(stored)
		}
	}
}

// reportTargets returns the nodes to report to: the coordinator while it is
// heard from, otherwise all nodes eligible for its role.
func (n *Node) reportTargets(active move.ActiveOrder, eligible []membership.Member) []membership.Member {
	coordinator := active.Order.Progress.Coordinator
	if coordinator == "" || n.deps.Now().Sub(active.UpdatedAt) > _coordinatorTimeout {
		return eligible
	}
	for _, m := range n.members.Members() {
		if m.ID == coordinator && !m.State.Gone() {
			return []membership.Member{m}
		}
	}
	return eligible
}

// reportOrder sends this node's evidence on an order to the targets.
func (n *Node) reportOrder(ctx context.Context, targets []membership.Member, active move.ActiveOrder) {
	self := n.members.Self()
	report := evidence.Report{
		Rollout:         active.Order.ID(),
		Node:            self.ID,
		Incarnation:     self.Incarnation,
		Sequence:        n.reportSequence.Add(1),
		Tallies:         n.recorder.Tallies(),
		AppliedRevision: active.Order.Revision,
		InFlight:        n.gate.Load().Running,
	}
	for _, target := range targets {
		if target.ID == self.ID {
			n.collector.Add(n.deps.Now(), report)
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, _evidenceTimeout)
		_, err := n.clients.For(target.PeerAddress).Report(ctx, connect.NewRequest(wire.EncodeReport(report)))
		cancel()
		if err != nil {
			n.deps.Logger.V(1).Info("Order report not delivered", "pilot", target.ID, "cause", err.Error())
		}
	}
}

// mayDecide reports whether this node is the one to decide on an order.
func (n *Node) mayDecide(now time.Time, active move.ActiveOrder, eligible []membership.Member) bool {
	rank := slices.IndexFunc(eligible, func(m membership.Member) bool { return m.ID == n.deps.ID })
	return move.MayDecide(now, n.deps.ID, rank, active)
}

// decideOrder takes the next step of an order if this node is the one to decide
// on it.
func (n *Node) decideOrder(ctx context.Context, active move.ActiveOrder, eligible []membership.Member) {
	now := n.deps.Now()
	id := active.Order.ID()
	if !n.mayDecide(now, active, eligible) {
		delete(n.coordinators, id)
		return
	}
	coordinator, ok := n.coordinators[id]
	if !ok {
		coordinator = move.NewCoordinator(n.deps.ID, active)
		n.coordinators[id] = coordinator
	}
	next, write := coordinator.Decide(now, active, n.orderInputs(now, active))
	if !write {
		return
	}
	if next.State == move.Reverted {
		n.quarantineEverywhere(active.Order, next.Reason)
	}
	outcome := n.deps.OrderStore.Save(ctx, active.Order, next)
	n.deps.Logger.Info("Order decision made", "service", active.Order.Service, "candidate", active.Order.Candidate, "revision", active.Order.Revision,
		"state", next.State.String(), "share", next.Share.Percent(), "left", next.Remaining, "epoch", next.Epoch, "reason", next.Reason,
		"result", outcome.Result.String())
	if outcome.Result != objectstore.Written {
		delete(n.coordinators, id)
		n.rereadOrder(ctx, active.Order.Service)
		return
	}
	saved := active.Order
	saved.Revision = outcome.Version
	saved.Progress = next
	changed := next.State != active.Order.Progress.State || next.Share != active.Order.Progress.Share
	if n.mergeOrderAndSync(saved) && changed {
		n.broadcasts.Add(membership.ScopeAllZones)
	}
}

// quarantineEverywhere excludes an order's candidate from all traffic before
// the decision is stored: peers can be reached even when the platform can't.
func (n *Node) quarantineEverywhere(o move.Order, reason string) {
	added := n.quarantines.Add(quarantine.Quarantine{
		Rollout: o.ID(),
		Zone:    quarantine.AllZones,
		Service: o.Service,
		Version: o.Candidate,
		Reason:  reason,
	})
	if !added {
		return
	}
	n.deps.Logger.Info("Quarantined version", "service", o.Service, "version", o.Candidate, "reason", reason)
	n.syncUpstreamState(n.deps.Now())
	n.broadcasts.Add(membership.ScopeAllZones)
}

// rereadOrder reads the stored order and merges it, after a write that lost a
// race or whose response was lost: the watch may be behind.
func (n *Node) rereadOrder(ctx context.Context, service config.ServiceName) {
	o, err := n.deps.OrderStore.Read(ctx, service)
	if err != nil {
		n.deps.Logger.Info("Order not read", "service", service, "cause", err.Error())
		return
	}
	n.mergeOrderAndSync(o)
}

// orderInputs returns what a decision on an order is based on: the verdict on
// the candidate and the state of the service's upstreams.
func (n *Node) orderInputs(now time.Time, active move.ActiveOrder) move.Inputs {
	id := active.Order.ID()
	detector, ok := n.orderDetectors[id]
	if !ok {
		detector = evidence.NewHeterogeneousDetector("", active.Order.Candidate, _maxSpeedRatio)
		n.orderDetectors[id] = detector
	}
	reports := n.collector.Reports(id)
	detector.Observe(now, "", reports)
	upstreams := make([]move.Upstream, 0, len(reports))
	for _, m := range n.members.Members() {
		if m.Service != active.Order.Service || m.State.Gone() || m.Version == "" {
			continue
		}
		up := move.Upstream{Owner: m.ID, Version: m.Version, AcceptsCalls: m.State.AcceptsCalls(), Warm: m.State == membership.Serving}
		for _, r := range reports {
			if r.Node == m.ID && r.ReceivedAt.After(up.ReportedAt) {
				up.ReportedAt, up.AppliedRevision, up.InFlight = r.ReceivedAt, r.AppliedRevision, r.InFlight
			}
		}
		upstreams = append(upstreams, up)
	}
	return move.Inputs{Verdict: detector.Verdict(), Upstreams: upstreams}
}
