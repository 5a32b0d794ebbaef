package move

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/internal/testseed"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/objectstore"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var _start = time.Unix(1_800_000_000, 0)

const _duration = 14 * time.Second

func newOrder(revision uint64, p Progress) Order {
	return Order{Service: "desk", Candidate: "v2", Duration: _duration, Revision: revision, Progress: p}
}

func newProgress(state State, share config.Share) Progress {
	return Progress{State: state, Candidate: "v2", Share: share, Remaining: 10 * time.Second, Coordinator: "pilot", Epoch: 1}
}

// A candidate gets no calls before it has a share and after the move was
// reverted; the baseline gets none once the move is complete.
func TestOrderTableChoosesVersions(t *testing.T) {
	v1, notV2, v2 := config.VersionSet{Only: "v1"}, config.VersionSet{Except: "v2"}, config.VersionSet{Only: "v2"}
	table := NewOrderTable()
	table.UpdateServing("desk", map[config.VersionName]int{"v1": 3})
	table.UpdateServing("desk", map[config.VersionName]int{"v1": 1, "v2": 5})
	for i, test := range []struct {
		order  *Order
		sample float64
		first  config.VersionSet
	}{
		{nil, 0.5, v1},
		{&Order{Service: "desk", Candidate: "v2", Duration: _duration, Revision: 1}, 0, notV2},
		{new(newOrder(2, newProgress(Running, 0))), 0, notV2},
		{new(newOrder(3, newProgress(Running, 500))), 0.04, config.VersionSet{Only: "v2", UpstreamFraction: 0.05}},
		{new(newOrder(4, newProgress(Running, 500))), 0.06, notV2},
		{new(newOrder(3, newProgress(Running, config.FullShare))), 0.06, notV2}, // Older than the known order.
		{new(newOrder(5, newProgress(Running, config.FullShare))), 0.99, v2},
		{new(newOrder(6, newProgress(Complete, config.FullShare))), 0.99, v2},
		{new(newOrder(7, newProgress(Reverted, 0))), 0, notV2},
	} {
		if test.order != nil {
			table.Merge(_start, *test.order)
		}
		first, _ := table.ChooseVersions("desk", test.sample)
		assert.Equal(t, first, test.first, "case %d", i)
	}
}

// An order for another version doesn't take over the progress of the order
// before it.
func TestNewOrderDropsOldProgress(t *testing.T) {
	table := NewOrderTable()
	table.Merge(_start, newOrder(1, newProgress(Complete, config.FullShare)))
	assert.Equal(t, len(table.Active()), 0)
	next := newOrder(2, newProgress(Complete, config.FullShare))
	next.Candidate = "v3"
	table.Merge(_start, next)
	active := table.Active()
	assert.Equal(t, len(active), 1)
	assert.Equal(t, active[0].Order.Progress.State, Ordered)
	assert.Equal(t, active[0].Deadline, _start.Add(_duration))
	table.UpdateServing("desk", map[config.VersionName]int{"v2": 3, "v3": 9})
	first, _ := table.ChooseVersions("desk", 0)
	assert.DeepEqual(t, first, config.VersionSet{Except: "v3"})
}

// versionAt returns the version of a revision in an era.
func versionAt(t assert.TestingT, era, revision uint64) uint64 {
	version, err := objectstore.VersionAt(era, revision)
	assert.NilError(t, err)
	return version
}

func TestProgressSurvivesRestore(t *testing.T) {
	for _, test := range []struct {
		name           string
		known, stored  Progress
		want           State
		wantShare      config.Share
		wantUnsavedEnd bool
	}{
		{"end lost", newProgress(Complete, config.FullShare), Progress{}, Complete, config.FullShare, true},
		{"end older", newProgress(Reverted, 0), newProgress(Running, 1500), Reverted, 0, true},
		{"share lost", newProgress(Running, 1500), Progress{}, Running, 1500, false},
		{"share older", newProgress(Running, 1500), newProgress(Running, 500), Running, 1500, false},
		{"written meanwhile", newProgress(Running, 1500), newProgress(Reverted, 0), Reverted, 0, true},
	} {
		table := NewOrderTable()
		table.Merge(_start, newOrder(versionAt(t, 1, 9), test.known))
		restored := newOrder(versionAt(t, 2, 5), test.stored)
		assert.Assert(t, table.Merge(_start.Add(time.Second), restored), test.name)
		o, _, _ := table.Order("desk")
		assert.Equal(t, o.Revision, restored.Revision, test.name)
		assert.Equal(t, o.Progress.State, test.want, test.name)
		assert.Equal(t, o.Progress.Share, test.wantShare, test.name)
		assert.Equal(t, len(table.UnsavedEnds()) == 1, test.wantUnsavedEnd, test.name)
		// Once it is stored again nothing is left to do.
		o.Revision++
		table.Merge(_start.Add(2*time.Second), o)
		assert.Equal(t, len(table.UnsavedEnds()), 0, test.name)
		for _, active := range table.Active() {
			assert.Assert(t, !active.IsUnsaved, test.name)
		}
	}
}

