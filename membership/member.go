// Package membership keeps the table of nodes with the state of each, and
// detects failed ones. It does no I/O: its callers pass in received messages,
// probe results and the current time, and it returns the nodes to probe and the
// records to send.
//
// Within an availability zone it follows SWIM (Das, Gupta, Motivala, 2002).
// Between zones, it compares a digest of each zone and sends all records of the
// zones whose digests differ.
package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lentilferry.example/lentilferry/config"
)

// NodeID identifies a node. A VM that replaces another may reuse its ID.
type NodeID string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region.
type Region string

// State is the lifecycle state of a member.
type State int

// The states of a member, in lifecycle order.
const (
	// Starting means that the node has no configuration yet, or that its
	// upstream is unhealthy or absent.
	Starting State = iota + 1
	// Warming means that the upstream accepts calls but is cold: senders assume
	// that it is slower, and so send it fewer calls.
	Warming
	// Serving means that the upstream accepts calls.
	Serving
	// Draining means that the upstream finishes its in-flight calls and accepts
	// no new ones.
	Draining
	// Left means that the node shut down as planned.
	Left
	// Failed means that the node did not answer probes for too long.
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

// Gone reports whether the member has left or failed.
func (s State) Gone() bool {
	return s == Left || s == Failed
}

// AcceptsCalls reports whether the member's upstream accepts new calls.
func (s State) AcceptsCalls() bool {
	return s == Warming || s == Serving
}

// Member is the record of one node and its upstream.
type Member struct {
	ID NodeID
	// Incarnation grows with each start of the node.
	Incarnation uint64
	// Sequence grows with each change that the node itself publishes. No other
	// node raises it.
	Sequence uint64
	State    State
	// Suspected is set by other nodes while the node does not answer probes.
	Suspected bool
	Region    Region
	Zone      Zone
	// PeerAddress is the address at which other nodes reach the node.
	PeerAddress netip.AddrPort
	Service     config.ServiceName
	Version     config.VersionName
	// Slots is the number of calls that the upstream runs at once.
	Slots int
	// Revision is the configuration revision that the node ran when its record
	// last changed.
	Revision uint64
	// LastDeparture is the process of the upstream that last announced its
	// departure. Other nodes keep it when the node itself restarts: of two
	// records of a member, the later departure is kept, whichever record is
	// newer.
	LastDeparture Departure
}

// Departure identifies a process of an upstream that has announced its
// departure. The zero value stands for none.
type Departure struct {
	Process string
	// Incarnation grows with each start of the upstream.
	Incarnation uint64
}

// later returns the later of two departures, by incarnation and then by
// process.
func (d Departure) later(other Departure) Departure {
	if cmp.Or(cmp.Compare(d.Incarnation, other.Incarnation), cmp.Compare(d.Process, other.Process)) >= 0 {
		return d
	}
	return other
}

// Instance identifies one incarnation of the member. A restarted node is
// another instance.
func (m Member) Instance() string {
	return string(m.ID) + "/" + strconv.FormatUint(m.Incarnation, 10)
}

// precedence orders records of a member that have the same sequence number:
// failed or left overrides suspected, which overrides alive.
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

// Hash returns a hash of the fields that decide which of two records of the
// member is newer.
func (m Member) Hash() uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, m.ID...)
	buffer = append(buffer, 0)
	buffer = binary.BigEndian.AppendUint64(buffer, m.Incarnation)
	buffer = binary.BigEndian.AppendUint64(buffer, m.Sequence)
	buffer = append(buffer, byte(m.precedence()))
	return xxhash.Sum64(buffer)
}
