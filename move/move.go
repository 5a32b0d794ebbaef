// Package move carries out orders to move a service's calls to another version
// of its upstreams, the candidate, within seconds. It decides which share of
// the calls the candidate has, when the share grows and when the move is
// reverted. It does no I/O.
package move

import (
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
)

// State is the state of an order.
type State int

// The states of an order.
const (
	// Ordered means that no decision has been made yet.
	Ordered State = iota + 1
	// Running means that the candidate has a share, which may be 0.
	Running
	// Complete means that the candidate has all calls. It is final.
	Complete
	// Reverted means that the candidate has no calls. It is final.
	Reverted
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Ordered:
		return "ordered"
	case Running:
		return "running"
	case Complete:
		return "complete"
	case Reverted:
		return "reverted"
	default:
		return "invalid"
	}
}

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == Complete || s == Reverted
}

// Progress is the latest decision on an order. It is stored with the order.
type Progress struct {
	State State
	// Candidate is the version that the decision is about.
	Candidate config.VersionName
	// Share is the candidate's share of the calls; FullShare once complete.
	Share config.Share
	// Remaining is the time from the decision to the deadline.
	Remaining time.Duration
	// Coordinator is the node that made the decision. Stored progress and log
	// lines have it under the name "pilot".
	Coordinator membership.NodeID
	// Epoch grows with each change of the coordinator.
	Epoch uint64
	// Reason says why the decision was made or what the next one waits for.
	Reason string
}

// isAheadOf reports whether p is a later decision than q on the same candidate.
// With the same share, the later coordinator's is.
func (p Progress) isAheadOf(q Progress) bool {
	switch {
	case q.State.Ended():
		return false
	case p.State.Ended():
		return true
	case p.State != q.State || p.Share != q.Share:
		return p.State == Running && (q.State != Running || p.Share > q.Share)
	default:
		return p.Epoch > q.Epoch
	}
}

// Order is an operator's request to move a service's calls to a version of its
// upstreams.
type Order struct {
	Service   config.ServiceName
	Candidate config.VersionName
	// Duration is how long the move may take from when it was ordered.
	Duration time.Duration
	// Revision is the objectstore version of the order's last change; it grows
	// with each change, also across a restore of the store.
	Revision uint64
	Progress Progress
}

// ID returns the order's identity among the orders of all services,
// "service/candidate".
func (o Order) ID() string {
	return string(o.Service) + "/" + string(o.Candidate)
}

// HasEnded reports whether the order's progress says that it has ended.
func (o Order) HasEnded() bool {
	return o.Progress.Candidate == o.Candidate && o.Progress.State.Ended()
}

// dropForeignProgress resets progress that is missing or about another
// candidate to Ordered.
func (o Order) dropForeignProgress() Order {
	if o.Progress.Candidate != o.Candidate || o.Progress.State == 0 {
		o.Progress = Progress{State: Ordered, Candidate: o.Candidate, Remaining: o.Duration}
	}
	return o
}

// orderEntry is an order and its times on this node's clock.
type orderEntry struct {
	order Order
	// updatedAt is when this node received the order's last change.
	updatedAt time.Time
	// deadline is when the order must be complete.
	deadline time.Time
	// startedAt is when this node first received the order.
	startedAt time.Time
	// isUnsaved is set when the store may lack the order's progress because it
	// was restored from a copy.
	isUnsaved bool
	// isStoreBehind is set when this node has seen the order with less progress
	// at its revision. It implies isUnsaved.
	isStoreBehind bool
	// superseded is the candidate of the order before.
	superseded config.VersionName
}
