package membership

import (
	"math"
	"slices"
	"strings"
	"sync"
)

// HeldBack is a member that runs an older revision than others.
type HeldBack struct {
	ID       NodeID
	Zone     Zone
	Revision uint64
}

// Applied holds which revision each member of a zone says that it runs. Each
// member tells its zone's collector when that changes; a collector that is new
// counts the members it has not heard from as running none. It is safe for
// concurrent use.
type Applied struct {
	mu sync.Mutex
	// runs holds the newest report of each member.
	runs map[NodeID]running
}

type running struct {
	incarnation uint64
	revision    uint64
}

// NewApplied returns an Applied that has heard from nobody.
func NewApplied() *Applied {
	return &Applied{runs: make(map[NodeID]running)}
}

// Tell takes in what a member runs. A report of an older incarnation, or of an
// older revision, is late and counts for nothing.
func (a *Applied) Tell(id NodeID, incarnation, revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.runs[id]
	if incarnation > known.incarnation || incarnation == known.incarnation && revision > known.revision {
		a.runs[id] = running{incarnation: incarnation, revision: revision}
	}
}

// ZoneApplied is what is in force in one zone.
type ZoneApplied struct {
	Zone Zone
	// Reached is false when the zone's collector did not answer.
	Reached bool
	// Lowest is the newest revision that all live members run.
	Lowest uint64
	// Newest is the newest that any of them runs.
	Newest uint64
	// HeldBack names some of those that run less than Newest, by ID.
	HeldBack []HeldBack
	// Behind counts all of them.
	Behind int
}

// _namedHeldBack bounds the members that a zone names.
const _namedHeldBack = 5

// Zone returns what is in force at the given members of one zone that are not
// gone, and forgets all others.
func (a *Applied) Zone(zone Zone, members []Member) ZoneApplied {
	a.mu.Lock()
	defer a.mu.Unlock()
	result := ZoneApplied{Zone: zone, Reached: true, Lowest: math.MaxUint64}
	kept := make(map[NodeID]running, len(members))
	for _, m := range members {
		if m.State.Gone() {
			continue
		}
		run, ok := a.runs[m.ID]
		if ok {
			kept[m.ID] = run
		}
		if run.incarnation != m.Incarnation {
			run.revision = 0
		}
		result.Lowest = min(result.Lowest, run.revision)
		result.Newest = max(result.Newest, run.revision)
		result.HeldBack = append(result.HeldBack, HeldBack{ID: m.ID, Zone: zone, Revision: run.revision})
	}
	a.runs = kept
	if len(result.HeldBack) == 0 {
		result.Lowest = 0
	}
	newest := result.Newest
	result.HeldBack = slices.DeleteFunc(result.HeldBack, func(h HeldBack) bool { return h.Revision >= newest })
	slices.SortFunc(result.HeldBack, func(x, y HeldBack) int { return strings.Compare(string(x.ID), string(y.ID)) })
	result.Behind = len(result.HeldBack)
	result.HeldBack = result.HeldBack[:min(_namedHeldBack, result.Behind)]
	return result
}

// InForce is the newest revision that is in force in all zones counted.
type InForce struct {
	// Number is 0 when a zone has none or did not answer.
	Number uint64
	// HeldBack names members that run less than the newest revision. One
	// without an ID stands for a zone that did not answer.
	HeldBack []HeldBack
	// LeftOut names the zones that were not heard of for too long. They take
	// the newest revision when they are heard of again.
	LeftOut []Zone
}

// MergeInForce returns what is in force in all zones but those left out.
func MergeInForce(zones []ZoneApplied, leftOut []Zone) InForce {
	result := InForce{LeftOut: leftOut}
	lowest, newest := uint64(math.MaxUint64), uint64(0)
	for _, z := range zones {
		newest = max(newest, z.Newest)
	}
	for _, z := range zones {
		switch {
		case slices.Contains(leftOut, z.Zone):
			continue
		case !z.Reached:
			result.HeldBack = append(result.HeldBack, HeldBack{Zone: z.Zone})
			lowest = 0
		case z.Newest < newest && z.Behind == 0:
			result.HeldBack = append(result.HeldBack, HeldBack{Zone: z.Zone, Revision: z.Lowest})
			lowest = min(lowest, z.Lowest)
		default:
			result.HeldBack = append(result.HeldBack, z.HeldBack...)
			lowest = min(lowest, z.Lowest)
		}
	}
	if lowest != math.MaxUint64 {
		result.Number = lowest
	}
	return result
}
