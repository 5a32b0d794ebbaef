package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/internal/testseed"
	"lentilferry.example/lentilferry/membership"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var _v1 = config.VersionSet{Only: "v1"}

var _query = Query{Service: "s", Versions: _v1}

var _start = time.Unix(1_800_000_000, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// A call matches the longest path prefix among the routes of its host, or else
// among the routes without a host. A prefix only covers whole path segments.
func TestMatch(t *testing.T) {
	c := config.Config{Routes: []config.Route{
		{Name: "all", PathPrefix: "/"},
		{Name: "slips", PathPrefix: "/slips"},
		{Name: "slip-batches", PathPrefix: "/slips/batches"},
		{Name: "host", Host: "desk.example", PathPrefix: "/slips"},
	}}
	table := NewTable(c, nil, newRand())
	for _, test := range []struct{ host, path, want string }{
		{"", "/", "all"},
		{"other.example", "/slips", "slips"},
		{"other.example", "/slips/7", "slips"},
		{"other.example", "/slipshod", "all"},
		{"other.example", "/slips/batches", "slip-batches"},
		{"Desk.Example:8080", "/slips/7", "host"},
		{"desk.example", "/else", "all"},
	} {
		target, ok := table.Match(test.host, test.path)
		assert.Assert(t, ok)
		assert.Equal(t, string(target.Route.Name), test.want, "%s%s", test.host, test.path)
	}
	_, ok := NewTable(config.Config{}, nil, newRand()).Match("h", "/")
	assert.Assert(t, !ok)
}

// Over a few hundred calls each share is accurate to within a few calls, even
// if a new configuration arrives in between.
func TestVersionSharesAreAccurate(t *testing.T) {
	const calls, maxDeviation = 300, 4.0
	rapid.Check(t, func(t *rapid.T) {
		share := config.Share(rapid.IntRange(1, 9999).Draw(t, "share"))
		c := config.Config{
			Services: []config.Service{{Name: "s", Weights: config.Split("v1", "v2", share)}},
			Routes:   []config.Route{{Name: "r", Service: "s", PathPrefix: "/"}},
		}
		table := NewTable(c, nil, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		count := 0
		for i := range calls {
			if i == calls/2 {
				table = NewTable(c, table, newRand())
			}
			target, _ := table.Match("", "/")
			if target.NextVersion(*target.Service, "") == "v2" {
				count++
			}
		}
		want := float64(calls) * float64(share) / float64(config.FullShare)
		assert.Assert(t, math.Abs(float64(count)-want) <= maxDeviation, "%d calls went to v2 instead of %.1f", count, want)
	})
}

func TestOnlyTheCandidateCanBeExcluded(t *testing.T) {
	service := config.Service{
		Name: "s", Weights: config.Split("v1", "v2", 5000),
		Rollout: config.RolloutRef{ID: "x", Baseline: "v1", Candidate: "v2"},
	}
	c := config.Config{Services: []config.Service{service}, Routes: []config.Route{{Name: "r", Service: "s", PathPrefix: "/"}}}
	table := NewTable(c, nil, newRand())
	target, _ := table.Match("", "/")
	for range 100 {
		assert.Equal(t, target.NextVersion(*target.Service, "v2"), config.VersionName("v1"))
	}
	versions := map[config.VersionName]int{}
	for range 100 {
		// The baseline can't be excluded.
		versions[target.NextVersion(*target.Service, "v1")]++
	}
	assert.Assert(t, versions["v1"] > 40 && versions["v2"] > 40)
}

// newMember returns a serving member whose upstream has 2 slots.
func newMember(i int, zone membership.Zone, region membership.Region) membership.Member {
	return membership.Member{
		ID: membership.NodeID(fmt.Sprint(zone, i)), Incarnation: 1, State: membership.Serving,
		Zone: zone, Region: region, Service: "s", Version: "v1", Slots: 2,
	}
}

// Calls stay in the sender's zone until waiting there costs more than the path
// to another zone of the region, and in the region until it costs more than the
// path beyond, whose traffic is paid by volume.
func TestOwnZoneFirstThenSpillover(t *testing.T) {
	p := NewPool("a", "r1")
	p.Update([]membership.Member{
		newMember(0, "a", "r1"), newMember(1, "a", "r1"),
		newMember(0, "b", "r1"), newMember(0, "c", "r2"),
	})
	counts := make(map[membership.Zone]int)
	var order []membership.Zone
	for range 24 {
		e, ok := p.Choose(_start, _query)
		assert.Assert(t, ok)
		e.Begin()
		if counts[e.Member.Zone] == 0 {
			order = append(order, e.Member.Zone)
		}
		counts[e.Member.Zone]++
	}
	assert.DeepEqual(t, order, []membership.Zone{"a", "b", "c"})
	// The waits differ by the penalties: 100 ms of work on 2 slots.
	assert.Assert(t, counts["a"] > counts["b"] && counts["b"] > counts["c"], "%v", counts)
	wait := func(zone membership.Zone, upstreams int) time.Duration {
		return time.Duration(float64(counts[zone])/float64(upstreams)-2+1) * _defaultCallDuration / 2
	}
	assert.Assert(t, wait("a", 2) >= _crossZonePenalty && wait("a", 2) <= _crossRegionPenalty+_defaultCallDuration, "%v", counts)
}

// A slow upstream in the sender's zone that is fast enough for the route's
// objective is preferred to a fast one elsewhere, but not once calls wait
// there.
func TestNearUpstreamWithinObjectiveIsPreferred(t *testing.T) {
	p := NewPool("a", "r1")
	p.Update([]membership.Member{newMember(0, "a", "r1"), newMember(0, "b", "r1")})
	for _, e := range p.endpoints {
		duration := 100 * time.Millisecond
		if e.Member.Zone == "a" {
			duration = 300 * time.Millisecond
		}
		e.RecordLoad(_start, Load{Slots: 2, AverageDuration: duration})
	}
	query := Query{Service: "s", Versions: _v1, Objective: 800 * time.Millisecond}
	for range 2 {
		e, _ := p.Choose(_start, query)
		assert.Equal(t, e.Member.Zone, membership.Zone("a"))
		e.Begin()
	}
	e, _ := p.Choose(_start, query)
	assert.Equal(t, e.Member.Zone, membership.Zone("b"))
	// Without an objective the upstream that answers sooner is chosen.
	e, _ = p.Choose(_start, _query)
	assert.Equal(t, e.Member.Zone, membership.Zone("b"))
}

// An upstream that reports a wrong load is avoided only until the report
// expires.
func TestReportedLoadExpires(t *testing.T) {
	p := NewPool("a", "r1")
	p.Update([]membership.Member{newMember(0, "a", "r1"), newMember(1, "a", "r1")})
	busy, _ := p.Choose(_start, _query)
	busy.RecordLoad(_start, Load{Calls: 1_000_000})
	for range 20 {
		e, _ := p.Choose(_start, _query)
		assert.Assert(t, e != busy)
	}
	chosen := 0
	for range 50 {
		if e, _ := p.Choose(_start.Add(2*time.Second), _query); e == busy {
			chosen++
		}
	}
	assert.Assert(t, chosen > 5, "chosen %d times of 50", chosen)
}

// Failing upstreams are ejected, but never more than half of a version's, and
// each is tried again later.
func TestEjectionKeepsHalfOfTheUpstreams(t *testing.T) {
	p := NewPool("a", "r1")
	members := []membership.Member{}
	for i := range 4 {
		members = append(members, newMember(i, "a", "r1"))
	}
	p.Update(members)
	fail := func(id membership.NodeID) {
		for _, e := range p.endpoints {
			if e.Member.ID == id {
				for range _ejectAfterFailures {
					e.RecordFailure(_start)
				}
			}
		}
	}
	chosenBy := func(now time.Time) map[membership.NodeID]bool {
		all := make(map[membership.NodeID]bool)
		var begun []*Endpoint
		// Waiting calls make the next one go to another upstream.
		for range 200 {
			e, ok := p.Choose(now, _query)
			assert.Assert(t, ok)
			e.Begin()
			begun = append(begun, e)
			all[e.Member.ID] = true
		}
		for _, e := range begun {
			e.End()
		}
		return all
	}
	fail("a0")
	fail("a1")
	assert.Equal(t, len(chosenBy(_start)), 2)
	fail("a2")
	assert.Equal(t, len(chosenBy(_start)), 4)
	fail("a3")
	assert.Equal(t, len(chosenBy(_start)), 4)
	assert.Equal(t, len(chosenBy(_start.Add(_baseEjection))), 4)
	// The failures no longer count by then.
	for _, e := range p.endpoints {
		assert.Equal(t, e.cost(_start.Add(_baseEjection), 0), _defaultCallDuration)
	}
}

func TestTriedAndDrainingAreNotChosen(t *testing.T) {
	p := NewPool("a", "r1")
	draining := newMember(0, "a", "r1")
	draining.State = membership.Draining
	p.Update([]membership.Member{draining, newMember(1, "a", "r1")})
	e, ok := p.Choose(_start, _query)
	assert.Assert(t, ok)
	assert.Equal(t, e.Member.ID, membership.NodeID("a1"))
	_, ok = p.Choose(_start, Query{Service: "s", Versions: _v1, Tried: []*Endpoint{e}})
	assert.Assert(t, !ok)
	// Nor after its record has changed, which replaces its endpoint.
	suspected := newMember(1, "a", "r1")
	suspected.Suspected = true
	p.Update([]membership.Member{draining, suspected})
	_, ok = p.Choose(_start, Query{Service: "s", Versions: _v1, Tried: []*Endpoint{e}})
	assert.Assert(t, !ok)
	p.Update([]membership.Member{draining, newMember(1, "a", "r1")})
	e, ok = p.Choose(_start, _query)
	assert.Assert(t, ok)
	// An update keeps the endpoint of an unchanged upstream with its state.
	e.Begin()
	p.Update([]membership.Member{draining, newMember(1, "a", "r1")})
	same, _ := p.Choose(_start, _query)
	assert.Assert(t, same == e)
}

// A load reported while members change is not lost, and recording it does not
// race with the update. The reports are numbered: the last one must be found.
func TestConcurrentUpdateKeepsReportedLoad(t *testing.T) {
	p := NewPool("a", "r1")
	serving, suspected := newMember(0, "a", "r1"), newMember(0, "a", "r1")
	suspected.Suspected = true
	p.Update([]membership.Member{serving})
	var recorder sync.WaitGroup
	begun, stop := make(chan struct{}), make(chan struct{})
	reports := 0
	recorder.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if e, ok := p.Choose(_start, _query); ok {
				reports++
				e.RecordLoad(_start, Load{Calls: reports, Slots: 2, AverageDuration: time.Second})
				e.RecordFailure(_start)
				_ = e.LoadSummary(_start)
				if reports == 1 {
					close(begun)
				}
			}
		}
	})
	// On a busy machine all updates may be over before the first report.
	<-begun
	for i := range 2000 {
		p.Update([]membership.Member{[]membership.Member{serving, suspected}[i%2]})
	}
	close(stop)
	recorder.Wait()
	e, ok := p.Choose(_start, _query)
	assert.Assert(t, ok)
	assert.Assert(t, reports > 0)
	load, _ := e.lastReport()
	assert.Equal(t, load, Load{Calls: reports, Slots: 2, AverageDuration: time.Second})
}

