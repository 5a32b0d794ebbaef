// Package membership keeps the table of nodes: who is there, in which state,
// and when a silent one counts as failed. It does no I/O: it is fed with
// messages, the results of probes and the present time, and says whom to
// probe and what to tell.
//
// It follows SWIM (Das, Gupta, Motivala, 2002) within an availability zone
// and reconciles whole zones by digest between them.
package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lentilferry.example/lentilferry/config"
)

// NodeID identifies a node. A replaced VM may take the ID of the one before.
type NodeID string

// Zone names an availability zone.
type Zone string

// Region names a region.
type Region string

// State is a member's place in its lifecycle.
type State int

// The states of a member, in the order of its lifecycle.
const (
	// Starting means that the node has no configuration yet.
	Starting State = iota + 1
	// Warming means that the upstream is cold and takes a growing share.
	Warming
	// Serving means that the upstream takes work.
	Serving
	// Draining means that the upstream finishes its work and takes no more.
	Draining
	// Left means that the node stopped as planned.
	Left
	// Failed means that the node was silent for too long.
	Failed
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Warming:
		return "warming"
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Left:
		return "left"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

// Gone reports whether the member is no longer there.
func (s State) Gone() bool {
	return s == Left || s == Failed
}

// AcceptsCalls reports whether the member's upstream takes new calls.
func (s State) AcceptsCalls() bool {
	return s == Warming || s == Serving
}

// Member is one node and its upstream.
type Member struct {
	ID NodeID
	// Incarnation grows with each start of the node.
	Incarnation uint64
	// Sequence grows with each change that the node itself announces; only
	// the node raises it.
	Sequence uint64
	State    State
	// Suspected is set by others while the node does not answer probes.
	Suspected bool
	Region    Region
	Zone      Zone
	// PeerAddress is where other nodes reach the node.
	PeerAddress netip.AddrPort
	Service     config.ServiceName
	Version     config.VersionName
	// Slots is how many calls the upstream runs at once.
	Slots int
	// Revision is the number of the configuration that the node ran when its
	// record last changed.
	Revision uint64
	// LastDeparture is the process of the upstream that last said that it leaves. In
	// others' memory it outlives the node's own process: of two records of a
	// member, whichever is newer, the later departure is kept.
	LastDeparture Departure
}

// Departure names a process of an upstream that has said that it leaves; the
// zero value names none.
type Departure struct {
	Process string
	// Incarnation grows with each start of the upstream.
	Incarnation uint64
}

// later returns the later one of two departures.
func (d Departure) later(other Departure) Departure {
	if cmp.Or(cmp.Compare(d.Incarnation, other.Incarnation), cmp.Compare(d.Process, other.Process)) >= 0 {
		return d
	}
	return other
}

// Instance names the member's incarnation: a node that has restarted since is
// another instance.
func (m Member) Instance() string {
	return string(m.ID) + "/" + strconv.FormatUint(m.Incarnation, 10)
}

// precedence orders what may be said of a member at one sequence number.
func (m Member) precedence() int {
	switch {
	case m.State.Gone():
		return 2
	case m.Suspected:
		return 1
	default:
		return 0
	}
}

// Supersedes reports whether m is a newer record of the member than old.
func (m Member) Supersedes(old Member) bool {
	order := cmp.Or(
		cmp.Compare(m.Incarnation, old.Incarnation),
		cmp.Compare(m.Sequence, old.Sequence),
		cmp.Compare(m.precedence(), old.precedence()),
	)
	return order > 0
}

// Hash returns a hash of what decides between two records of the member.
func (m Member) Hash() uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, m.ID...)
	buffer = append(buffer, 0)
	buffer = binary.BigEndian.AppendUint64(buffer, m.Incarnation)
	buffer = binary.BigEndian.AppendUint64(buffer, m.Sequence)
	buffer = append(buffer, byte(m.precedence()))
	return xxhash.Sum64(buffer)
}
