package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/departure"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/peer"
	"lentilferry.example/lentilferry/upstream"
	"lentilferry.example/lentilferry/wire"
)

const (
	// _confirmTimeout bounds the wait until a departure is recorded. An upstream
	// waits one second for the confirmation and then announces its departure
	// again.
	_confirmTimeout = 800 * time.Millisecond
	// _departureReplicas is how many members are asked to remember a departure.
	// _departureReplicaTimeout bounds the wait for the first of them to accept
	// it.
	_departureReplicas       = 3
	_departureReplicaTimeout = 200 * time.Millisecond
	// _departureRelays is how many members are asked to call the store for a node
	// that it turns away.
	_departureRelays = 3
	// _maxDepartureWait bounds how long a node that has a configuration waits for
	// the recorded departures. A zone that is cut off from the store must go on
	// serving.
	_maxDepartureWait = 1500 * time.Millisecond
	// _restoreCheckInterval is how often a node checks whether the store was
	// restored.
	_restoreCheckInterval = time.Second
	// _departureSweepInterval is the time between two searches for the departures
	// of nodes that are gone. _roleSweeper is the role of searching.
	_departureSweepInterval = 10 * time.Minute
	_roleSweeper            = "departure-sweeper"
)

// errNoRelay means that no other node is known to call the store through.
var errNoRelay = errors.New("no other node is known")

// confirmDeparture records a departure in the store and at other members. It
// reports whether the departure may be confirmed: it must then outlive this
// node's process, and all others too.
func (n *Node) confirmDeparture(d upstream.Instance) bool {
	timer := time.NewTimer(_confirmTimeout)
	defer timer.Stop()
	recorded := n.departures.Record(d)
	n.replicateDeparture()
	select {
	case <-recorded:
		return true
	case <-timer.C:
		n.deps.Logger.Info("Departure not confirmed", "process", d.ID, "incarnation", d.Incarnation, "cause", "the store has not recorded it", "waited", _confirmTimeout)
		return false
	}
}

// replicateDeparture sends this node's record to other members, and returns when
// one has accepted it or after _departureReplicaTimeout. So a node that restarts
// learns of the departure also while the store is away.
func (n *Node) replicateDeparture() {
	self := n.members.Self()
	members := n.members.BroadcastTargets(membership.ScopeOwnZone)
	if len(members) == 0 {
		members = n.members.BroadcastTargets(membership.ScopeAllZones)
	}
	if self.LastDeparture.Process == "" || n.replicatedSequence.Load() == self.Sequence || len(members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), _departureReplicaTimeout)
	defer cancel()
	results := make(chan error, _departureReplicas)
	members = members[:min(_departureReplicas, len(members))]
	for _, m := range members {
		go func() { results <- n.gossip.Push(ctx, m, []membership.Member{self}) }()
	}
	var err error
	for range members {
		if err = <-results; err == nil {
			n.replicatedSequence.Store(self.Sequence)
			return
		}
	}
	n.deps.Logger.Info("Departure not replicated", "departed", self.LastDeparture.Process, "cause", err.Error())
}

// loadDepartures reads the departures that earlier processes of this node have
// recorded. It retries until the store, or another node for it, answers.
func (n *Node) loadDepartures(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = _initialBackoff, _maxSourceBackoff
	hasFailed := false
	for ctx.Err() == nil {
		departed, err := n.departures.Load(ctx)
		if err == nil {
			for _, d := range departed {
				n.upstreamRegistry.RestoreDeparture(d)
			}
			n.departuresLoaded.Store(true)
			n.deps.Logger.Info("Departures loaded", "departures", len(departed), "afterFailure", hasFailed)
			n.syncUpstreamState(n.deps.Now())
			return
		}
		if !hasFailed && ctx.Err() == nil {
			n.deps.Logger.Info("Departures not loaded", "cause", err.Error())
		}
		hasFailed = true
		sleep(ctx, retryDelay.NextBackOff())
	}
}

// recordDeparturesAgain records this node's departures once more whenever the
// store was restored, which may have lost them.
func (n *Node) recordDeparturesAgain(ctx context.Context) {
	var restores restoreDetector
	n.repeat(ctx, _restoreCheckInterval, func(context.Context) {
		if restores.observe(n.deps.StoreEra) {
			n.departures.RecordAgain()
		}
	})
}

