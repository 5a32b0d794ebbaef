// Package upstream decides what a node knows of the upstream on its VM from
// what that upstream announces of itself. It does no I/O.
package upstream

import (
	"net/netip"
	"sync"
	"time"

	"lentilferry.example/lentilferry/config"
)

// ID names an upstream process. A process that starts again may keep its ID.
type ID string

// Announcement is what an upstream says of itself.
type Announcement struct {
	ID      ID
	Service config.ServiceName
	Version config.VersionName
	Address netip.AddrPort
	// Slots is how many calls the upstream runs at once; above zero.
	Slots int
	// Leaving is set once the upstream is about to stop.
	Leaving bool
	// ColdFor is how much longer the upstream is slow after its start.
	ColdFor time.Duration
	// Sequence grows with each announcement of one incarnation.
	Sequence uint64
	// Incarnation grows with each start of the upstream.
	Incarnation uint64
}

// Result tells what became of an announcement.
type Result int

// The results of an announcement.
const (
	// Accepted means that the announcement is now what the node knows.
	Accepted Result = iota + 1
	// Stale means that a newer one was heard before; it changes nothing.
	Stale
	// Foreign means that it is not from the upstream of this VM.
	Foreign
)

// String returns the name of the result.
func (r Result) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case Stale:
		return "stale"
	case Foreign:
		return "foreign"
	default:
		return "invalid"
	}
}

// State is how an upstream stands.
type State int

// The states of an upstream.
const (
	// Absent means that no upstream is known, or that it does not answer.
	Absent State = iota + 1
	// Cold means that the upstream takes work and is slow.
	Cold
	// Ready means that the upstream takes work.
	Ready
	// Leaving means that the upstream takes no new work.
	Leaving
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Absent:
		return "absent"
	case Cold:
		return "cold"
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	default:
		return "invalid"
	}
}

const (
	// _absentAfter is how long an upstream may neither announce itself nor
	// answer a call before it counts as absent: announcements come each 1.5 s
	// and may be seconds late.
	_absentAfter = 6 * time.Second
	// _maxDeparted bounds the incarnations that are remembered as leaving.
	_maxDeparted = 256
)

// Instance names one incarnation of an upstream.
type Instance struct {
	ID          ID
	Incarnation uint64
}

// Registry holds what is known of the upstream on a node's VM. It is safe for
// concurrent use.
type Registry struct {
	service config.ServiceName
	address netip.AddrPort

	mu sync.Mutex
	// current is the newest announcement; its ID is empty before the first.
	current Announcement
	// departed holds the incarnations that have said that they leave. They never
	// take work again.
	departed map[Instance]bool
	// departedUnannounced holds the IDs that departed without an announcement before, as
	// when the node has just started.
	departedUnannounced map[ID]bool
	// lastDeparted is the newest of left.
	lastDeparted Instance
	// coldUntil is when the current upstream is no longer slow.
	coldUntil time.Time
	// lastSeen is when the current upstream last announced itself or answered.
	lastSeen time.Time
	// unreachable is set while the current upstream refuses connections.
	unreachable bool
}

// New returns a registry for the upstream of the given service and address.
func New(service config.ServiceName, address netip.AddrPort) *Registry {
	return &Registry{service: service, address: address, departed: make(map[Instance]bool), departedUnannounced: make(map[ID]bool)}
}

// HandleAnnouncement takes in an announcement.
func (r *Registry) HandleAnnouncement(now time.Time, a Announcement) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.ID == "" || a.Slots <= 0 || a.Service != r.service || a.Address != r.address {
		return Foreign
	}
	if a.Leaving {
		r.markDeparted(Instance{ID: a.ID, Incarnation: a.Incarnation})
	}
	if r.departedUnannounced[a.ID] && a.Sequence > 1 {
		// It was sent before the departure; a process that has started again
		// begins at 1.
		r.markDeparted(Instance{ID: a.ID, Incarnation: a.Incarnation})
	}
	if r.stale(a) {
		return Stale
	}
	r.current = a
	r.coldUntil = now.Add(a.ColdFor)
	r.lastSeen = now
	r.unreachable = false
	return Accepted
}

// stale reports whether the announcement is older than the current one.
func (r *Registry) stale(a Announcement) bool {
	switch {
	case a.Incarnation != r.current.Incarnation:
		return a.Incarnation < r.current.Incarnation
	case a.ID == r.current.ID:
		return a.Sequence <= r.current.Sequence
	default:
		return false
	}
}

// HandleDeparture takes in that an upstream is about to end, or has ended.
func (r *Registry) HandleDeparture(id ID) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != r.current.ID {
		if len(r.departedUnannounced) < _maxDeparted {
			r.departedUnannounced[id] = true
		}
		return Stale
	}
	r.markDeparted(Instance{ID: id, Incarnation: r.current.Incarnation})
	return Accepted
}

// RestoreDeparture takes in that an upstream's life has said that it leaves, as an
// earlier process of the node has confirmed it.
func (r *Registry) RestoreDeparture(l Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markDeparted(l)
}

// LastDeparted returns the life that last said that it leaves; the zero value for
// none.
func (r *Registry) LastDeparted() Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastDeparted
}

func (r *Registry) markDeparted(l Instance) {
	if len(r.departed) >= _maxDeparted {
		clear(r.departed)
	}
	r.departed[l] = true
	if l.Incarnation >= r.lastDeparted.Incarnation {
		r.lastDeparted = l
	}
}

// MarkReachable takes in that the upstream of the given ID answered a call.
func (r *Registry) MarkReachable(now time.Time, id ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == r.current.ID {
		r.lastSeen = now
		r.unreachable = false
	}
}

// MarkUnreachable takes in that the upstream refused a connection. It counts as absent
// until it announces itself again.
func (r *Registry) MarkUnreachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = true
}

// Current returns the newest announcement and how the upstream stands.
func (r *Registry) Current(now time.Time) (Announcement, State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.current.ID == "":
		return r.current, Absent
	case r.departed[Instance{ID: r.current.ID, Incarnation: r.current.Incarnation}]:
		return r.current, Leaving
	case r.unreachable || now.Sub(r.lastSeen) >= _absentAfter:
		return r.current, Absent
	case now.Before(r.coldUntil):
		return r.current, Cold
	default:
		return r.current, Ready
	}
}