// Failures count on while the record of the upstream changes: an ejection must
// not end because the upstream became warm.
func TestUpdateKeepsFailures(t *testing.T) {
	p := NewPool("a", "r1")
	warming := newMember(0, "a", "r1")
	warming.State = membership.Warming
	other := newMember(1, "a", "r1")
	p.Update([]membership.Member{warming, other})
	p.endpoints[warming.ID].RecordConnectFailure(_start)
	p.Update([]membership.Member{newMember(0, "a", "r1"), other})
	for range 20 {
		e, ok := p.Choose(_start, _query)
		assert.Assert(t, ok)
		assert.Equal(t, e.Member.ID, other.ID)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{2, 7, 40} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			p := NewPool("a", "r1")
			var members []membership.Member
			for i := range n {
				members = append(members, newMember(i, "a", "r1"))
			}
			p.Update(members)
			b.ReportAllocs()
			for b.Loop() {
				p.Choose(_start, _query)
			}
		})
	}
}

// Guards against first attempts of impatient callers that count as late, since
// others stated a longer time.
func TestImpatientCallersHaveNotWaited(t *testing.T) {
	target := &Target{Route: &config.Route{Timeout: config.MaxTimeout}, longestTimeout: new(atomic.Int64)}
	assert.Equal(t, target.EstimateRetryElapsed(2500*time.Millisecond), time.Duration(0))
	assert.Equal(t, target.EstimateRetryElapsed(2125*time.Millisecond), time.Duration(0))
	assert.Equal(t, target.EstimateElapsed(2125*time.Millisecond), 375*time.Millisecond)
	assert.Equal(t, target.EstimateRetryElapsed(1500*time.Millisecond), 500*time.Millisecond)
}

// Guards against one caller that states two minutes, after which the calls of all others
// counted as further attempts, and so as late, for as long as the process ran.
func TestImpatienceOfOthersIsNotMeasuredByOneCaller(t *testing.T) {
	c := config.Config{Routes: []config.Route{{Name: "r", PathPrefix: "/", Timeout: 3 * time.Second}}}
	target, ok := NewTable(c, nil, rand.New(rand.NewPCG(1, 1))).Match("", "/")
	assert.Assert(t, ok)
	assert.Equal(t, target.EstimateRetryElapsed(config.MaxTimeout), time.Duration(0))
	assert.Equal(t, target.EstimateRetryElapsed(2500*time.Millisecond), time.Duration(0))
	assert.Equal(t, target.EstimateRetryElapsed(1500*time.Millisecond), 900*time.Millisecond)
}
