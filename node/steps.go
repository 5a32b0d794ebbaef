package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/control"
	"lentilferry.example/lentilferry/evidence"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/lifecycle"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/quarantine"
	"lentilferry.example/lentilferry/routing"
	"lentilferry.example/lentilferry/wire"
)

const (
	// _minRefreshInterval is the least time between refreshes of the routes and
	// the upstream pool, and _maxRefreshInterval the longest.
	_minRefreshInterval = 20 * time.Millisecond
	_maxRefreshInterval = time.Second
	// _poolUpdateInterval is the time between updates of the upstream pool
	// while no member changes. An update costs about a microsecond per member.
	_poolUpdateInterval = time.Second
	// _zoneSilenceTimeout is how long a zone may be silent before its upstreams
	// are chosen last.
	_zoneSilenceTimeout = 10 * time.Second
	// _relaysPerZone is how many nodes of a zone exchange state with other
	// zones, follow the head object, maintain the rosters and may acquire the
	// controller's lease.
	_relaysPerZone = 2
	// _evidenceTimeout bounds sending a report and reading a zone's evidence.
	_evidenceTimeout = time.Second
	// _healthTimeout bounds a health check of the upstream.
	_healthTimeout = time.Second
)

// The roles that are assigned by rendezvous hashing.
const (
	_roleRelay     = "relay"
	_roleCollector = "collector"
)

// isRelay reports whether this node is one of its zone's relays.
func (n *Node) isRelay() bool {
	return membership.HoldsRole(n.members.ZoneMembers(n.deps.Zone), _roleRelay, _relaysPerZone, n.deps.ID)
}

// collectorOf returns the member that collects a zone's evidence and applied
// revisions, and whether there is one.
func (n *Node) collectorOf(zone membership.Zone) (membership.Member, bool) {
	chosen := membership.RoleHolders(n.members.ZoneMembers(zone), _roleCollector, 1)
	if len(chosen) == 0 {
		return membership.Member{}, false
	}
	return chosen[0], true
}

// gossipAcrossZones exchanges state with a member of each other zone if this
// node is a relay.
func (n *Node) gossipAcrossZones(ctx context.Context) {
	if !n.isRelay() {
		return
	}
	for _, zone := range n.members.OtherZones() {
		n.gossip.ExchangeWithZone(ctx, zone)
	}
}