// A node that knows an order only from the restored store takes the kept
// progress from another node, and knows that it must be stored.
func TestKeptProgressSpreadsAtSameRevision(t *testing.T) {
	restored := newOrder(versionAt(t, 2, 5), Progress{})
	table := NewOrderTable()
	table.Merge(_start, restored)
	kept := newOrder(restored.Revision, newProgress(Running, 1500))
	assert.Assert(t, table.Merge(_start, kept))
	assert.Assert(t, !table.Merge(_start, restored))
	active := table.Active()
	assert.Equal(t, active[0].Order.Progress.Share, config.Share(1500))
	assert.Assert(t, active[0].IsUnsaved)
}

func TestCopyOfSupersededOrderIsRefusedAfterProgress(t *testing.T) {
	order := func(version uint64, candidate config.VersionName, state State, share config.Share) Order {
		return Order{Service: "desk", Candidate: candidate, Duration: _duration, Revision: version, Progress: Progress{State: state, Candidate: candidate, Share: share}}
	}
	table := NewOrderTable()
	table.Merge(_start, order(versionAt(t, 1, 5), "v2", Complete, config.FullShare))
	table.Merge(_start, order(versionAt(t, 1, 8), "v3", 0, 0))
	table.Merge(_start, order(versionAt(t, 1, 9), "v3", Running, 500))
	assert.Assert(t, !table.Merge(_start, order(versionAt(t, 2, 5), "v2", Complete, config.FullShare)))
	o, _, _ := table.Order("desk")
	assert.Equal(t, o.Candidate, config.VersionName("v3"))
}

func TestTimesOfMoveSurviveRestore(t *testing.T) {
	for _, stored := range []Progress{{}, newProgress(Running, 500), newProgress(Running, 3000)} {
		table := NewOrderTable()
		known := newProgress(Running, 1500)
		table.Merge(_start, newOrder(versionAt(t, 1, 9), known))
		table.Merge(_start.Add(4*time.Second), newOrder(versionAt(t, 2, 5), stored))
		active := table.Active()[0]
		assert.Equal(t, active.StartedAt, _start)
		assert.Equal(t, active.Deadline, _start.Add(known.Remaining))
	}
}

func TestOrderCreatedAgainLongAfterRestore(t *testing.T) {
	complete := newProgress(Complete, config.FullShare)
	// Some nodes decide, the others only receive what was stored.
	for _, received := range [][]Order{
		{newOrder(versionAt(t, 1, 9), complete), newOrder(versionAt(t, 2, 5), complete)},
		{newOrder(versionAt(t, 1, 9), newProgress(Running, 1500)), newOrder(versionAt(t, 2, 5), complete)},
		{newOrder(versionAt(t, 1, 9), complete), newOrder(versionAt(t, 2, 5), Progress{}), newOrder(versionAt(t, 2, 6), complete)},
	} {
		table := NewOrderTable()
		for _, o := range received {
			table.Merge(_start, o)
		}
		again := newOrder(versionAt(t, 2, 50), Progress{})
		assert.Assert(t, table.Merge(_start.Add(time.Hour), again))
		o, _, _ := table.Order("desk")
		assert.Equal(t, o.Revision, again.Revision)
		assert.Equal(t, o.Progress.State, Ordered)
		assert.Equal(t, len(table.UnsavedEnds()), 0)
	}
}

