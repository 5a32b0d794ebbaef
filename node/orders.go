package node

import (
	"context"
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

// OrderStore gives a node the orders to move services between versions, and keeps
// what was decided on them.
type OrderStore interface {
	// Next waits for changes and returns the orders that have changed. With
	// mayLag it costs less and may be seconds late.
	Next(ctx context.Context, allowStale bool) ([]move.Order, error)
	// Read returns a service's order as it is stored now.
	Read(ctx context.Context, service config.ServiceName) (move.Order, error)
	// Save stores progress with an order that must not have changed since.
	Save(ctx context.Context, o move.Order, p move.Progress) objectstore.WriteOutcome
}

const (
	// _orderInterval is the time between a node's steps while orders are under
	// way: a bad version is to be out within seconds.
	_orderInterval = 400 * time.Millisecond
	// _rolePilot is the role of deciding on an order.
	_rolePilot = "pilot/"
	// _pilotCandidates is how many nodes stand in line for an order.
	_pilotCandidates = 3
	// _pilotTimeout is the silence of a pilot after which reports go to the whole
	// line.
	_pilotTimeout = 3 * time.Second
	// _maxSpeedRatio is how much slower than others the upstreams of a service
	// may be for reasons of their VM.
	_maxSpeedRatio = 2.5
	// _localMinFailures is how many failures of a candidate's upstream make its
	// own node keep it out while the pilot is silent, if they are more than one
	// in _alonePart.
	_localMinFailures    = 6
	_localFailureDivisor = 4
)

// watchOrders takes over each change of an order.
func (n *Node) watchOrders(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = _initialBackoff
	retryDelay.MaxInterval = _maxSourceBackoff
	failing, read := false, false
	for ctx.Err() == nil {
		isWatcher, allowStale := n.watcherRole()
		if !isWatcher || read && n.isStartingUp() {
			sleep(ctx, _watcherCheckInterval)
			continue
		}
		orders, err := n.deps.OrderStore.Next(ctx, allowStale)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !failing {
				n.deps.Logger.Info("Orders lost", "cause", err.Error())
			}
			failing = true
			sleep(ctx, retryDelay.NextBackOff())
			continue
		}
		if failing {
			n.deps.Logger.Info("Orders regained")
		}
		failing, read = false, true
		retryDelay.Reset()
		for _, o := range orders {
			if n.mergeOrder(o) {
				n.herald.Add(updateScope(allowStale))
			}
		}
	}
}

// Orders returns the orders that this node knows.
func (n *Node) Orders(now time.Time) []move.Order {
	return n.orderBook.Orders(now)
}

// HearOrder takes in an order from a peer and reports whether it was news.
func (n *Node) MergeOrder(o move.Order) bool {
	return n.mergeOrder(o)
}

// mergeOrder takes in an order and reports whether it was news.
func (n *Node) mergeOrder(o move.Order) bool {
	now := n.deps.Now()
	if !n.orderBook.Merge(now, o) {
		return false
	}
	p := o.Progress
	n.deps.Logger.Info("Order learnt", "service", o.Service, "candidate", o.Candidate, "revision", o.Revision,
		"state", p.State.String(), "share", p.Share.Percent(), "pilot", p.Coordinator, "epoch", p.Epoch, "reason", p.Reason)
	if n.upstreamRegistry != nil {
		n.syncUpstreamState(now)
	}
	return true
}

// mayServe reports whether the upstream of this node may take calls by the
// order for its service, and says why not.
func (n *Node) mayServe(version config.VersionName) (string, bool) {
	o, seen, ok := n.orderBook.Order(n.deps.Upstream.Service)
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
	case isCandidate && p.State == move.Running && n.deps.Now().Sub(seen) > _pilotTimeout && n.hasLocalFailures():
		return "the version fails on this upstream and its pilot is silent", false
	case !isCandidate && (p.State == move.Complete || p.State == move.Running && p.Share >= config.FullShare):
		return "the service has moved on", false
	default:
		return "", true
	}
}

// hasLocalFailures reports whether the upstream's own failures speak against it.
func (n *Node) hasLocalFailures() bool {
	var calls, failures uint64
	for _, t := range n.recorder.Tallies() {
		calls += t.Calls
		failures += t.Failures
	}
	return failures >= _localMinFailures && failures*_localFailureDivisor > calls
}

// stepOrders reports on the orders for this node's service and decides on those
// that are this node's to decide on.
func (n *Node) stepOrders(ctx context.Context) {
	underWay := n.orderBook.Active()
	ownOrder := ""
	for _, u := range underWay {
		candidates := membership.RoleHolders(n.members.Members(), _rolePilot+string(u.Order.Service), _pilotCandidates)
		if u.Order.Service == n.deps.Upstream.Service {
			ownOrder = u.Order.ID()
			n.recorder.SetRollout(ownOrder)
			n.syncUpstreamState(n.deps.Now())
			n.reportOrder(ctx, n.reportTargets(u, candidates), u)
		}
		n.decideOrder(ctx, u, candidates)
	}
	if ownOrder == "" {
		n.recorder.SetRollout("")
	}
	if len(underWay) == 0 && len(n.pilots) > 0 {
		clear(n.pilots)
		clear(n.orderDetectors)
	}
}

