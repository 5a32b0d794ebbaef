package node

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/revision"
)

const (
	// _minSourceReadInterval is the least time between two reads of the source, so that
	// changes in quick succession are taken together.
	_minSourceReadInterval = 300 * time.Millisecond
	// _maxSourceBackoff bounds the pause after failed reads: a change is to be
	// in force within 2.5 s, also right after an outage.
	_maxSourceBackoff = time.Second
	// _missedUpdateWindow is how soon a read that follows one without news has to
	// return for its news to be older than it: the read before missed it, and
	// those of other nodes may miss it still.
	_missedUpdateWindow = 150 * time.Millisecond
)

const (
	// _watchersPerZone is how many nodes of a zone follow the platform's configuration
	// and orders; the others hear of them from these. The first of them reads
	// what is newest; the others, in case it fails, read what costs a tenth and
	// may lag.
	_watchersPerZone = 3
	// _startupPeriod is how long a node that starts with others needs to know them:
	// first contact, and the next probe.
	_startupPeriod = 1500 * time.Millisecond
	// _roleWatcher is the role of following them.
	_roleWatcher = "watcher"
	// _watcherCheckInterval is how often a node looks whether it has become a watcher.
	_watcherCheckInterval = 200 * time.Millisecond
)

// broadcastScope is how far a follower tells what it has read. Where the first
// one of a zone fails, other zones still hear from theirs.
func broadcastScope(allowStale bool) membership.BroadcastScope {
	if allowStale {
		return membership.ScopeOwnZone
	}
	return membership.ScopeNextZones
}

func (n *Node) isStartingUp() bool {
	return n.deps.Now().Sub(n.startedAt) < _startupPeriod
}

// watcherRole reports whether this node follows the platform, and whether what it
// reads may lag. A node that has just started knows few others and would take
// itself for the first of its zone: for a moment a read that may lag will do.
func (n *Node) watcherRole() (isWatcher, allowStale bool) {
	startingUp := n.isStartingUp()
	for i, m := range membership.RoleHolders(n.members.ZoneMembers(n.deps.Zone), _roleWatcher, _watchersPerZone) {
		if m.ID == n.deps.ID {
			return true, i > 0 || startingUp
		}
	}
	return false, false
}

// watchConfigSource takes over each newer configuration that the source gives.
func (n *Node) watchConfigSource(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = _initialBackoff
	retryDelay.MaxInterval = _maxSourceBackoff
	failing, lastReadEmpty, hasRead := false, false, false
	for ctx.Err() == nil {
		isWatcher, allowStale := n.watcherRole()
		if !isWatcher || hasRead && n.isStartingUp() {
			lastReadEmpty = false
			sleep(ctx, _watcherCheckInterval)
			continue
		}
		start, previousRevision := n.deps.Now(), n.holder.Number()
		snapshot, err := n.deps.ConfigSource.Next(ctx, allowStale)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, revision.ErrInvalid):
			n.deps.Logger.Info("Refused configuration", "inForce", n.holder.Number(), "cause", err.Error())
		case err != nil:
			if !failing {
				n.deps.Logger.Info("Configuration source lost", "inForce", n.holder.Number(), "cause", err.Error())
			}
			failing = true
			sleep(ctx, retryDelay.NextBackOff())
			continue
		}
		if failing {
			n.deps.Logger.Info("Configuration source regained", "inForce", n.holder.Number())
		}
		failing, hasRead = false, true
		retryDelay.Reset()
		changed := snapshot != nil && n.applySnapshot(snapshot)
		if changed {
			n.broadcasts.Add(broadcastScope(allowStale))
		}
		if changed && previousRevision != 0 && lastReadEmpty && n.deps.Now().Sub(start) < _missedUpdateWindow {
			n.deps.Logger.Info("Configuration was missed", "revision", snapshot.Manifest.Number, "note", "telling all members")
			n.broadcasts.Add(membership.ScopeAllZones)
		}
		lastReadEmpty = snapshot == nil
		sleep(ctx, _minSourceReadInterval)
	}
}

// applySnapshot takes over a configuration and reports whether it was news.
func (n *Node) applySnapshot(snapshot *revision.Snapshot) bool {
	result := n.holder.Offer(snapshot)
	n.deps.Logger.Info("Configuration read", "revision", snapshot.Manifest.Number, "applied", result == revision.Applied,
		"inForce", n.holder.Number(), "routes", len(snapshot.Config.Routes))
	return result == revision.Applied
}

// maintainRosters keeps this zone's first contacts and looks for members that
// are not known yet.
func (n *Node) maintainRosters(ctx context.Context) {
	var roster rosterSchedule
	// Nodes that start together need only one to name itself.
	sleep(ctx, n.jitter(_minRosterInterval))
	for ctx.Err() == nil {
		if !n.isRelay() {
			sleep(ctx, _relayCheckInterval)
			continue
		}
		if err := n.maintainRoster(ctx, &roster); err != nil {
			n.deps.Logger.Info("Rosters not read", "cause", err.Error())
			roster.interval = 0
			sleep(ctx, _minRosterInterval)
			continue
		}
		sleep(ctx, roster.interval)
	}
}
