package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

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
	// _probeTimeout bounds a probe, and an indirect one.
	_probeTimeout = 500 * time.Millisecond
	// _pullTimeout bounds the reading of a revision from a peer.
	_pullTimeout = 5 * time.Second
	// _helpers is how many members probe a silent one indirectly.
	_helpers = 2
	// _maxPulls bounds the whole revisions served at once.
	_maxPulls = 4
)

// Caller returns the client for a peer; see Clients.
type Caller interface {
	To(peer netip.AddrPort) lentilferryv1connect.PeerServiceClient
}

var _ Caller = (*Clients)(nil)

// Orders are the orders to move services that a node knows.
type Orders interface {
	Orders(now time.Time) []move.Order
	// HearOrder takes in an order from a peer, which may be older than what is
	// known, and reports whether it was news.
	HearOrder(o move.Order) bool
}

// News is told what was news from a peer, so that it can be passed on.
type News interface {
	// Heard takes in the records that were news from a peer of the given zone,
	// none where something else was.
	Heard(from membership.Zone, records []membership.Member)
}

// GossipDependencies are what a Gossip is built from.
type GossipDependencies struct {
	Table       *membership.Table
	Holder      *revision.Holder
	Replica     *distribution.Replica
	Quarantines *quarantine.Set
	// Orders holds the orders to move services.
	Orders Orders
	News   News
	// Active reports whether a rollout is under way, as far as this node knows.
	Active  func(rollout string) bool
	Clients Caller
	Logger  klog.Logger
	Now     func() time.Time
}

// Gossip probes members, passes membership on and fetches newer revisions.
type Gossip struct {
	d GossipDependencies
	// pulling is held while a revision is read from a peer.
	pulling sync.Mutex
	// serving has a place for each whole revision being served.
	serving chan struct{}
}

// NewGossip returns a gossip.
func NewGossip(d GossipDependencies) *Gossip {
	return &Gossip{d: d, serving: make(chan struct{}, _maxPulls)}
}

// Round probes one member of this zone, directly and then through others, and
// ends what is suspected for too long.
func (g *Gossip) Round(ctx context.Context) {
	for _, m := range g.d.Table.Tick(g.d.Now()) {
		g.d.Logger.Info("Member failed", "member", m.ID, "zone", m.Zone, "cause", "no answer to probes")
	}
	target, ok := g.d.Table.NextProbe()
	if !ok {
		return
	}
	err := g.Exchange(ctx, target.ID, target.PeerAddress)
	if err == nil || ctx.Err() != nil {
		return
	}
	if g.reachedByOthers(ctx, target) {
		return
	}
	g.d.Logger.Info("Member suspected", "member", target.ID, "zone", target.Zone, "cause", err.Error())
	g.d.Table.Suspect(g.d.Now(), target.ID)
}

// Visit exchanges state with a member of another zone.
func (g *Gossip) Visit(ctx context.Context, zone membership.Zone) {
	target, ok := g.d.Table.RandomMember(zone)
	if !ok {
		return
	}
	if err := g.Exchange(ctx, target.ID, target.PeerAddress); err != nil {
		g.d.Logger.V(1).Info("Zone not reached", "zone", zone, "member", target.ID, "cause", err.Error())
	}
}

// Exchange exchanges state with one peer. An empty ID takes whoever answers.
func (g *Gossip) Exchange(ctx context.Context, id membership.NodeID, peer netip.AddrPort) error {
	request := g.request(id)
	request.Updates = wire.EncodeMembers(g.d.Table.Updates())
	if id != "" {
		// Without digests the peer answers with all that it knows, which a node
		// that makes first contact needs: also what an earlier process of it said.
		request.Digests = wire.EncodeDigests(g.d.Table.Digests(g.d.Now()))
	}
	return g.send(ctx, id, peer, request)
}

// Tell tells one member the given records, the revision held here, orders and
// quarantines, and no more.
func (g *Gossip) Tell(ctx context.Context, to membership.Member, records []membership.Member) error {
	request := g.request(to.ID)
	request.Updates = wire.EncodeMembers(records)
	request.Tells = true
	return g.send(ctx, to.ID, to.PeerAddress, request)
}

func (g *Gossip) send(ctx context.Context, id membership.NodeID, peer netip.AddrPort, request *lentilferryv1.ExchangeRequest) error {
	ctx, cancel := context.WithTimeout(ctx, _probeTimeout)
	defer cancel()
	response, err := g.d.Clients.To(peer).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return errors.Wrapf(err, "exchange with %s", peer)
	}
	if from := membership.NodeID(response.Msg.GetFrom()); id != "" && from != id {
		return errors.Newf("exchange with %s: %q answered in place of %q", peer, from, id)
	}
	g.absorb(peerState{
		from:        membership.NodeID(response.Msg.GetFrom()),
		updates:     response.Msg.GetUpdates(),
		digests:     response.Msg.GetDigests(),
		quarantines: response.Msg.GetQuarantines(),
		orders:      response.Msg.GetOrders(),
	})
	if response.Msg.GetRevision() > g.d.Holder.Number() {
		go g.pullAndPass(context.WithoutCancel(ctx), peer, membership.NodeID(response.Msg.GetFrom()))
	}
	return nil
}

func (g *Gossip) request(to membership.NodeID) *lentilferryv1.ExchangeRequest {
	now := g.d.Now()
	return &lentilferryv1.ExchangeRequest{
		From:        string(g.d.Table.Self().ID),
		To:          string(to),
		Revision:    g.d.Holder.Number(),
		Quarantines: wire.EncodeQuarantines(g.d.Quarantines.All()),
		Orders:      wire.EncodeOrders(g.d.Orders.Orders(now)),
	}
}

