package upstream

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The work that is learned must not depend on how slow the VM was meanwhile:
// else an upstream on a VM that was slow for a while would count as slow for long.
func TestWorkIsLearnedWithoutSlowness(t *testing.T) {
	tracker := NewLoadTracker()
	now := time.Unix(1_800_000_000, 0)
	assert.Equal(t, tracker.Slowness(now), 0.0)
	tracker.RecordRun(now, "r", time.Second, 0)
	assert.Equal(t, tracker.Work("r"), time.Duration(0))
	for i := range 200 {
		slowness := 1 + float64(i%4)
		ran := time.Duration(slowness * float64(50*time.Millisecond))
		if i%40 == 39 {
			ran *= 7
		}
		tracker.Record(now, Load{Slots: 6, Slowness: slowness})
		now = now.Add(ran)
		tracker.Record(now, Load{Slots: 6, Slowness: slowness})
		tracker.RecordRun(now, "r", ran, slowness)
	}
	work := tracker.Work("r").Seconds()
	assert.Assert(t, work > 0.045 && work < 0.065, "%v", work)
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		tracker.Record(now, Load{Slots: 6, Slowness: 1 + 2*float64(i%2)})
	}
	report, ok := tracker.Newest()
	assert.Assert(t, ok)
	assert.Assert(t, math.Abs(report.MeanSlowness-2) < 0.2, "%v", report.MeanSlowness)
	// A report that is old says less than the mean.
	assert.Equal(t, tracker.Slowness(now.Add(time.Second)), report.MeanSlowness)
}
