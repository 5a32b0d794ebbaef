package main

import (
	"context"
	"fmt"
	"time"
)

// _revisionPollInterval is the time between two reads of the nodes' revisions.
const _revisionPollInterval = 2 * time.Millisecond

// revisionWatcher polls the revisions of all nodes and measures how fast they
// converge.
type revisionWatcher struct {
	mesh *mesh
	done chan struct{}

	// The fields below may be read once done is closed.

	// maxConvergence is the longest time from when the first node reached a
	// revision until all nodes had reached it or a newer one. Nodes may skip
	// revisions.
	maxConvergence time.Duration
	// converged counts the revisions that all nodes reached.
	converged int
	// regressions describes nodes that returned to an older revision.
	regressions []string
}

// watchRevisions starts to watch the nodes' revisions until the context ends.
func watchRevisions(ctx context.Context, m *mesh) *revisionWatcher {
	w := &revisionWatcher{mesh: m, done: make(chan struct{})}
	go w.watch(ctx)
	return w
}

// wait waits until the watcher has stopped.
func (w *revisionWatcher) wait() {
	<-w.done
}

// watch polls the revisions until the context ends.
func (w *revisionWatcher) watch(ctx context.Context) {
	defer close(w.done)
	previous := w.mesh.revisions()
	firstSeen := make(map[uint64]time.Time)
	for sleep(ctx, _revisionPollInterval) == nil {
		now := time.Now()
		current := w.mesh.revisions()
		for i, revision := range current {
			if revision < previous[i] {
				w.regressions = append(w.regressions, fmt.Sprintf("node %s returned from revision %d to revision %d", w.mesh.nodes[i].id, previous[i], revision))
			}
			if _, ok := firstSeen[revision]; !ok && revision > previous[i] {
				firstSeen[revision] = now
			}
		}
		w.recordConverged(now, minRevision(current), firstSeen)
		previous = current
	}
}

// recordConverged records the convergence time of the revisions up to the given
// one, which all nodes have reached. It sets their first-seen times to zero, so
// that each is recorded once.
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
