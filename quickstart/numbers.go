package main

import (
	"context"
	"fmt"
	"time"
)

// _revisionPollInterval is the time between looks at the nodes' revisions.
const _revisionPollInterval = 2 * time.Millisecond

// revisionWatcher follows the revisions of all nodes.
type revisionWatcher struct {
	mesh *mesh
	done chan struct{}

	// The fields below may be read once done is closed.

	// maxConvergence is the maxConvergence time from the first node with a revision to the
	// last; each node may skip revisions.
	maxConvergence time.Duration
	// converged counts the revisions that all nodes reached.
	converged int
	// regressions names nodes that returned to an older revision.
	regressions []string
}

func watchRevisions(ctx context.Context, m *mesh) *revisionWatcher {
	w := &revisionWatcher{mesh: m, done: make(chan struct{})}
	go w.watch(ctx)
	return w
}

// wait returns when the watching has ended.
func (w *revisionWatcher) wait() {
	<-w.done
}

func (w *revisionWatcher) watch(ctx context.Context) {
	defer close(w.done)
	previous := w.mesh.revisions()
	firstSeen := make(map[uint64]time.Time)
	for sleep(ctx, _revisionPollInterval) == nil {
		now := time.Now()
		current := w.mesh.revisions()
		for i, revision := range current {
			if revision < previous[i] {
				w.regressions = append(w.regressions, fmt.Sprintf("node %s went from revision %d back to %d", w.mesh.nodes[i].id, previous[i], revision))
			}
			if _, ok := firstSeen[revision]; !ok && revision > previous[i] {
				firstSeen[revision] = now
			}
		}
		w.recordConverged(now, minRevision(current), firstSeen)
		previous = current
	}
}

// recordConverged takes out the revisions that all nodes have reached.
func (w *revisionWatcher) recordConverged(now time.Time, upTo uint64, firstSeen map[uint64]time.Time) {
	for revision, at := range firstSeen {
		if !at.IsZero() && revision <= upTo {
			w.maxConvergence = max(w.maxConvergence, now.Sub(at))
			w.converged++
			firstSeen[revision] = time.Time{}
		}
	}
}

func minRevision(revisions []uint64) uint64 {
	lowest := revisions[0]
	for _, r := range revisions {
		lowest = min(lowest, r)
	}
	return lowest
}