// refreshLoop calls refresh after each change of the revision or of a member,
// and at least once every _maxRefreshInterval.
func (n *Node) refreshLoop(ctx context.Context) {
	for ctx.Err() == nil {
		// Subscribe first, so that a change during the refresh is not missed.
		changed := n.holder.Changed()
		n.refresh()
		sleep(ctx, _minRefreshInterval)
		timer := time.NewTimer(_maxRefreshInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-n.members.Changed():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// refresh updates the routes, the upstream pool, the recorder of evidence and
// this node's record to the revision in force and the known members.
func (n *Node) refresh() {
	now := n.deps.Now()
	current := n.holder.Current()
	if current == nil {
		return
	}
	if floor := n.members.RevisionFloor(); current.Manifest.Number < floor {
		n.withdrawRoutes(current.Manifest.Number, floor)
		return
	}
	// Limits come before the routes, so that no call is admitted without them.
	n.updateAllotments(now, current.Manifest.Number, current.Config)
	if n.members.Self().Revision != current.Manifest.Number || n.routes.Load() == nil {
		n.routesSince.CompareAndSwap(nil, &now)
		n.rndMu.Lock()
		table := routing.NewTable(current.Config, n.routes.Load(), n.rnd)
		table.Revision = current.Manifest.Number
		n.routes.Store(table)
		n.rndMu.Unlock()
		n.trackRollout(current.Config)
		n.members.SetRevision(current.Manifest.Number)
		n.deps.Logger.Info("Revision in force", "revision", current.Manifest.Number)
	}
	if generation := n.members.Generation(); generation != n.poolGeneration || now.Sub(n.poolUpdatedAt) >= _poolUpdateInterval {
		n.poolGeneration, n.poolUpdatedAt = generation, now
		n.quarantines.Prune(n.isActive)
		n.pool.Update(n.routableMembers(now))
		for _, service := range current.Config.Services {
			if service.AnyVersion {
				n.orderTable.UpdateServing(service.Name, n.pool.CountByVersion(service.Name))
			}
		}
	}
}

// withdrawRoutes takes the routes out of force after the node has learned that an
// earlier process of it ran a newer revision, in which a key may have been
// withdrawn.
func (n *Node) withdrawRoutes(revision, floor uint64) {
	if n.routes.Swap(nil) != nil {
		n.deps.Logger.Info("Revision taken out of force", "revision", revision, "ranBefore", floor)
	}
}

// closeIdleCallers closes callers' connections that were idle for longer than
// the configuration allows.
func (n *Node) closeIdleCallers(context.Context) {
	table := n.Table()
	if table == nil {
		return
	}
	if closed := n.callerConns.closeExpired(n.deps.Now(), table.Limits.IdleTimeout); closed > 0 {
		n.deps.Logger.V(1).Info("Closed idle connections", "closed", closed, "idleTimeout", table.Limits.IdleTimeout)
	}
}

// isActive reports whether the rollout or order with the given ID is in
// progress.
func (n *Node) isActive(rollout string) bool {
	for _, active := range n.orderTable.Active() {
		if active.Order.ID() == rollout {
			return true
		}
	}
	current := n.holder.Current()
	if current == nil {
		return false
	}
	return slices.ContainsFunc(current.Config.Services, func(s config.Service) bool {
		return s.Rollout.ID != "" && s.Rollout.ID == rollout
	})
}

// routableMembers returns the members for routing calls. Members of silent
// zones count as suspected: they are chosen only when nothing else is left.
func (n *Node) routableMembers(now time.Time) []membership.Member {
	silent := make(map[membership.Zone]bool)
	for _, d := range n.members.Digests(now) {
		silent[d.Zone] = d.Age > _zoneSilenceTimeout
	}
	members := n.members.Members()
	for i := range members {
		members[i].Suspected = members[i].Suspected || silent[members[i].Zone]
	}
	return members
}

// trackRollout makes the recorder count evidence for the rollout of the
// upstream's service, if there is one.
func (n *Node) trackRollout(c config.Config) {
	service, _ := c.Service(n.deps.Upstream.Service)
	n.recorder.SetRollout(service.Rollout.ID)
}

// checkUpstream checks the upstream's health and announces the resulting state.
func (n *Node) checkUpstream(ctx context.Context) {
	if n.upstreamRegistry != nil {
		n.syncUpstreamState(n.deps.Now())
		return
	}
	healthy := n.deps.Upstream.Service == "" || n.probeUpstream(ctx) == nil
	before := n.lifecycle.State()
	state := n.lifecycle.Update(n.deps.Now(), lifecycle.Check{
		Configured: n.Table() != nil,
		Healthy:    healthy,
	})
	if state == before && n.members.Self().State == state {
		return
	}
	n.deps.Logger.Info("Upstream state changed", "from", before, "to", state, "healthy", healthy)
	n.announceState(state)
}

// probeUpstream runs one health check; the error says why it failed.
func (n *Node) probeUpstream(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _healthTimeout)
	defer cancel()
	address := n.deps.Upstream.Address.String()
	if n.deps.Upstream.HealthPath == "" {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Wrap(err, "connect to upstream")
		}
		return conn.Close()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+n.deps.Upstream.HealthPath, nil)
	if err != nil {
		return errors.Wrap(err, "build health check")
	}
	request.Close = true
	response, err := n.healthTransport.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "check upstream")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("check upstream: status %d", response.StatusCode)
	}
	call.RecordReportedLoad(n.deps.Now(), n.upstreamLoad, n.deps.Dialect, response.Header)
	return nil
}

// _loadRefreshAge is how old the load of an upstream that announces itself may
// become before its health path is asked for it. Under load, the answers to calls
// carry newer ones.
const _loadRefreshAge = 500 * time.Millisecond

// readUpstreamLoad reads the load that an upstream which announces itself
// reports with its health, if it has reported one before, takes calls and has
// sent no answer for a while. Whether it succeeds has no effect on the upstream's state.
func (n *Node) readUpstreamLoad(ctx context.Context) {
	if !n.members.Self().State.AcceptsCalls() {
		return
	}
	if report, ok := n.upstreamLoad.Newest(); !ok || n.deps.Now().Sub(report.At) < _loadRefreshAge {
		return
	}
	if err := n.probeUpstream(ctx); err != nil {
		n.deps.Logger.V(1).Info("Load of upstream not read", "cause", err.Error())
	}
}