// sweepDepartures deletes the stored departures of nodes that are gone, if it is
// this node's role.
func (n *Node) sweepDepartures(ctx context.Context, sweeper *departure.Sweeper) {
	members := n.members.Members()
	if !membership.HoldsRole(members, _roleSweeper, 1, n.deps.ID) {
		return
	}
	logs, _, err := n.deps.Platform.ListStale(ctx, objectstore.KindDeparture)
	if err != nil {
		n.deps.Logger.Info("Departures not listed", "cause", err.Error())
		return
	}
	isMember := func(id membership.NodeID) bool {
		return slices.ContainsFunc(members, func(m membership.Member) bool { return m.ID == id })
	}
	for _, log := range sweeper.Expired(n.deps.Now(), logs, isMember) {
		outcome := n.deps.Platform.Delete(ctx, log.Key, log.Version)
		n.deps.Logger.Info("Departures of a node that is gone deleted", "for", log.Key.Name, "result", outcome.Result.String())
	}
}

// mayLearnDeparture reports whether the store or other members may still tell
// this node of a departure that an earlier process of this node confirmed.
func (n *Node) mayLearnDeparture(now time.Time) bool {
	if !n.joined.Load() && n.isStartingUp() {
		return true
	}
	if n.departuresLoaded.Load() {
		return false
	}
	since := n.routesSince.Load()
	return since == nil || now.Sub(*since) < _maxDepartureWait
}

// departureRelay calls the store through other nodes.
type departureRelay struct{ node *Node }

var _ departure.Relay = departureRelay{}

// LoadDepartures reads the departures of this node's upstream.
func (r departureRelay) LoadDepartures(ctx context.Context) ([]upstream.Instance, error) {
	return askRelays(ctx, r.node.relayMembers(), func(ctx context.Context, m membership.Member) ([]upstream.Instance, error) {
		return r.node.clients.ListDepartures(ctx, m.PeerAddress, r.node.deps.ID)
	})
}

// AppendDepartures records departures of this node's upstream.
func (r departureRelay) AppendDepartures(ctx context.Context, departed []upstream.Instance) error {
	_, err := askRelays(ctx, r.node.relayMembers(), func(ctx context.Context, m membership.Member) (struct{}, error) {
		return struct{}{}, r.node.clients.RecordDepartures(ctx, m.PeerAddress, r.node.deps.ID, departed)
	})
	return err
}

// relayMembers returns some live members, at most one of them in each other zone.
func (n *Node) relayMembers() []membership.Member {
	members := n.members.RandomPeers(n.deps.ID, _departureRelays)
	for _, zone := range n.members.OtherZones() {
		if m, ok := n.members.RandomMember(zone); ok {
			members = append(members, m)
		}
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(_departureRelays, len(members))]
}

// askRelays asks all members at once and returns the first result without an
// error, or the last error.
func askRelays[T any](ctx context.Context, members []membership.Member, ask func(context.Context, membership.Member) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, len(members))
	for _, m := range members {
		go func() {
			value, err := ask(ctx, m)
			results <- result{value, err}
		}()
	}
	last := result{err: errNoRelay}
	for range members {
		if last = <-results; last.err == nil {
			break
		}
	}
	return last.value, last.err
}

var _ peer.DepartureLogs = (*Node)(nil)

// LoadDeparturesOf reads the departures of another node's upstream.
func (n *Node) LoadDeparturesOf(ctx context.Context, node membership.NodeID) ([]upstream.Instance, error) {
	return n.departureLog(node).Load(ctx)
}

// AppendDeparturesOf records departures of another node's upstream.
func (n *Node) AppendDeparturesOf(ctx context.Context, node membership.NodeID, departed []upstream.Instance) error {
	n.deps.Logger.Info("Recording departures for another node", "for", node, "departures", len(departed))
	return n.departureLog(node).Append(ctx, departed...)
}

func (n *Node) departureLog(node membership.NodeID) *departure.Log {
	return departure.NewLog(n.deps.Platform, wire.Codec{}, node, n.deps.Logger)
}
