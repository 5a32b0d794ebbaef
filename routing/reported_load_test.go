package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/membership"
)

// reportingPool returns a pool of a sender in zone a of region r1 with the given
// members, and their endpoints in that order.
func reportingPool(members ...membership.Member) (*Pool, []*Endpoint) {
	p := NewPool("a", "r1")
	p.Update(members)
	var endpoints []*Endpoint
	for _, m := range members {
		endpoints = append(endpoints, p.endpoints[m.ID])
	}
	return p, endpoints
}

// report returns the load of an upstream with two slots whose VM has the given
// slowness, with calls of 100 ms at usual speed.
func report(calls int, slowness float64) Load {
	return Load{Calls: calls, Slots: 2, AverageDuration: 100 * time.Millisecond, Reported: ReportedLoad{
		Slots: 2, Slowness: slowness, MeanSlowness: 1, Route: "r", Work: 100 * time.Millisecond,
	}}
}

// counts returns how many of 1,000 choices fall on each endpoint.
func counts(t *testing.T, p *Pool, now time.Time) map[membership.NodeID]int {
	t.Helper()
	q := _query
	q.Route, q.Objective = "r", 500*time.Millisecond
	chosen := make(map[membership.NodeID]int)
	for range 1000 {
		e, ok := p.Choose(now, q)
		assert.Assert(t, ok)
		chosen[e.Member.ID]++
	}
	return chosen
}

// Where upstreams report no speed, the choice must stay what it was: a call
// waits for 60 ms in the own zone before it goes to the next.
func TestChoiceWithoutReportedSpeedIsUnchanged(t *testing.T) {
	near, next := newMember(0, "a", "r1"), newMember(1, "b", "r1")
	for _, test := range []struct {
		slowness float64
		want     membership.NodeID
	}{{0, near.ID}, {1, next.ID}} {
		p, endpoints := reportingPool(near, next)
		// Two calls too many for the slots: a call of 100 ms to wait, which the
		// objective leaves time for.
		endpoints[0].RecordLoad(_start, report(3, test.slowness))
		endpoints[1].RecordLoad(_start, report(0, test.slowness))
		assert.Assert(t, counts(t, p, _start)[test.want] > 800, "slowness %v", test.slowness)
	}
}

// A reported speed is out of date within a fraction of a second. If it counted
// for longer, a VM that was slow for a moment would get no calls, and one that
// was fast would get too many.
func TestReportedSlownessFades(t *testing.T) {
	slow, usual := newMember(0, "a", "r1"), newMember(1, "a", "r1")
	p, endpoints := reportingPool(slow, usual)
	endpoints[0].RecordLoad(_start, report(0, 4))
	endpoints[1].RecordLoad(_start, report(0, 1))
	assert.Assert(t, counts(t, p, _start)[slow.ID] < 10)
	assert.Assert(t, counts(t, p, _start.Add(time.Second))[slow.ID] > 400)
}

// Senders that hear no more of an upstream once they send it no calls must try
// it again.
func TestOverloadedUpstreamIsTriedAgain(t *testing.T) {
	overloaded, idle := newMember(0, "a", "r1"), newMember(1, "a", "r1")
	p, endpoints := reportingPool(overloaded, idle)
	endpoints[0].RecordLoad(_start, report(30, 1))
	endpoints[1].RecordLoad(_start, report(0, 1))
	assert.Assert(t, counts(t, p, _start)[overloaded.ID] == 0)
	later := _start.Add(20 * time.Second)
	endpoints[1].RecordLoad(later, report(0, 1))
	assert.Assert(t, counts(t, p, later)[overloaded.ID] > 100)
}

