package node

import (
	"context"
	"sync"
	"time"

	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/peer"
)

// _maxConcurrentPushes bounds the members that are told at the same time.
const _maxConcurrentPushes = 8

var _ peer.UpdateRelay = (*Node)(nil)

// Heard passes on what was news from a peer, where that is this node's part.
func (n *Node) RelayUpdates(from membership.Zone, records []membership.Member) {
	if from != "" && n.members.ShouldForward(from) {
		n.herald.Add(membership.ScopeOwnZone, records...)
	}
}

// pushUpdates tells other members what is news as soon as it happens; gossip
// reaches those that could not be told.
func (n *Node) pushUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.herald.Changed():
		}
		for ctx.Err() == nil {
			round, due, remaining := n.herald.Take(n.deps.Now())
			if !due && remaining == 0 {
				break
			}
			if !due {
				sleep(ctx, remaining)
				continue
			}
			n.pushRound(ctx, round)
		}
	}
}

// pushRound exchanges state with the members of a round at once.
func (n *Node) pushRound(ctx context.Context, round membership.Broadcast) {
	start := n.deps.Now()
	slots := make(chan struct{}, _maxConcurrentPushes)
	var pushes sync.WaitGroup
	audience := n.members.BroadcastTargets(round.Scope)
	for _, m := range audience {
		slots <- struct{}{}
		pushes.Go(func() {
			defer func() { <-slots }()
			if err := n.gossip.Push(ctx, m, round.Records); err != nil {
				n.deps.Logger.V(1).Info("Member not told", "member", m.ID, "cause", err.Error())
			}
		})
	}
	pushes.Wait()
	n.deps.Logger.V(1).Info("Told news", "records", len(round.Records), "members", len(audience), "took", n.deps.Now().Sub(start).Round(time.Millisecond))
}
