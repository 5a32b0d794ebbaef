package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/crash"
	"lentilferry.example/lentilferry/distribution"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/move"
	"lentilferry.example/lentilferry/quarantine"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/wire"
)

const (
	// _probeTimeout bounds one exchange, which is also a direct probe. An indirect
	// probe, with its two hops, may take twice as long.
	_probeTimeout = 500 * time.Millisecond
	// _pullTimeout bounds pulling a revision from a peer.
	_pullTimeout = 5 * time.Second
	// _maxIndirectProbes bounds the members that are asked to probe a member that
	// did not respond.
	_maxIndirectProbes = 2
	// _maxConcurrentPulls bounds the pulls that are served at the same time.
	_maxConcurrentPulls = 4
)

// ClientProvider provides the clients for peers; see Clients.
type ClientProvider interface {
	For(peer netip.AddrPort) lentilferryv1connect.PeerServiceClient
}

var _ ClientProvider = (*Clients)(nil)

// Orders holds the orders to move services that a node knows.
type Orders interface {
	// Orders returns the known orders as of now.
	Orders(now time.Time) []move.Order
	// MergeOrder merges an order from a peer, which may be older than the known
	// one, and reports whether that changed anything.
	MergeOrder(o move.Order) bool
}

// UpdateRelay forwards updates from peers to further nodes.
type UpdateRelay interface {
	// RelayUpdates forwards what a peer of the given zone changed at this node.
	// records holds the changed member records; it is empty if only orders,
	// quarantines or the revision changed.
	RelayUpdates(from membership.Zone, records []membership.Member)
}

// GossipDependencies holds what NewGossip needs.
type GossipDependencies struct {
	Table       *membership.Table
	Holder      *revision.Holder
	Replica     *distribution.Replica
	Quarantines *quarantine.Set
	Crashes     *crash.Table
	Orders      Orders
	UpdateRelay UpdateRelay
	// IsActive reports whether a rollout is in progress, as far as this node
	// knows. Quarantines of other rollouts are ignored.
	IsActive func(rollout string) bool
	Clients  ClientProvider
	Logger   klog.Logger
	Now      func() time.Time
}

// Gossip probes members, exchanges state with them and pulls newer revisions.
type Gossip struct {
	deps GossipDependencies
	// pullMu is held while a revision is pulled from a peer.
	pullMu sync.Mutex
	// pullSlots holds an element for each pull that is being served.
	pullSlots chan struct{}
}

// NewGossip returns a Gossip.
func NewGossip(d GossipDependencies) *Gossip {
	return &Gossip{deps: d, pullSlots: make(chan struct{}, _maxConcurrentPulls)}
}

// ProbeNext probes one member of this zone, first directly and then through
// other members, and suspects it if no probe succeeds. Before that, it declares
// members failed whose suspicion has timed out.
func (g *Gossip) ProbeNext(ctx context.Context) {
	for _, m := range g.deps.Table.Tick(g.deps.Now()) {
		g.deps.Logger.Info("Member failed", "member", m.ID, "zone", m.Zone, "cause", "no answer to probes")
	}
	target, ok := g.deps.Table.NextProbe()
	if !ok {
		return
	}
	err := g.Exchange(ctx, target.ID, target.PeerAddress)
	if err == nil || ctx.Err() != nil {
		return
	}
	if g.probeIndirectly(ctx, target) {
		return
	}
	g.deps.Logger.Info("Member suspected", "member", target.ID, "zone", target.Zone, "cause", err.Error())
	g.deps.Table.Suspect(g.deps.Now(), target.ID)
}

// ExchangeWithZone exchanges state with one member of another zone.
func (g *Gossip) ExchangeWithZone(ctx context.Context, zone membership.Zone) {
	target, ok := g.deps.Table.RandomMember(zone)
	if !ok {
		return
	}
	if err := g.Exchange(ctx, target.ID, target.PeerAddress); err != nil {
		g.deps.Logger.V(1).Info("Zone not reached", "zone", zone, "member", target.ID, "cause", err.Error())
	}
}

// Exchange exchanges state with the peer at the given address. It returns an
// error if the peer doesn't respond or has another ID. An empty ID accepts any.
func (g *Gossip) Exchange(ctx context.Context, id membership.NodeID, peer netip.AddrPort) error {
	request := g.newRequest(id)
	request.Updates = wire.EncodeMembers(g.deps.Table.Updates())
	if id != "" {
		// Without digests, the peer responds with its full state. A node needs that
		// at first contact, including what its own earlier processes published.
		request.Digests = wire.EncodeDigests(g.deps.Table.Digests(g.deps.Now()))
	}
	return g.send(ctx, id, peer, request)
}

