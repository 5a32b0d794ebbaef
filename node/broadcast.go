package node

import (
	"context"
	"sync"
	"time"

	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/peer"
)

// _maxConcurrentSends bounds how many members a broadcast is sent to
// concurrently.
const _maxConcurrentSends = 8

var _ peer.UpdateRelay = (*Node)(nil)

// RelayUpdates broadcasts records that a peer sent and that were new to this
// node within the node's own zone, if the node forwards updates from the peer's
// zone.
func (n *Node) RelayUpdates(from membership.Zone, records []membership.Member) {
	if from != "" && n.members.ShouldForward(from) {
		n.broadcasts.Add(membership.ScopeOwnZone, records...)
	}
}

// sendBroadcasts sends queued updates to other members as soon as a broadcast
// is due. Members that can't be reached receive the updates by gossip.
func (n *Node) sendBroadcasts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.broadcasts.Changed():
		}
		for ctx.Err() == nil {
			pending, due, remaining := n.broadcasts.Take(n.deps.Now())
			if !due && remaining == 0 {
				break
			}
			if !due {
				sleep(ctx, remaining)
				continue
			}
			n.broadcast(ctx, pending)
		}
	}
}

// broadcast sends a broadcast to all members in its scope, up to
// _maxConcurrentSends at a time.
func (n *Node) broadcast(ctx context.Context, b membership.Broadcast) {
	start := n.deps.Now()
	semaphore := make(chan struct{}, _maxConcurrentSends)
	var sends sync.WaitGroup
	targets := n.members.BroadcastTargets(b.Scope)
	for _, m := range targets {
		semaphore <- struct{}{}
		sends.Go(func() {
			defer func() { <-semaphore }()
			if err := n.gossip.Push(ctx, m, b.Records); err != nil {
				n.deps.Logger.V(1).Info("Broadcast not delivered", "member", m.ID, "cause", err.Error())
			}
		})
	}
	sends.Wait()
	n.deps.Logger.V(1).Info("Broadcast sent", "records", len(b.Records), "members", len(targets), "took", n.deps.Now().Sub(start).Round(time.Millisecond))
}