// An order that the operator writes after a restore is taken, and one that the
// copy has from before the known order is not.
func TestOrderAfterRestore(t *testing.T) {
	order := func(version uint64, candidate config.VersionName, state State) Order {
		return Order{Service: "desk", Candidate: candidate, Duration: _duration, Revision: version, Progress: Progress{State: state, Candidate: candidate}}
	}
	table := NewOrderTable()
	candidate := func() config.VersionName {
		o, _, _ := table.Order("desk")
		return o.Candidate
	}
	table.Merge(_start, order(versionAt(t, 1, 5), "v2", Complete))
	table.Merge(_start, order(versionAt(t, 1, 8), "v3", Running))
	assert.Assert(t, !table.Merge(_start, order(versionAt(t, 2, 5), "v2", Complete)))
	assert.Equal(t, candidate(), config.VersionName("v3"))
	assert.Assert(t, table.Merge(_start, order(versionAt(t, 2, 6), "v3", 0)))
	o, _, _ := table.Order("desk")
	assert.Equal(t, o.Progress.State, Running)
	assert.Assert(t, table.Merge(_start, order(versionAt(t, 2, 7), "v2", 0)))
	assert.Equal(t, candidate(), config.VersionName("v2"))
	assert.Assert(t, table.Merge(_start, order(versionAt(t, 3, 7), "v4", 0)))
	assert.Equal(t, candidate(), config.VersionName("v4"))
}

// Tables that receive the same orders agree, in whatever sequence these arrive,
// and no progress is lost.
func TestOrderTablesAgreeAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var orders []Order
		best := Progress{State: Ordered}
		for era := range uint64(3) {
			progress := Progress{}
			for revision := range rapid.Uint64Max(4).Draw(t, "changes") {
				if next := newProgress(
					rapid.SampledFrom([]State{Running, Running, Running, Reverted}).Draw(t, "state"),
					config.Share(rapid.IntRange(0, 4).Draw(t, "share")),
				); next.isAheadOf(progress) && rapid.Bool().Draw(t, "decided") {
					progress = next
				}
				if progress.State == Reverted {
					progress.Share = 0
				}
				if progress.isAheadOf(best) {
					best = progress
				}
				orders = append(orders, newOrder(versionAt(t, era, revision+1), progress))
			}
		}
		if len(orders) == 0 {
			return
		}
		for range 2 {
			table := NewOrderTable()
			for _, o := range rapid.Permutation(orders).Draw(t, "sequence") {
				table.Merge(_start, o)
			}
			o, _, _ := table.Order("desk")
			assert.Equal(t, o.Revision, orders[len(orders)-1].Revision)
			assert.Equal(t, o.Progress.State, best.State)
			assert.Equal(t, o.Progress.Share, best.Share)
		}
	})
}

// An owner that has applied the restored order, but not the last stage, may
// still take calls of the version before.
func TestCompleteOnlyAfterProgressIsSavedAgain(t *testing.T) {
	restored := versionAt(t, 2, 5)
	active := ActiveOrder{Order: newOrder(restored, newProgress(Running, config.FullShare)), UpdatedAt: _start, StartedAt: _start, Deadline: _start.Add(_duration), IsUnsaved: true}
	c := NewCoordinator("pilot", active)
	in := Inputs{Upstreams: []Upstream{{Owner: "old", Version: "v1", ReportedAt: _start, AppliedRevision: restored}}}
	next, write := c.Decide(_start, active, in)
	assert.Assert(t, write)
	assert.Equal(t, next.State, Running)
	active.Order.Revision, active.Order.Progress, active.IsUnsaved = restored+1, next, false
	next, _ = c.Decide(_start, active, in)
	assert.Equal(t, next.State, Running)
	in.Upstreams[0].AppliedRevision = restored + 1
	next, write = c.Decide(_start, active, in)
	assert.Assert(t, write)
	assert.Equal(t, next.State, Complete)
}

