package node

import (
	"context"
	"sync"
	"time"

	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/peer"
)

// _maxConcurrentSends bounds the members that are told at the same time.
const _maxConcurrentSends = 8

var _ peer.UpdateRelay = (*Node)(nil)

// Heard passes on what was news from a peer, where that is this node's part.
func (n *Node) RelayUpdates(from membership.Zone, records []membership.Member) {
	if from != "" && n.members.ShouldForward(from) {
		n.broadcasts.Add(membership.ScopeOwnZone, records...)
	}
}

// sendBroadcasts tells other members what is news as soon as it happens; gossip
// reaches those that could not be told.
func (n *Node) sendBroadcasts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.broadcasts.Changed():
		}
		for ctx.Err() == nil {
			round, due, remaining := n.broadcasts.Take(n.deps.Now())
			if !due && remaining == 0 {
				break
			}
			if !due {
				sleep(ctx, remaining)
				continue
			}
			n.broadcast(ctx, round)
		}
	}
}

// broadcast exchanges state with the members of a round at once.
func (n *Node) broadcast(ctx context.Context, round membership.Broadcast) {
	start := n.deps.Now()
	slots := make(chan struct{}, _maxConcurrentSends)
	var sends sync.WaitGroup
	targets := n.members.BroadcastTargets(round.Scope)
	for _, m := range targets {
		slots <- struct{}{}
		sends.Go(func() {
			defer func() { <-slots }()
			if err := n.gossip.Push(ctx, m, round.Records); err != nil {
				n.deps.Logger.V(1).Info("Member not told", "member", m.ID, "cause", err.Error())
			}
		})
	}
	sends.Wait()
	n.deps.Logger.V(1).Info("Told news", "records", len(round.Records), "members", len(targets), "took", n.deps.Now().Sub(start).Round(time.Millisecond))
}
