package membership

import (
	"math"
	"slices"
	"strings"
	"sync"
)

// LaggingMember is a member that runs an older revision than other members.
type LaggingMember struct {
	ID       NodeID
	Zone     Zone
	Revision uint64
}

// AppliedRevisions holds the revision that each member of a zone runs, as
// reported by the member. Each member reports to its zone's collector when its
// revision changes. A new collector treats members that have not reported to it
// as running none. It is safe for concurrent use.
type AppliedRevisions struct {
	mu sync.Mutex
	// reports holds the latest report of each member.
	reports map[NodeID]appliedReport
}

type appliedReport struct {
	incarnation uint64
	revision    uint64
}

// NewAppliedRevisions returns an AppliedRevisions without reports.
func NewAppliedRevisions() *AppliedRevisions {
	return &AppliedRevisions{reports: make(map[NodeID]appliedReport)}
}

// Record stores the revision that a member reports. A report of an older
// incarnation or of an older revision arrived late and is ignored.
func (a *AppliedRevisions) Record(id NodeID, incarnation, revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.reports[id]
	if incarnation > known.incarnation || incarnation == known.incarnation && revision > known.revision {
		a.reports[id] = appliedReport{incarnation: incarnation, revision: revision}
	}
}

// ZoneApplied summarizes the revisions that the members of one zone run.
type ZoneApplied struct {
	Zone Zone
	// Reached is false when the zone's collector did not answer.
	Reached bool
	// Lowest is the oldest revision that any live member runs; 0 if there is no
	// live member or one of them runs none.
	Lowest uint64
	// Newest is the newest revision that any live member runs; 0 if all run
	// none.
	Newest uint64
	// Lagging lists at most _maxLaggingListed of the members that run an older
	// revision than Newest, sorted by ID.
	Lagging []LaggingMember
	// LaggingCount is the number of all members that run an older revision than
	// Newest.
	LaggingCount int
}

// _maxLaggingListed is the maximum number of lagging members that a zone lists
// by ID.
const _maxLaggingListed = 5

// Summarize returns the revisions that the given members of a zone run, without
// members that left or failed. It drops the reports of all other members.
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
	result.Lagging = slices.DeleteFunc(result.Lagging, func(m LaggingMember) bool { return m.Revision >= newest })
	slices.SortFunc(result.Lagging, func(x, y LaggingMember) int { return strings.Compare(string(x.ID), string(y.ID)) })
	result.LaggingCount = len(result.Lagging)
	result.Lagging = result.Lagging[:min(_maxLaggingListed, result.LaggingCount)]
	return result
}

// InForce is the newest revision that all zones run, without the excluded ones.
type InForce struct {
	// Revision is 0 when a zone runs none or did not answer.
	Revision uint64
	// Lagging lists members that run an older revision than the newest one. An
	// entry without an ID stands for a whole zone: one that did not answer,
	// with revision 0, or one in which all members run the same older revision.
	Lagging []LaggingMember
	// ExcludedZones lists the zones that have been unreachable for too long.
	// They get the newest revision when they are reachable again.
	ExcludedZones []Zone
}

// MergeInForce combines the summaries of all zones, except the excluded ones,
// into the revision in force.
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