// The coordinator had reached the last stage before the restore.
func TestDrainedOwnersAreCountedAnewAfterRestore(t *testing.T) {
	before, restored := versionAt(t, 1, 9), versionAt(t, 2, 5)
	active := ActiveOrder{Order: newOrder(before, newProgress(Running, config.FullShare)), UpdatedAt: _start, StartedAt: _start, Deadline: _start.Add(_duration)}
	c := NewCoordinator("pilot", active)
	in := Inputs{Upstreams: []Upstream{{Owner: "old", Version: "v1", ReportedAt: _start, AppliedRevision: before - 1}}}
	next, _ := c.Decide(_start, active, in)
	assert.Equal(t, next.State, Running)
	active.Order.Revision, active.IsUnsaved = restored, true
	in.Upstreams[0].AppliedRevision = restored
	next, write := c.Decide(_start, active, in)
	assert.Assert(t, write)
	assert.Equal(t, next.State, Running)
	active.Order.Revision, active.IsUnsaved = restored+1, false
	next, _ = c.Decide(_start, active, in)
	assert.Equal(t, next.State, Running)
	in.Upstreams[0].AppliedRevision = restored + 1
	next, _ = c.Decide(_start, active, in)
	assert.Equal(t, next.State, Complete)
}

func TestCoordinatorStaysAfterRestore(t *testing.T) {
	progress := func(coordinator membership.NodeID, epoch uint64) Progress {
		p := newProgress(Running, 1500)
		p.Coordinator, p.Epoch = coordinator, epoch
		return p
	}
	table := NewOrderTable()
	table.Merge(_start, newOrder(versionAt(t, 1, 9), progress("second", 2)))
	table.Merge(_start, newOrder(versionAt(t, 2, 5), progress("first", 1)))
	active := table.Active()[0]
	assert.Equal(t, active.Order.Progress.Coordinator, membership.NodeID("second"))
	assert.Equal(t, active.Order.Progress.Epoch, uint64(2))
	assert.Assert(t, active.IsUnsaved)
	assert.Assert(t, MayDecide(_start, "second", 0, active))
}

// A successor takes over when the order was not updated for one timeout, and
// one more for each successor before it. Other nodes never take over.
func TestTakeover(t *testing.T) {
	active := ActiveOrder{Order: newOrder(1, newProgress(Running, 500)), UpdatedAt: _start}
	assert.Assert(t, MayDecide(_start, "pilot", -1, active))
	assert.Assert(t, !MayDecide(_start.Add(_takeoverTimeout-1), "first", 0, active))
	assert.Assert(t, MayDecide(_start.Add(_takeoverTimeout), "first", 0, active))
	assert.Assert(t, !MayDecide(_start.Add(_takeoverTimeout), "second", 1, active))
	assert.Assert(t, MayDecide(_start.Add(2*_takeoverTimeout), "second", 1, active))
	assert.Assert(t, !MayDecide(_start.Add(time.Hour), "other node", -1, active))
}

// simulateMove runs a move until it ends or the given simulated time has
// passed. It returns the last progress and how many calls the candidate got.
// The service has 200 calls a second. The functions return the ratio of calls
// that fail: commonFailures for both versions, and candidateFailures for the
// candidate where it is higher.
func simulateMove(t *testing.T, candidateFailures, commonFailures func(at time.Duration) float64, until time.Duration) (Progress, int) {
	t.Helper()
	active := ActiveOrder{Order: newOrder(1, Progress{}).dropForeignProgress(), UpdatedAt: _start, StartedAt: _start, Deadline: _start.Add(_duration)}
	c := NewCoordinator("pilot", active)
	detector := evidence.NewHeterogeneousDetector("", "v2", 2.5)
	const step = 400 * time.Millisecond
	counts := map[config.VersionName]*evidence.Tally{
		"v1": {Key: evidence.TallyKey{Version: "v1", Route: "r"}}, "v2": {Key: evidence.TallyKey{Version: "v2", Route: "r"}},
	}
	served := map[config.VersionName]float64{}
	for at := step; at <= until; at += step {
		now := _start.Add(at)
		share := float64(active.Order.Progress.Share) / float64(config.FullShare)
		if active.Order.Progress.State.Ended() {
			break
		}
		for version, fraction := range map[config.VersionName]float64{"v1": 1 - share, "v2": share} {
			calls := 200 * step.Seconds() * fraction
			failureRatio := commonFailures(at)
			if version == "v2" {
				failureRatio = max(failureRatio, candidateFailures(at))
			}
			tally := counts[version]
			before := int(served[version])
			served[version] += calls
			newCalls := int(served[version]) - before
			tally.Calls += uint64(newCalls)
			tally.Failures += uint64(float64(newCalls)*failureRatio + 0.5)
			tally.Latency = evidence.LatencyHistogram{0, 0, tally.Calls}
		}
		reports := []evidence.Report{
			{Node: "old", Sequence: uint64(at), Tallies: []evidence.Tally{*counts["v1"]}},
			{Node: "new", Sequence: uint64(at), Tallies: []evidence.Tally{*counts["v2"]}},
		}
		detector.Observe(now, "", reports)
		in := Inputs{Verdict: detector.Verdict(), Upstreams: []Upstream{
			{Owner: "old", Version: "v1", AcceptsCalls: true, Warm: true, ReportedAt: now, AppliedRevision: active.Order.Revision},
			{Owner: "new", Version: "v2", AcceptsCalls: true, Warm: at > time.Second, ReportedAt: now, AppliedRevision: active.Order.Revision},
		}}
		if next, write := c.Decide(now, active, in); write {
			active.Order.Revision++
			active.Order.Progress = next
			active.UpdatedAt = now
		}
	}
	return active.Order.Progress, int(served["v2"])
}

