package membership

import (
	"math"
	"slices"
	"strings"
	"time"
)

// HeldBack is a member that runs an older revision than others.
type HeldBack struct {
	ID       NodeID
	Zone     Zone
	Revision uint64
}

// InForce is the newest revision that is in force at every member counted.
type InForce struct {
	// Number is 0 when a member has none, or when there is no member.
	Number uint64
	// HeldBack names the members that run less than the newest revision,
	// sorted by zone and ID.
	HeldBack []HeldBack
	// LeftOut names the zones that were not heard of for too long. They take
	// the newest revision when they are heard of again.
	LeftOut []Zone
}

// ComputeInForce returns the revision in force at all members that are not
// gone, in the zones heard of within the limit.
func ComputeInForce(members []Member, digests []ZoneDigest, limit time.Duration) InForce {
	var result InForce
	silent := make(map[Zone]bool)
	for _, d := range digests {
		if d.Age > limit {
			silent[d.Zone] = true
			result.LeftOut = append(result.LeftOut, d.Zone)
		}
	}
	slices.Sort(result.LeftOut)
	lowest := uint64(math.MaxUint64)
	newest := uint64(0)
	for _, m := range members {
		if m.State.Gone() || silent[m.Zone] {
			continue
		}
		lowest = min(lowest, m.Revision)
		newest = max(newest, m.Revision)
	}
	if lowest == math.MaxUint64 {
		return result
	}
	result.Number = lowest
	for _, m := range members {
		if !m.State.Gone() && !silent[m.Zone] && m.Revision < newest {
			result.HeldBack = append(result.HeldBack, HeldBack{ID: m.ID, Zone: m.Zone, Revision: m.Revision})
		}
	}
	slices.SortFunc(result.HeldBack, func(a, b HeldBack) int {
		if c := strings.Compare(string(a.Zone), string(b.Zone)); c != 0 {
			return c
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return result
}
