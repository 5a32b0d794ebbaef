package membership

import (
	"math"
	"slices"
	"strings"
	"sync"
)

// LaggingMember is a member that runs an older revision than others.
type LaggingMember struct {
	ID       NodeID
	Zone     Zone
	Revision uint64
}

// AppliedRevisions holds which revision each member of a zone says that it runs. Each
// member tells its zone's collector when that changes; a collector that is new
// counts the members it has not heard from as running none. It is safe for
// concurrent use.
type AppliedRevisions struct {
	mu sync.Mutex
	// reports holds the newest report of each member.
	reports map[NodeID]appliedReport
}

type appliedReport struct {
	incarnation uint64
	revision    uint64
}

// NewAppliedRevisions returns an Applied that has heard from nobody.
func NewAppliedRevisions() *AppliedRevisions {
	return &AppliedRevisions{reports: make(map[NodeID]appliedReport)}
}

// Record takes in what a member runs. A report of an older incarnation, or of an
// older revision, is late and counts for nothing.
func (a *AppliedRevisions) Record(id NodeID, incarnation, revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.reports[id]
	if incarnation > known.incarnation || incarnation == known.incarnation && revision > known.revision {
		a.reports[id] = appliedReport{incarnation: incarnation, revision: revision}
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
	// Lagging names some of those that run less than Newest, by ID.
	Lagging []LaggingMember
	// LaggingCount counts all of them.
	LaggingCount int
}

// _maxLaggingListed bounds the members that a zone names.
const _maxLaggingListed = 5

// Summarize returns what is in force at the given members of one zone that are not
// gone, and forgets all others.
func (a *AppliedRevisions) Summarize(zone Zone, members []Member) ZoneApplied {
	a.mu.Lock()
	defer a.mu.Unlock()
	result := ZoneApplied{Zone: zone, Reached: true, Lowest: math.MaxUint64}
	kept := make(map[NodeID]appliedReport, len(members))
	for _, m := range members {
		if m.State.Gone() {
			continue
		}
		report, ok := a.reports[m.ID]
		if ok {
			kept[m.ID] = report
		}
		if report.incarnation != m.Incarnation {
			report.revision = 0
		}
		result.Lowest = min(result.Lowest, report.revision)
		result.Newest = max(result.Newest, report.revision)
		result.Lagging = append(result.Lagging, LaggingMember{ID: m.ID, Zone: zone, Revision: report.revision})
	}
	a.reports = kept
	if len(result.Lagging) == 0 {
		result.Lowest = 0
	}
	newest := result.Newest
	result.Lagging = slices.DeleteFunc(result.Lagging, func(h LaggingMember) bool { return h.Revision >= newest })
	slices.SortFunc(result.Lagging, func(x, y LaggingMember) int { return strings.Compare(string(x.ID), string(y.ID)) })
	result.LaggingCount = len(result.Lagging)
	result.Lagging = result.Lagging[:min(_maxLaggingListed, result.LaggingCount)]
	return result
}

// InForce is the newest revision that is in force in all zones counted.
type InForce struct {
	// Revision is 0 when a zone has none or did not answer.
	Revision uint64
	// Lagging names members that run less than the newest revision. One
	// without an ID stands for a zone that did not answer.
	Lagging []LaggingMember
	// ExcludedZones names the zones that were not heard of for too long. They take
	// the newest revision when they are heard of again.
	ExcludedZones []Zone
}

// MergeInForce returns what is in force in all zones but those left out.
func MergeInForce(zones []ZoneApplied, excluded []Zone) InForce {
	result := InForce{ExcludedZones: excluded}
	lowest, newest := uint64(math.MaxUint64), uint64(0)
	for _, z := range zones {
		newest = max(newest, z.Newest)
	}
	for _, z := range zones {
		switch {
		case slices.Contains(excluded, z.Zone):
			continue
		case !z.Reached:
			result.Lagging = append(result.Lagging, LaggingMember{Zone: z.Zone})
			lowest = 0
		case z.Newest < newest && z.LaggingCount == 0:
			result.Lagging = append(result.Lagging, LaggingMember{Zone: z.Zone, Revision: z.Lowest})
			lowest = min(lowest, z.Lowest)
		default:
			result.Lagging = append(result.Lagging, z.Lagging...)
			lowest = min(lowest, z.Lowest)
		}
	}
	if lowest != math.MaxUint64 {
		result.Revision = lowest
	}
	return result
}