// Push sends one member the given records, the number of this node's revision,
// the orders and the quarantines. Unlike Exchange it asks for no state in
// return.
func (g *Gossip) Push(ctx context.Context, to membership.Member, records []membership.Member) error {
	request := g.newRequest(to.ID)
	request.Updates = wire.EncodeMembers(records)
	request.Tells = true
	return g.send(ctx, to.ID, to.PeerAddress, request)
}

// send sends an exchange request to a peer and merges the response.
func (g *Gossip) send(ctx context.Context, id membership.NodeID, peer netip.AddrPort, request *lentilferryv1.ExchangeRequest) error {
	ctx, cancel := context.WithTimeout(ctx, _probeTimeout)
	defer cancel()
	response, err := g.deps.Clients.For(peer).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return errors.Wrapf(err, "exchange with %s", peer)
	}
	if from := membership.NodeID(response.Msg.GetFrom()); id != "" && from != id {
		return errors.Newf("exchange with %s: %q responded in place of %q", peer, from, id)
	}
	g.merge(peerState{
		from:        membership.NodeID(response.Msg.GetFrom()),
		updates:     response.Msg.GetUpdates(),
		digests:     response.Msg.GetDigests(),
		quarantines: response.Msg.GetQuarantines(),
		orders:      response.Msg.GetOrders(),
		crashes:     response.Msg.GetCrashRecords(),
	})
	if response.Msg.GetRevision() > g.deps.Holder.Number() {
		go g.pullAndRelay(context.WithoutCancel(ctx), peer, membership.NodeID(response.Msg.GetFrom()))
	}
	return nil
}

// newRequest returns an exchange request without membership state.
func (g *Gossip) newRequest(to membership.NodeID) *lentilferryv1.ExchangeRequest {
	now := g.deps.Now()
	return &lentilferryv1.ExchangeRequest{
		From:        string(g.deps.Table.Self().ID),
		To:          string(to),
		Revision:    g.deps.Holder.Number(),
		Quarantines: wire.EncodeQuarantines(g.deps.Quarantines.All()),
		Orders:      wire.EncodeOrders(g.deps.Orders.Orders(now)),

		CrashRecords: wire.EncodeCrashRecords(now, g.deps.Crashes.Shared(now)),
	}
}

// peerState is the state that a peer sent in an exchange.
type peerState struct {
	from        membership.NodeID
	updates     []*lentilferryv1.Member
	digests     []*lentilferryv1.ZoneDigest
	quarantines []*lentilferryv1.Quarantine
	orders      []*lentilferryv1.Order
	crashes     []*lentilferryv1.CrashRecord
}

// merge merges a peer's state and forwards what was new.
func (g *Gossip) merge(state peerState) {
	now := g.deps.Now()
	var records []membership.Member
	for _, m := range wire.DecodeMembers(state.updates) {
		if g.deps.Table.Merge(now, m) {
			records = append(records, m)
		}
	}
	changed := len(records) > 0
	g.deps.Table.ObserveAges(now, wire.DecodeDigests(state.digests))
	for _, o := range wire.DecodeOrders(state.orders) {
		changed = g.deps.Orders.MergeOrder(o) || changed
	}
	for _, q := range wire.DecodeQuarantines(state.quarantines) {
		if g.deps.IsActive(q.Rollout) && g.deps.Quarantines.Add(q) {
			changed = true
			g.deps.Logger.Info("Quarantined version", "zone", q.Zone, "service", q.Service, "version", q.Version, "reason", q.Reason)
		}
	}
	changed = g.mergeCrashes(now, state.crashes) || changed
	if changed {
		g.deps.UpdateRelay.RelayUpdates(g.deps.Table.ZoneOf(state.from), records)
	}
}

// mergeCrashes merges a peer's records of crashes and reports whether any was
// new.
func (g *Gossip) mergeCrashes(now time.Time, messages []*lentilferryv1.CrashRecord) bool {
	changed := false
	for _, r := range wire.DecodeCrashRecords(now, messages) {
		isNew, blocked := g.deps.Crashes.Merge(now, r)
		changed = changed || isNew
		if blocked {
			g.deps.Logger.Info("Blocked call that crashes upstreams", "content", r.Content.String(), "label", r.Label, "wait", r.BlockedUntil().Sub(now))
		}
	}
	return changed
}

