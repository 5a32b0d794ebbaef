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
	// _minSourceReadInterval is the least time between two reads of the
	// configuration source, so that changes in quick succession are taken
	// together.
	_minSourceReadInterval = 300 * time.Millisecond
	// _maxSourceBackoff bounds the delay after failed reads: a change must be
	// in force within 2.5 s, also right after an outage.
	_maxSourceBackoff = time.Second
	// _missedUpdateWindow is the time within which a read returns a change that
	// is older than the read; a read that takes longer has waited for the
	// change. If the read before it returned nothing, that read missed the
	// change, and the reads of other nodes may still miss it.
	_missedUpdateWindow = 150 * time.Millisecond
)

const (
	// _watchersPerZone is how many nodes of a zone read the configuration and
	// the orders from the platform; the others receive them from these. The
	// first watcher reads the newest state. The others are standbys; their
	// reads may be stale and cost the platform a tenth as much.
	_watchersPerZone = 3
	// _startupPeriod is the time that nodes that start together need to learn
	// of each other: first contact and the next probe.
	_startupPeriod = 1500 * time.Millisecond
	// _roleWatcher is the role of reading the configuration and the orders from
	// the platform.
	_roleWatcher = "watcher"
	// _watcherCheckInterval is how often a node checks whether it has become a
	// watcher.
	_watcherCheckInterval = 200 * time.Millisecond
)

// broadcastScope returns how far a watcher broadcasts what it has read. A
// standby broadcasts it only within its zone: if the first watcher of a zone
// fails, the other zones still receive the change from their own.
func broadcastScope(allowStale bool) membership.BroadcastScope {
	if allowStale {
		return membership.ScopeOwnZone
	}
	return membership.ScopeNextZones
}

// isStartingUp reports whether the node was built less than _startupPeriod ago.
func (n *Node) isStartingUp() bool {
	return n.deps.Now().Sub(n.startedAt) < _startupPeriod
}

// watcherRole reports whether this node is a watcher, and whether its reads may
// be stale. A node that has just started knows few others and would consider
// itself the first watcher of its zone, so its reads may be stale until
// _startupPeriod has passed.
func (n *Node) watcherRole() (isWatcher, allowStale bool) {
	startingUp := n.isStartingUp()
	for i, m := range membership.RoleHolders(n.members.ZoneMembers(n.deps.Zone), _roleWatcher, _watchersPerZone) {
		if m.ID == n.deps.ID {
			return true, i > 0 || startingUp
		}
	}
	return false, false
}

// watchConfigSource applies each newer configuration from the source while this
// node is a watcher.
func (n *Node) watchConfigSource(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = _initialBackoff
	retryDelay.MaxInterval = _maxSourceBackoff
	failing, lastReadEmpty, hasRead := false, false, false
	reader := sourceReader{source: n.deps.ConfigSource, holder: n.holder}
	for ctx.Err() == nil {
		isWatcher, allowStale := n.watcherRole()
		if !reader.isUnconfirmed() && (!isWatcher || hasRead && n.isStartingUp()) {
			lastReadEmpty = false
			sleep(ctx, _watcherCheckInterval)
			continue
		}
		start, previousRevision := n.deps.Now(), n.holder.Number()
		snapshot, err := reader.next(ctx, allowStale)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, revision.ErrInvalid):
			n.deps.Logger.Info("Refused configuration", "inForce", n.holder.Number(), "cause", err.Error())
		case err != nil:
			if !failing {
				n.deps.Logger.Info("Configuration source unavailable", "inForce", n.holder.Number(), "cause", err.Error())
			}
			failing = true
			sleep(ctx, retryDelay.NextBackOff())
			continue
		}
		if failing {
			n.deps.Logger.Info("Configuration source available again", "inForce", n.holder.Number())
		}
		failing, hasRead = false, true
		retryDelay.Reset()
		changed := snapshot != nil && n.applySnapshot(snapshot)
		if changed {
			n.broadcasts.Add(broadcastScope(allowStale))
		}
		if changed && previousRevision != 0 && lastReadEmpty && n.deps.Now().Sub(start) < _missedUpdateWindow {
			n.deps.Logger.Info("Configuration missed by an earlier read", "revision", snapshot.Manifest.Number, "note", "telling all members")
			n.broadcasts.Add(membership.ScopeAllZones)
		}
		lastReadEmpty = snapshot == nil
		sleep(ctx, _minSourceReadInterval)
	}
}

// applySnapshot applies a configuration and reports whether it was newer than
// the current one.
func (n *Node) applySnapshot(snapshot *revision.Snapshot) bool {
	result := n.holder.Offer(snapshot)
	n.deps.Logger.Info("Configuration read", "revision", snapshot.Manifest.Number, "applied", result == revision.Applied,
		"inForce", n.holder.Number(), "routes", len(snapshot.Config.Routes), "workspaces", len(snapshot.Config.Workspaces))
	return result == revision.Applied
}

// maintainRosters maintains this zone's roster and contacts unknown members
// while this node is a relay, and whenever the store was restored, which may have
// lost the roster.
func (n *Node) maintainRosters(ctx context.Context) {
	var schedule rosterSchedule
	var restores restoreDetector
	// Wait for a random time: of nodes that start together, only one needs to
	// list itself.
	sleep(ctx, n.jitter(_minRosterInterval))
	mayBeLost := false
	for ctx.Err() == nil {
		if restores.observe(n.deps.StoreEra) {
			schedule, mayBeLost = rosterSchedule{}, true
		}
		if mayBeLost || n.isRelay() {
			isListed, err := n.maintainRoster(ctx, &schedule)
			if err != nil {
				n.deps.Logger.Info("Rosters not read", "cause", err.Error())
				schedule = rosterSchedule{}
			}
			mayBeLost = mayBeLost && !isListed
		}
		sleep(ctx, _relayCheckInterval)
	}
}

// restoreDetector detects that the platform's store was restored.
type restoreDetector struct {
	era   uint64
	known bool
}

// observe reports whether the store was restored since the last call; not at the
// first call at which the era is known.
func (r *restoreDetector) observe(storeEra func() (uint64, bool)) bool {
	if storeEra == nil {
		return false
	}
	era, known := storeEra()
	wasRestored := r.known && era > r.era
	r.era, r.known = era, known
	return wasRestored
}