// peerState is what a peer says in an exchange.
type peerState struct {
	from        membership.NodeID
	updates     []*lentilferryv1.Member
	digests     []*lentilferryv1.ZoneDigest
	quarantines []*lentilferryv1.Quarantine
	orders      []*lentilferryv1.Order
}

func (g *Gossip) absorb(w peerState) {
	now := g.d.Now()
	var records []membership.Member
	for _, m := range wire.DecodeMembers(w.updates) {
		if g.d.Table.Merge(now, m) {
			records = append(records, m)
		}
	}
	news := len(records) > 0
	g.d.Table.ObserveAges(now, wire.DecodeDigests(w.digests))
	for _, o := range wire.DecodeOrders(w.orders) {
		news = g.d.Orders.HearOrder(o) || news
	}
	for _, q := range wire.DecodeQuarantines(w.quarantines) {
		if g.d.Active(q.Rollout) && g.d.Quarantines.Add(q) {
			news = true
			g.d.Logger.Info("Quarantined version", "zone", q.Zone, "service", q.Service, "version", q.Version, "reason", q.Reason)
		}
	}
	if news {
		g.d.News.Heard(g.d.Table.ZoneOf(w.from), records)
	}
}

// Answer answers an exchange that a peer began.
func (g *Gossip) Answer(request *lentilferryv1.ExchangeRequest) *lentilferryv1.ExchangeResponse {
	g.absorb(peerState{
		from:        membership.NodeID(request.GetFrom()),
		updates:     request.GetUpdates(),
		digests:     request.GetDigests(),
		quarantines: request.GetQuarantines(),
		orders:      request.GetOrders(),
	})
	now := g.d.Now()
	self := g.d.Table.Self()
	g.pullFrom(request)
	if request.GetTells() {
		return &lentilferryv1.ExchangeResponse{From: string(self.ID), Revision: g.d.Holder.Number()}
	}
	members := g.d.Table.Updates()
	members = append(members, g.d.Table.RecordsToSync(now, wire.DecodeDigests(request.GetDigests()))...)
	return &lentilferryv1.ExchangeResponse{
		From:        string(self.ID),
		Revision:    g.d.Holder.Number(),
		Updates:     wire.EncodeMembers(members),
		Digests:     wire.EncodeDigests(g.d.Table.Digests(now)),
		Quarantines: wire.EncodeQuarantines(g.d.Quarantines.All()),
		Orders:      wire.EncodeOrders(g.d.Orders.Orders(now)),
	}
}

// pullFrom fetches the revision of a peer that is ahead.
func (g *Gossip) pullFrom(request *lentilferryv1.ExchangeRequest) {
	if request.GetRevision() <= g.d.Holder.Number() {
		return
	}
	from := membership.NodeID(request.GetFrom())
	if m, ok := g.d.Table.Member(g.d.Table.ZoneOf(from), from); ok {
		go g.pullAndPass(context.Background(), m.PeerAddress, from)
	}
}

// pullAndPass reads a newer revision from a peer, and says that it was news.
func (g *Gossip) pullAndPass(ctx context.Context, peer netip.AddrPort, from membership.NodeID) {
	before := g.d.Holder.Number()
	g.Pull(ctx, peer)
	if g.d.Holder.Number() > before {
		g.d.News.Heard(g.d.Table.ZoneOf(from), nil)
	}
}

// reachedByOthers asks other members to probe one that did not answer.
func (g *Gossip) reachedByOthers(ctx context.Context, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*_probeTimeout)
	defer cancel()
	// The address is that of a member, which always marshals.
	address, _ := target.PeerAddress.MarshalBinary()
	helpers := g.d.Table.RandomPeers(target.ID, _helpers)
	reached := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			request := &lentilferryv1.ProbeForRequest{Target: string(target.ID), Peer: address}
			response, err := g.d.Clients.To(helper.PeerAddress).ProbeFor(ctx, connect.NewRequest(request))
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

// Pull reads a newer revision from a peer, as a difference and then whole.
// One pull runs at a time; others return at once.
func (g *Gossip) Pull(ctx context.Context, peer netip.AddrPort) {
	if !g.pulling.TryLock() {
		return
	}
	defer g.pulling.Unlock()
	have := g.d.Holder.Number()
	receipt, err := g.pullSince(ctx, peer, have)
	if err == nil && receipt.Result == distribution.NeedsFull && have != 0 {
		receipt, err = g.pullSince(ctx, peer, 0)
	}
	switch {
	case err != nil:
		g.d.Logger.Info("Revision not read", "peer", peer, "cause", err.Error())
	case receipt.Result == distribution.Applied:
		g.d.Logger.Info("Applied revision", "revision", g.d.Holder.Number(), "peer", peer)
	case receipt.Err != nil:
		g.d.Logger.Info("Refused revision", "peer", peer, "cause", receipt.Err.Error())
	}
}

func (g *Gossip) pullSince(ctx context.Context, peer netip.AddrPort, have uint64) (distribution.ReceiveOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, _pullTimeout)
	defer cancel()
	response, err := g.d.Clients.To(peer).Pull(ctx, connect.NewRequest(&lentilferryv1.PullRequest{Have: have}))
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
	return g.d.Replica.Receive(bundle), nil
}