// reportTargets returns the nodes to report to: the pilot while it is heard of, and
// else all that may take over.
func (n *Node) reportTargets(u move.ActiveOrder, line []membership.Member) []membership.Member {
	pilot := u.Order.Progress.Coordinator
	if pilot == "" || n.deps.Now().Sub(u.UpdatedAt) > _pilotTimeout {
		return line
	}
	for _, m := range n.members.Members() {
		if m.ID == pilot && !m.State.Gone() {
			return []membership.Member{m}
		}
	}
	return line
}

func (n *Node) reportOrder(ctx context.Context, pilots []membership.Member, u move.ActiveOrder) {
	self := n.members.Self()
	report := evidence.Report{
		Rollout:         u.Order.ID(),
		Node:            self.ID,
		Incarnation:     self.Incarnation,
		Sequence:        n.reportSequence.Add(1),
		Tallies:         n.recorder.Tallies(),
		AppliedRevision: u.Order.Revision,
		InFlight:        n.gate.Load().Running,
	}
	for _, pilot := range pilots {
		if pilot.ID == self.ID {
			n.collector.Add(n.deps.Now(), report)
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, _evidenceTimeout)
		_, err := n.clients.For(pilot.PeerAddress).Report(ctx, connect.NewRequest(wire.EncodeReport(report)))
		cancel()
		if err != nil {
			n.deps.Logger.V(1).Info("Order not reported on", "pilot", pilot.ID, "cause", err.Error())
		}
	}
}

// decideOrder lets this node take an order's next step if that is its turn.
func (n *Node) decideOrder(ctx context.Context, u move.ActiveOrder, line []membership.Member) {
	rank := -1
	for i, m := range line {
		if m.ID == n.deps.ID {
			rank = i
		}
	}
	now := n.deps.Now()
	id := u.Order.ID()
	if !move.MayDecide(now, n.deps.ID, rank, u) {
		delete(n.pilots, id)
		return
	}
	pilot, ok := n.pilots[id]
	if !ok {
		pilot = move.NewCoordinator(n.deps.ID, u)
		n.pilots[id] = pilot
	}
	next, write := pilot.Decide(now, u, n.orderInputs(now, u))
	if !write {
		return
	}
	if next.State == move.Reverted {
		n.quarantineEverywhere(u.Order, next.Reason)
	}
	outcome := n.deps.OrderStore.Save(ctx, u.Order, next)
	n.deps.Logger.Info("Order decided on", "service", u.Order.Service, "candidate", u.Order.Candidate, "revision", u.Order.Revision,
		"state", next.State.String(), "share", next.Share.Percent(), "left", next.Remaining, "epoch", next.Epoch, "reason", next.Reason,
		"result", outcome.Result.String())
	if outcome.Result != objectstore.Written {
		delete(n.pilots, id)
		n.rereadOrder(ctx, u.Order.Service)
		return
	}
	saved := u.Order
	saved.Revision = outcome.Version
	saved.Progress = next
	changed := next.State != u.Order.Progress.State || next.Share != u.Order.Progress.Share
	if n.mergeOrder(saved) && changed {
		n.herald.Add(membership.ScopeAllZones)
	}
}

// quarantineEverywhere takes a candidate out of all traffic before that is
// stored: peers can be told when the platform can't.
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
	n.herald.Add(membership.ScopeAllZones)
}

// rereadOrder learns an order as it is stored, after a write that another one
// came before or whose answer was lost: the watch may be behind.
func (n *Node) rereadOrder(ctx context.Context, service config.ServiceName) {
	o, err := n.deps.OrderStore.Read(ctx, service)
	if err != nil {
		n.deps.Logger.Info("Order not read", "service", service, "cause", err.Error())
		return
	}
	n.mergeOrder(o)
}

func (n *Node) orderInputs(now time.Time, u move.ActiveOrder) move.Inputs {
	id := u.Order.ID()
	detector, ok := n.orderDetectors[id]
	if !ok {
		detector = evidence.NewHeterogeneousDetector("", u.Order.Candidate, _maxSpeedRatio)
		n.orderDetectors[id] = detector
	}
	reports := n.collector.Reports(id)
	detector.Observe(now, "", reports)
	upstreams := make([]move.Upstream, 0, len(reports))
	for _, m := range n.members.Members() {
		if m.Service != u.Order.Service || m.State.Gone() || m.Version == "" {
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