// Upstreams of one service differ in speed of their own, which must not be taken
// for that of their VMs.
func TestOwnSpeedIsLearned(t *testing.T) {
	fast, slow := newMember(0, "a", "r1"), newMember(1, "a", "r1")
	p, endpoints := reportingPool(fast, slow)
	for i := range 20 {
		now := _start.Add(time.Duration(i) * 100 * time.Millisecond)
		for j, work := range []time.Duration{70 * time.Millisecond, 200 * time.Millisecond} {
			load := report(0, 1)
			load.Reported.Work = work
			endpoints[j].RecordLoad(now, load)
		}
	}
	now := _start.Add(2 * time.Second)
	x := endpoints[0].model.expectation("r")
	assert.Assert(t, within(endpoints[0].expect(now, x).run, 70*time.Millisecond, 0.05))
	assert.Assert(t, within(endpoints[1].expect(now, x).run, 200*time.Millisecond, 0.05))
	assert.Assert(t, counts(t, p, now)[fast.ID] > 950)
}

func within(got, want time.Duration, tolerance float64) bool {
	return float64(got) > (1-tolerance)*float64(want) && float64(got) < (1+tolerance)*float64(want)
}

// The first report may be of a call that took many times as long as others. The
// upstreams that are not known yet must not seem slower than the known ones.
func TestFirstReportOfLongCall(t *testing.T) {
	first, second, unknown := newMember(0, "a", "r1"), newMember(1, "a", "r1"), newMember(2, "a", "r1")
	p, endpoints := reportingPool(first, second, unknown)
	load := report(0, 1)
	load.Reported.Work = 700 * time.Millisecond
	endpoints[0].RecordLoad(_start, load)
	for range 20 {
		endpoints[1].RecordLoad(_start, report(0, 1))
	}
	assert.Assert(t, counts(t, p, _start)[unknown.ID] > 50)
}

// Several senders that know the same reports must not all choose one upstream
// that is slightly better, and calls that this sender has sent since the report
// count.
func TestSimilarUpstreamsShareCalls(t *testing.T) {
	best, other := newMember(0, "a", "r1"), newMember(1, "a", "r1")
	p, endpoints := reportingPool(best, other)
	endpoints[0].RecordLoad(_start, report(0, 0.95))
	endpoints[1].RecordLoad(_start, report(0, 1))
	share := counts(t, p, _start)[best.ID]
	assert.Assert(t, share > 500 && share < 800, "%d of 1000", share)
	for range 4 {
		endpoints[0].Begin()
	}
	assert.Assert(t, counts(t, p, _start)[best.ID] < 100)
}

// A wave of demand spills over to other regions while the wait is longer than
// the way, and returns then. Large responses stay, since links between regions
// are paid by volume.
func TestSpilloverToAnotherRegion(t *testing.T) {
	near, far := newMember(0, "a", "r1"), newMember(1, "c", "r2")
	for _, test := range []struct {
		name  string
		calls int
		bytes int64
		want  membership.NodeID
	}{
		{"no wave", 1, 1000, near.ID},
		{"wave", 11, 1000, far.ID},
		{"wave, large responses", 11, 1 << 20, near.ID},
	} {
		p, endpoints := reportingPool(near, far)
		endpoints[0].RecordLoad(_start, report(test.calls, 1))
		endpoints[1].RecordLoad(_start, report(0, 1))
		for range 100 {
			endpoints[0].RecordResponse("r", test.bytes)
		}
		// About 0.92 of the choices are expected in the wave. The choices of one round
		// are too few to tell that from 0.9.
		const rounds = 20
		chosen := 0
		for range rounds {
			chosen += counts(t, p, _start)[test.want]
		}
		assert.Assert(t, chosen > rounds*900, "%s: %d of %d", test.name, chosen, rounds*1000)
	}
}

func BenchmarkChooseWithReportedLoad(b *testing.B) {
	var members []membership.Member
	for i := range 40 {
		members = append(members, newMember(i, "a", "r1"))
	}
	p, endpoints := reportingPool(members...)
	for i, e := range endpoints {
		e.RecordLoad(_start.Add(-time.Duration(i)*20*time.Millisecond), report(i%4, 1+float64(i%3)/3))
	}
	q := _query
	q.Route = "r"
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(_start, q)
	}
}