func noFailures(time.Duration) float64 { return 0 }

func TestGoodVersionCompletesInTime(t *testing.T) {
	p, _ := simulateMove(t, noFailures, noFailures, _duration)
	assert.Equal(t, p.State, Complete)
}

// A bad version is reverted before it gets more than a tenth of the service's
// calls plus 50, whichever stage before the last its fault begins in.
func TestBadVersionIsReverted(t *testing.T) {
	for _, begins := range []time.Duration{0, 3 * time.Second, 6 * time.Second, 9 * time.Second} {
		for _, rate := range []float64{1, 0.5, 0.3} {
			p, served := simulateMove(t, func(at time.Duration) float64 {
				if at < begins {
					return 0
				}
				return rate
			}, noFailures, _duration)
			assert.Equal(t, p.State, Reverted, "begins at %s, fails %g", begins, rate)
			maxCalls := int(200*_duration.Seconds()/10) + 50
			assert.Assert(t, served <= maxCalls, "begins at %s, fails %g: %d calls of at most %d", begins, rate, served, maxCalls)
		}
	}
}

// While both versions fail alike the share doesn't grow, and a candidate that
// goes on failing is reverted, because its own faults can't be told from the
// common ones.
func TestCommonFailuresDelayOrRevert(t *testing.T) {
	p, served := simulateMove(t, noFailures, func(time.Duration) float64 { return 0.5 }, 3*_duration)
	assert.Equal(t, p.State, Reverted)
	assert.Assert(t, served < 150, "%d calls", served)
	// A transient fault only delays the move.
	p, _ = simulateMove(t, noFailures, func(at time.Duration) float64 {
		if at > 2*time.Second && at < 4*time.Second {
			return 0.3
		}
		return 0
	}, _duration)
	assert.Equal(t, p.State, Complete)
}

// A move is complete only when no owner of a baseline upstream may still take a
// call or has one in flight, whatever the owners report.
func TestCompleteOnlyWithoutInFlightCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		active := ActiveOrder{Order: newOrder(9, newProgress(Running, config.FullShare)), UpdatedAt: _start, StartedAt: _start, Deadline: _start.Add(_duration)}
		c := NewCoordinator("pilot", active)
		now := _start.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "now")) * time.Millisecond)
		in := Inputs{}
		undrained := false
		for i := range rapid.IntRange(0, 5).Draw(t, "upstreams") {
			upstream := Upstream{
				Owner:           membership.NodeID(rune('a' + i)),
				Version:         rapid.SampledFrom([]config.VersionName{"v1", "v2"}).Draw(t, "version"),
				ReportedAt:      now.Add(-time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond),
				AppliedRevision: uint64(rapid.IntRange(7, 10).Draw(t, "applied")),
				InFlight:        rapid.IntRange(0, 2).Draw(t, "running"),
			}
			undrained = undrained || upstream.Version == "v1" && (upstream.AppliedRevision < 9 || upstream.InFlight > 0 || now.Sub(upstream.ReportedAt) > _reportLifetime)
			in.Upstreams = append(in.Upstreams, upstream)
		}
		next, write := c.Decide(now, active, in)
		assert.Equal(t, write && next.State == Complete, !undrained)
	})
}
