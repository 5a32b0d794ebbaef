// Package move carries out orders to move a service's calls to another
// version of its upstreams by a deadline of seconds: which share the version
// has, when the share grows, and when the version is taken back. It does no
// I/O.
package move

import (
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
)

// State is how far an order is.
type State int

// The states of an order.
const (
	// Ordered means that nothing was decided yet.
	Ordered State = iota + 1
	// Running means that the candidate has a share, which may be 0.
	Running
	// Complete means that the candidate has all calls for good.
	Complete
	// Reverted means that the candidate has no calls for good.
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

// Ended reports whether the order is over.
func (s State) Ended() bool {
	return s == Complete || s == Reverted
}

// Progress is what was decided on an order. It is stored with the order.
type Progress struct {
	State State
	// Candidate is the version that the progress is about.
	Candidate config.VersionName
	// Share is the candidate's part of the calls; FullShare once complete.
	Share config.Share
	// Remaining is the time to the deadline when the progress was decided on.
	Remaining time.Duration
	// Coordinator is the node that decided.
	Coordinator membership.NodeID
	// Epoch grows with each change of the pilot.
	Epoch  uint64
	Reason string
}

// Order asks that a service's calls are moved to a version of its upstreams.
type Order struct {
	Service   config.ServiceName
	Candidate config.VersionName
	// Duration is the time that the move may take from when it was ordered.
	Duration time.Duration
	// Revision is the store's revision of the order's last change. It grows
	// with each change.
	Revision uint64
	Progress Progress
}

// ID names the order among the orders of all services.
func (o Order) ID() string {
	return string(o.Service) + "/" + string(o.Candidate)
}

// dropForeignProgress drops progress that is about another candidate.
func (o Order) dropForeignProgress() Order {
	if o.Progress.Candidate != o.Candidate || o.Progress.State == 0 {
		o.Progress = Progress{State: Ordered, Candidate: o.Candidate, Remaining: o.Duration}
	}
	return o
}

// orderEntry is an order and when this node learnt of its last change.
type orderEntry struct {
	order     Order
	updatedAt time.Time
	// deadline is when the order is to be complete, as this node reckons.
	deadline time.Time
	// startedAt is when this node first saw the order.
	startedAt time.Time
}