// HandleExchange merges the state in a peer's exchange request and returns the
// response.
func (g *Gossip) HandleExchange(request *lentilferryv1.ExchangeRequest) *lentilferryv1.ExchangeResponse {
	g.merge(peerState{
		from:        membership.NodeID(request.GetFrom()),
		updates:     request.GetUpdates(),
		digests:     request.GetDigests(),
		quarantines: request.GetQuarantines(),
		orders:      request.GetOrders(),
		crashes:     request.GetCrashRecords(),
	})
	now := g.deps.Now()
	self := g.deps.Table.Self()
	g.pullIfNewer(request)
	if request.GetTells() {
		return &lentilferryv1.ExchangeResponse{From: string(self.ID), Revision: g.deps.Holder.Number()}
	}
	members := g.deps.Table.Updates()
	members = append(members, g.deps.Table.RecordsToSync(now, wire.DecodeDigests(request.GetDigests()))...)
	return &lentilferryv1.ExchangeResponse{
		From:        string(self.ID),
		Revision:    g.deps.Holder.Number(),
		Updates:     wire.EncodeMembers(members),
		Digests:     wire.EncodeDigests(g.deps.Table.Digests(now)),
		Quarantines: wire.EncodeQuarantines(g.deps.Quarantines.All()),
		Orders:      wire.EncodeOrders(g.deps.Orders.Orders(now)),

		CrashRecords: wire.EncodeCrashRecords(now, g.deps.Crashes.Shared(now)),
	}
}

// pullIfNewer starts to pull the revision of a requesting peer if it is newer.
func (g *Gossip) pullIfNewer(request *lentilferryv1.ExchangeRequest) {
	if request.GetRevision() <= g.deps.Holder.Number() {
		return
	}
	from := membership.NodeID(request.GetFrom())
	if m, ok := g.deps.Table.Member(g.deps.Table.ZoneOf(from), from); ok {
		go g.pullAndRelay(context.Background(), m.PeerAddress, from)
	}
}

// pullAndRelay pulls a newer revision from a peer and, if one was applied,
// informs further nodes.
func (g *Gossip) pullAndRelay(ctx context.Context, peer netip.AddrPort, from membership.NodeID) {
	before := g.deps.Holder.Number()
	g.Pull(ctx, peer)
	if g.deps.Holder.Number() > before {
		g.deps.UpdateRelay.RelayUpdates(g.deps.Table.ZoneOf(from), nil)
	}
}

// probeIndirectly asks other members to probe a member that did not respond,
// and reports whether one of them succeeded.
func (g *Gossip) probeIndirectly(ctx context.Context, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*_probeTimeout)
	defer cancel()
	// Ignored: an AddrPort always marshals.
	address, _ := target.PeerAddress.MarshalBinary()
	helpers := g.deps.Table.RandomPeers(target.ID, _maxIndirectProbes)
	reached := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			request := &lentilferryv1.ProbeForRequest{Target: string(target.ID), Peer: address}
			response, err := g.deps.Clients.For(helper.PeerAddress).ProbeFor(ctx, connect.NewRequest(request))
			reached <- err == nil && response.Msg.GetReached()
		}()
	}
	for range helpers {
		if <-reached {
			return true
		}
	}
	return false
}

// Pull pulls a newer revision from a peer and applies it. It requests the
// difference from the node's revision, and the full revision if the difference
// can't be applied. If another pull is running, it returns at once.
func (g *Gossip) Pull(ctx context.Context, peer netip.AddrPort) {
	if !g.pullMu.TryLock() {
		return
	}
	defer g.pullMu.Unlock()
	baseRevision := g.deps.Holder.Number()
	outcome, err := g.pullSince(ctx, peer, baseRevision)
	if err == nil && outcome.Result == distribution.NeedsFull && baseRevision != 0 {
		outcome, err = g.pullSince(ctx, peer, 0)
	}
	switch {
	case err != nil:
		g.deps.Logger.Info("Failed to pull revision", "peer", peer, "cause", err.Error())
	case outcome.Result == distribution.Applied:
		g.deps.Logger.Info("Applied revision", "revision", g.deps.Holder.Number(), "peer", peer)
	case outcome.Err != nil:
		g.deps.Logger.Info("Refused revision", "peer", peer, "cause", outcome.Err.Error())
	}
}

// pullSince pulls the difference between baseRevision and a peer's revision, or
// the full revision if baseRevision is 0.
func (g *Gossip) pullSince(ctx context.Context, peer netip.AddrPort, baseRevision uint64) (distribution.ReceiveOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, _pullTimeout)
	defer cancel()
	response, err := g.deps.Clients.For(peer).Pull(ctx, connect.NewRequest(&lentilferryv1.PullRequest{Have: baseRevision}))
	if err != nil {
		return distribution.ReceiveOutcome{}, errors.Wrapf(err, "pull from %s", peer)
	}
	if response.Msg.GetBundle() == nil {
		return distribution.ReceiveOutcome{Result: distribution.Stale}, nil
	}
	bundle, err := wire.DecodeBundle(response.Msg.GetBundle())
	if err != nil {
		return distribution.ReceiveOutcome{}, err
	}
	return g.deps.Replica.Receive(bundle), nil
}
