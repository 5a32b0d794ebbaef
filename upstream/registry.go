// Package upstream tracks the state of the upstream on a node's VM from the
// announcements of that upstream. It does no I/O.
package upstream

import (
	"cmp"
	"net/netip"
	"sync"
	"time"

	"lentilferry.example/lentilferry/config"
)

// ID identifies an upstream process. A restarted process may keep its ID.
type ID string

// Announcement is what an upstream states about itself.
type Announcement struct {
	ID      ID
	Service config.ServiceName
	Version config.VersionName
	Address netip.AddrPort
	// Slots is how many calls the upstream runs concurrently; above zero.
	Slots int
	// Leaving is set once the upstream is about to stop.
	Leaving bool
	// ColdFor is how much longer the upstream will be slow after its start.
	ColdFor time.Duration
	// Sequence grows with each announcement of one incarnation, from 1.
	Sequence uint64
	// Incarnation grows with each start of the upstream.
	Incarnation uint64
}

// Result is the result of handling an announcement or a departure.
type Result int

// The results of handling an announcement or a departure.
const (
	// Accepted means that the registry's current state reflects it.
	Accepted Result = iota + 1
	// Stale means that it does not concern the current upstream or a newer
	// announcement was handled before. The current announcement stays.
	Stale
	// Foreign means that it is not from the upstream of this VM.
	Foreign
	// Unrecorded means that the upstream gets no more calls but that its departure
	// could not be recorded, so that it may be forgotten with the node's process.
	// Registry never returns it.
	Unrecorded
)

// String returns the name of the result, as it appears in logs.
func (r Result) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case Stale:
		return "stale"
	case Foreign:
		return "foreign"
	case Unrecorded:
		return "unrecorded"
	default:
		return "invalid"
	}
}

// State is the state of an upstream.
type State int

// The states of an upstream.
const (
	// Absent means that no upstream is known, or that the current one refuses
	// connections or was not seen for _absentAfter.
	Absent State = iota + 1
	// Cold means that the upstream accepts calls but is still slow after its
	// start.
	Cold
	// Ready means that the upstream accepts calls.
	Ready
	// Leaving means that the upstream accepts no new calls.
	Leaving
)

// String returns the name of the state, as it appears in logs.
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
	// answer a call before it is considered absent: announcements arrive every
	// 1.5 s and may be seconds late.
	_absentAfter = 6 * time.Second
	// _maxDeparted bounds the departed instances and the unknown departed IDs
	// that are remembered.
	_maxDeparted = 256
)

// Instance identifies one incarnation of an upstream.
type Instance struct {
	ID          ID
	Incarnation uint64
}

// Compare orders instances by incarnation and then by ID.
func (i Instance) Compare(other Instance) int {
	return cmp.Or(cmp.Compare(i.Incarnation, other.Incarnation), cmp.Compare(i.ID, other.ID))
}

// Registry holds the state of the upstream on a node's VM. It is safe for
// concurrent use.
type Registry struct {
	service config.ServiceName
	address netip.AddrPort

	mu sync.Mutex
	// current is the newest announcement; its ID is empty before the first.
	current Announcement
	// departed holds the instances that announced that they leave or were
	// reported as departed. They never accept calls again.
	departed map[Instance]bool
	// departedUnannounced holds the IDs that were reported as departed while
	// they were not the current upstream, as happens just after the start of
	// the node.
	departedUnannounced map[ID]bool
	// lastDeparted is the departed instance with the highest incarnation.
	lastDeparted Instance
	// coldUntil is when the current upstream stops being cold.
	coldUntil time.Time
	// lastSeen is when the current upstream last announced itself or answered.
	lastSeen time.Time
	// unreachable is set while the current upstream refuses connections.
	unreachable bool
}

// New returns a registry for the upstream of a service at an address.
func New(service config.ServiceName, address netip.AddrPort) *Registry {
	return &Registry{service: service, address: address, departed: make(map[Instance]bool), departedUnannounced: make(map[ID]bool)}
}

// HandleAnnouncement updates the registry from an announcement. A stale
// announcement counts only if it says that its instance is leaving, a foreign
// one never.
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
		// The announcement was sent before the departure: a restarted process
		// begins at sequence 1.
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

// HandleDeparture marks an upstream that is about to stop, or has stopped, as
// departed. If the upstream is not the current one, it remembers the ID for
// announcements that arrive later, and returns Stale.
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

// InstanceOf returns the instance with the given ID. Its incarnation is 0 unless
// it is the current upstream.
func (r *Registry) InstanceOf(id ID) Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Instance{ID: id, Incarnation: r.incarnationOf(id)}
}

// RestoreDeparture marks an instance as departed whose departure an earlier
// process of the node confirmed. If its incarnation is 0, that process did not
// know it; see HandleDeparture.
func (r *Registry) RestoreDeparture(instance Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markDeparted(instance)
	if instance.Incarnation != 0 {
		return
	}
	if len(r.departedUnannounced) < _maxDeparted {
		r.departedUnannounced[instance.ID] = true
	}
	if r.current.ID == instance.ID && r.current.Sequence > 1 {
		r.markDeparted(Instance{ID: r.current.ID, Incarnation: r.current.Incarnation})
	}
}

// LastDeparted returns the departed instance with the highest incarnation; the
// zero value if there is none.
func (r *Registry) LastDeparted() Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastDeparted
}

// IsLeaving reports whether the upstream with the given ID has said that it
// leaves, or was reported as departed.
func (r *Registry) IsLeaving(id ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.departedUnannounced[id] {
		return true
	}
	for instance := range r.departed {
		if instance.ID == id && instance.Incarnation >= r.incarnationOf(id) {
			return true
		}
	}
	return false
}

// incarnationOf returns the incarnation of the current upstream if it has the
// given ID, and 0 otherwise. The caller holds r.mu.
func (r *Registry) incarnationOf(id ID) uint64 {
	if r.current.ID == id {
		return r.current.Incarnation
	}
	return 0
}

// markDeparted remembers that an instance accepts no more calls. When too many
// are remembered it forgets all but lastDeparted first.
func (r *Registry) markDeparted(instance Instance) {
	if len(r.departed) >= _maxDeparted {
		clear(r.departed)
	}
	r.departed[instance] = true
	if instance.Incarnation >= r.lastDeparted.Incarnation {
		r.lastDeparted = instance
	}
}

// MarkReachable records that the upstream with the given ID answered a call.
func (r *Registry) MarkReachable(now time.Time, id ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == r.current.ID {
		r.lastSeen = now
		r.unreachable = false
	}
}

// MarkUnreachable records that the upstream with the given ID refused a
// connection. It is absent until it announces itself again or answers a call.
func (r *Registry) MarkUnreachable(id ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == r.current.ID {
		r.unreachable = true
	}
}

// Current returns the newest announcement and the state of the upstream.
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
