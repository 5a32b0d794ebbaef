package main

import (
	"context"
	"fmt"
	"time"
)

// _numbersEvery is the time between looks at the nodes' revisions.
const _numbersEvery = 2 * time.Millisecond

// numbers follows the revisions of all nodes.
type numbers struct {
	mesh *mesh
	done chan struct{}

	// The fields below may be read once done is closed.

	// longest is the longest time from the first node with a revision to the
	// last; each node may skip revisions.
	longest time.Duration
	// converged counts the revisions that all nodes reached.
	converged int
	// faults names nodes that returned to an older revision.
	faults []string
}

func watchNumbers(ctx context.Context, m *mesh) *numbers {
	n := &numbers{mesh: m, done: make(chan struct{})}
	go n.watch(ctx)
	return n
}

// wait returns when the watching has ended.
func (n *numbers) wait() {
	<-n.done
}

func (n *numbers) watch(ctx context.Context) {
	defer close(n.done)
	highest := n.mesh.numbers()
	first := make(map[uint64]time.Time)
	for sleep(ctx, _numbersEvery) == nil {
		now := time.Now()
		current := n.mesh.numbers()
		for i, number := range current {
			if number < highest[i] {
				n.faults = append(n.faults, fmt.Sprintf("node %s went from revision %d back to %d", n.mesh.nodes[i].id, highest[i], number))
			}
			if _, ok := first[number]; !ok && number > highest[i] {
				first[number] = now
			}
		}
		n.converge(now, lowest(current), first)
		highest = current
	}
}

// converge takes out the revisions that all nodes have reached.
func (n *numbers) converge(now time.Time, lowest uint64, first map[uint64]time.Time) {
	for number, at := range first {
		if !at.IsZero() && number <= lowest {
			n.longest = max(n.longest, now.Sub(at))
			n.converged++
			first[number] = time.Time{}
		}
	}
}

func lowest(numbers []uint64) uint64 {
	least := numbers[0]
	for _, number := range numbers {
		least = min(least, number)
	}
	return least
}
