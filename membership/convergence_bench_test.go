package membership

import (
	"fmt"
	"testing"
)

// BenchmarkConvergence measures, in simulated time with one probe per second,
// the rounds until a new revision has reached all nodes, and the member records
// that each node received meanwhile.
func BenchmarkConvergence(b *testing.B) {
	for _, size := range []struct{ zones, nodesPerZone int }{{1, 8}, {1, 32}, {1, 92}, {1, 128}, {3, 32}, {6, 32}} {
		b.Run(fmt.Sprintf("zones=%d/each=%d", size.zones, size.nodesPerZone), func(b *testing.B) {
			for b.Loop() {
				measureConvergence(b, size.zones, size.nodesPerZone)
			}
		})
	}
}

// measureConvergence runs one simulation and reports its metrics.
func measureConvergence(b *testing.B, zones, nodesPerZone int) {
	names := make([]Zone, zones)
	for i := range names {
		names[i] = Zone(rune('a' + i))
	}
	s := newSimulation(names, nodesPerZone)
	s.spreadRevisions = true
	for range 25 {
		s.round()
	}
	before := s.sentRecords
	s.tables[0].SetRevision(9)
	applied := 0
	for round := 1; applied == 0 && round < 200; round++ {
		s.round()
		if s.minOver(func(t *Table) uint64 { return t.Self().Revision }) == 9 {
			applied = round
		}
	}
	b.ReportMetric(float64(applied), "s-applied")
	b.ReportMetric(float64(s.sentRecords-before)/float64(len(s.tables)), "records/node")
}

// minOver returns the lowest value over all tables.
func (s *simulation) minOver(of func(*Table) uint64) uint64 {
	lowest := of(s.tables[0])
	for _, t := range s.tables {
		lowest = min(lowest, of(t))
	}
	return lowest
}