// reportEvidence sends this node's counts to the zone's collector. On the
// collector, it also evaluates the zone's evidence.
func (n *Node) reportEvidence(ctx context.Context) {
	collector, ok := n.collectorOf(n.deps.Zone)
	if !ok {
		return
	}
	if id := n.recorder.Rollout(); id != "" {
		n.sendEvidence(ctx, collector, id)
	}
	if collector.ID == n.deps.ID {
		n.evaluateZone()
	}
}

func (n *Node) sendEvidence(ctx context.Context, collector membership.Member, rollout string) {
	self := n.members.Self()
	report := evidence.Report{
		Rollout:     rollout,
		Node:        self.ID,
		Incarnation: self.Incarnation,
		Sequence:    n.reportSequence.Add(1),
		Tallies:     n.recorder.Tallies(),
	}
	if collector.ID == self.ID {
		n.collector.Add(n.deps.Now(), report)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _evidenceTimeout)
	defer cancel()
	_, err := n.clients.For(collector.PeerAddress).Report(ctx, connect.NewRequest(wire.EncodeReport(report)))
	if err != nil {
		n.deps.Logger.V(1).Info("Evidence not reported", "collector", collector.ID, "cause", err.Error())
	}
}

// evaluateZone quarantines the candidates that the zone's evidence shows to be
// bad.
func (n *Node) evaluateZone() {
	current := n.holder.Current()
	if current == nil {
		return
	}
	active := make(map[string]bool)
	for _, service := range current.Config.Services {
		rollout := service.Rollout
		if rollout.ID == "" {
			continue
		}
		active[rollout.ID] = true
		detector, ok := n.rolloutDetectors[rollout.ID]
		if !ok {
			detector = evidence.NewDetector(rollout.Baseline, rollout.Candidate)
			n.rolloutDetectors[rollout.ID] = detector
		}
		detector.Observe(n.deps.Now(), n.deps.Zone, n.collector.Reports(rollout.ID))
		if verdict := detector.Verdict(); verdict.Bad {
			n.quarantineInZone(service, verdict)
		}
	}
	for id := range n.rolloutDetectors {
		if !active[id] {
			delete(n.rolloutDetectors, id)
		}
	}
}

func (n *Node) quarantineInZone(service config.Service, verdict evidence.Verdict) {
	added := n.quarantines.Add(quarantine.Quarantine{
		Rollout: service.Rollout.ID,
		Zone:    n.deps.Zone,
		Service: service.Name,
		Version: service.Rollout.Candidate,
		Reason:  verdict.Reason,
	})
	if added {
		n.deps.Logger.Info("Quarantined version", "zone", n.deps.Zone, "service", service.Name,
			"version", service.Rollout.Candidate, "reason", verdict.Reason)
	}
}

// Gather reads the evidence on a rollout from all zones that have upstreams of
// its service.
func (n *Node) Gather(ctx context.Context, rollout string, service config.ServiceName) []control.ZoneReports {
	excluded := n.excludedZones(n.deps.Now())
	return queryZones(n.liveZones(service), func(zone membership.Zone) control.ZoneReports {
		reports := n.gatherZone(ctx, zone, rollout)
		reports.Excluded = slices.Contains(excluded, zone)
		return reports
	})
}

// gatherZone reads the evidence on a rollout from a zone's collector.
func (n *Node) gatherZone(ctx context.Context, zone membership.Zone, rollout string) control.ZoneReports {
	result := control.ZoneReports{Zone: zone}
	collector, ok := n.collectorOf(zone)
	if !ok {
		return result
	}
	if collector.ID == n.deps.ID {
		result.Reached = true
		result.Reports = n.collector.Reports(rollout)
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, _evidenceTimeout)
	defer cancel()
	response, err := n.clients.For(collector.PeerAddress).Collect(ctx, connect.NewRequest(&lentilferryv1.CollectRequest{Rollout: rollout}))
	if err != nil {
		return result
	}
	result.Reached = true
	for _, report := range response.Msg.GetReports() {
		result.Reports = append(result.Reports, wire.DecodeReport(report))
	}
	return result
}

// stepController runs a step of the controller. Only the holder of the
// controller's lease and relays, which may acquire it, do so.
func (n *Node) stepController(ctx context.Context) {
	if !n.controller.HoldsLease() && !n.isRelay() {
		return
	}
	if err := n.controller.Step(ctx); err != nil {
		n.deps.Logger.Info("Controller step failed", "cause", err.Error())
	}
}
