package allotment

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// _usualPart is the usual demand as a part of the rate, and _maxJump the
// greatest demand: 7.5 times the usual.
const (
	_usualPart = 1 / 1.6
	_maxJump   = 7.5 * _usualPart
)

// _maxLoss is the greatest part of the messages that is lost in one direction.
const _maxLoss = 0.3

// maxAdmitted returns the bound of the calls that are admitted in a window.
func maxAdmitted(w config.Workspace, l Limits) float64 {
	return (w.Rate*l.Window.Seconds()+w.Burst)*(1+l.Overage) + l.Slack
}

func workspace(rate float64) config.Workspace {
	return config.Workspace{Name: "w", Rate: rate, Burst: rate}
}

func newFleetOf72(rate float64) *fleet {
	return newFleet(rand.New(rand.NewPCG(1, 1)), 6, 12, []config.Workspace{workspace(rate)})
}

// In no window do all nodes together admit more than the limits allow, whatever
// nodes, links and callers do. It guards against shares that add up to too much
// when nodes restart, are cut off from each other or take over roles.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(5, 562).Draw(t, "rate")
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f := newFleet(rnd, zones, rapid.IntRange(1, 12).Draw(t, "nodes of a zone"), []config.Workspace{workspace(rate)})
		f.skew = rapid.Float64Range(0, 1).Draw(t, "skew")
		f.demand[0] = rate * _usualPart
		f.run(3 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			drawFault(t, f, rate)
			f.run(time.Duration(rapid.IntRange(100, 4_000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		most, bound := busiest(f.admitted[0], f.limits.Window), maxAdmitted(f.workspaces[0], f.limits)
		assert.Assert(t, float64(most) <= bound, "%d calls admitted in a window, bound %.0f", most, bound)
	})
}

// drawFault changes the demand or brings a fault about.
func drawFault(t *rapid.T, f *fleet, rate float64) {
	switch rapid.SampledFrom([]string{"demand", "usual", "kill some", "kill all", "partition", "heal", "loss"}).Draw(t, "event") {
	case "demand":
		f.demand[0] = rate * rapid.Float64Range(0, _maxJump).Draw(t, "demand")
	case "usual":
		f.demand[0] = rate * _usualPart
	case "kill some":
		first := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "first")
		for _, n := range f.nodes[first:min(len(f.nodes), first+rapid.IntRange(1, 12).Draw(t, "killed"))] {
			f.kill(n, time.Duration(rapid.IntRange(100, 3_000).Draw(t, "down"))*time.Millisecond)
		}
	case "kill all":
		down := time.Duration(rapid.IntRange(500, 3_000).Draw(t, "down")) * time.Millisecond
		for _, n := range f.nodes {
			f.kill(n, down)
		}
	case "partition":
		for zone := range f.side {
			f.side[zone] = rapid.IntRange(0, 2).Draw(t, "side")
		}
	case "heal":
		clear(f.side)
		f.loss = 0
	case "loss":
		f.loss = rapid.Float64Range(0, _maxLoss).Draw(t, "loss")
	}
}

// Calls within the allotment are admitted, however small a node's share is, and
// a jump of demand on all nodes is noticed in time. It guards against shares of
// less than a call and against bounds that are too tight.
func TestFleetOf72(t *testing.T) {
	for _, rate := range []float64{5, 12, 50, 200, 562} {
		f := newFleetOf72(rate)
		f.demand[0] = rate * _usualPart
		f.run(10 * time.Second)
		started, asked := f.refused(), len(f.asked[0])
		f.run(20 * time.Second)
		calm, calmAsked := f.refused()-started, len(f.asked[0])-asked
		assert.Assert(t, float64(calm) <= 0.02*float64(calmAsked), "rate %.0f: %d of %d usual calls refused", rate, calm, calmAsked)

		jumpAt, admitted := f.now, len(f.admitted[0])
		f.demand[0] = rate * _maxJump
		f.run(6500 * time.Millisecond)
		jump := float64(len(f.admitted[0]) - admitted)
		whole := rate * (f.now.Sub(jumpAt).Seconds() + 1)
		assert.Assert(t, jump >= 0.85*whole, "rate %.0f: %.0f of %.0f calls admitted in the jump", rate, jump, whole)

		f.demand[0] = rate * _usualPart
		f.run(2 * time.Second)
		after := f.refused()
		f.run(30 * time.Second)
		// Two calls allow for the variation of the demand of the smallest one.
		assert.Assert(t, float64(f.refused()-after) <= 0.02*30*f.demand[0]+2, "rate %.0f: %d calls refused after the jump", rate, f.refused()-after)
		most, bound := busiest(f.admitted[0], f.limits.Window), maxAdmitted(f.workspaces[0], f.limits)
		assert.Assert(t, float64(most) <= bound, "rate %.0f: %d calls admitted in a window, bound %.0f", rate, most, bound)
	}
}

// _faults bring one fault about each.
var _faults = map[string]func(*fleet){
	"collector killed": func(f *fleet) { f.kill(f.nodes[3], 3*time.Second) },
	"holder killed":    func(f *fleet) { f.kill(f.nodes[0], 3*time.Second) },
	"zone killed": func(f *fleet) {
		for i := 2; i < len(f.nodes); i += f.zones {
			f.kill(f.nodes[i], 3*time.Second)
		}
	},
	"all restarted": func(f *fleet) {
		for _, n := range f.nodes {
			f.kill(n, time.Second)
		}
	},
	"restarted in turn": func(f *fleet) {
		for i, n := range f.nodes {
			f.after(time.Duration(i)*100*time.Millisecond, func() { f.kill(n, time.Second) })
		}
	},
	"partitioned": func(f *fleet) {
		f.side = []int{0, 0, 0, 1, 1, 1}
		f.after(6*time.Second, func() { clear(f.side) })
	},
}

// A single fault costs few calls of a workspace that keeps within its allotment.
// It guards against roles that are taken over too late or from empty buckets.
func TestFaultsCostFewCalls(t *testing.T) {
	for name, fault := range _faults {
		for _, rate := range []float64{5, 50, 562} {
			f := newFleetOf72(rate)
			f.demand[0] = rate * _usualPart
			f.run(10 * time.Second)
			before := f.refused()
			fault(f)
			f.run(12 * time.Second)
			seconds := float64(f.refused()-before) / f.demand[0]
			assert.Assert(t, seconds <= 2, "%s, rate %.0f: calls of %.1f s refused", name, rate, seconds)
		}
	}
}

// The bound holds if demand jumps at the moment when half of the zones are cut off
// from the others. It guards against nodes that trust an old state for too long.
func TestJumpWhenPartitioned(t *testing.T) {
	for _, rate := range []float64{5, 50, 562} {
		f := newFleetOf72(rate)
		f.demand[0] = rate * _usualPart
		f.run(10 * time.Second)
		f.demand[0] = rate * _maxJump
		f.side = []int{0, 0, 0, 1, 1, 1}
		f.run(12 * time.Second)
		most, bound := busiest(f.admitted[0], f.limits.Window), maxAdmitted(f.workspaces[0], f.limits)
		assert.Assert(t, float64(most) <= bound, "rate %.0f: %d calls admitted in a window, bound %.0f", rate, most, bound)
	}
}

// A lower limit applies one window after it is in force, and what was admitted
// before stays counted. It guards against buckets that are reset by a change.
func TestLoweredLimit(t *testing.T) {
	f := newFleetOf72(562)
	f.demand[0] = 350
	f.run(10 * time.Second)
	f.workspaces = []config.Workspace{workspace(60)}
	for _, n := range f.nodes {
		f.configure(n)
	}
	f.run(f.limits.Window)
	f.admitted[0] = nil
	f.run(15 * time.Second)
	assert.Assert(t, float64(busiest(f.admitted[0], f.limits.Window)) <= maxAdmitted(f.workspaces[0], f.limits))
	assert.Assert(t, len(f.admitted[0]) >= 15*60*9/10, "%d calls admitted", len(f.admitted[0]))
}

// Without a workspace that has a rate, every call is admitted and there is
// nothing to report.
func TestNoLimits(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := NewLedger(DefaultLimits(), "n", "z", 1, now, rand.Float64)
	l.SetWorkspaces(now, []config.Workspace{{Name: "w"}})
	assert.Assert(t, !l.Active())
	for range 1_000 {
		ok, _ := l.Take(now, "w")
		assert.Assert(t, ok)
	}
	assert.Equal(t, len(l.Report(now, "c").Counts), 0)
}

// A call that is given back is not counted and can be taken again, and a refused
// caller is told to come back within the window, each at another time.
func TestGiveBackAndRetryAfter(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := NewLedger(DefaultLimits(), "n", "z", 1, now, rand.New(rand.NewPCG(1, 1)).Float64)
	l.SetWorkspaces(now, []config.Workspace{workspace(2)})
	now = now.Add(time.Minute)
	for range 100 {
		ok, _ := l.Take(now, "w")
		assert.Assert(t, ok)
		l.GiveBack(now, "w")
	}
	assert.Equal(t, l.Report(now, "c").Counts[0].Admitted, uint64(0))
	taken := 0
	for ok := true; ok; taken++ {
		ok, _ = l.Take(now, "w")
	}
	assert.Assert(t, taken > 2 && taken <= 2+1+20, "%d calls asked for until one was refused", taken)
	waits := make(map[time.Duration]bool)
	for range 20 {
		ok, wait := l.Take(now, "w")
		assert.Assert(t, !ok)
		assert.Assert(t, wait >= _minRetryAfter && wait <= l.limits.Window, "%s", wait)
		waits[wait] = true
	}
	assert.Assert(t, len(waits) > 1)
}

// A receiver that lost its state asks for a full report instead of counting
// everything since the start again.
func TestResend(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := NewLedger(DefaultLimits(), "n", "z", 1, now, rand.Float64)
	l.SetWorkspaces(now, []config.Workspace{workspace(562)})
	now = now.Add(time.Second)
	l.Take(now, "w")
	first := NewCollector(DefaultLimits(), "c", "z", 1)
	r := l.Report(now, "c")
	assert.Assert(t, r.Full && first.Receive(now, r))
	l.Apply(now, "c", r.Sequence, State{})
	l.Take(now, "w")
	r = l.Report(now, "c")
	assert.Assert(t, !r.Full)
	assert.Assert(t, first.Receive(now, r))
	assert.Equal(t, first.Report(now, "h").Counts[0].Admitted, uint64(1))
	restarted := NewCollector(DefaultLimits(), "c", "z", 2)
	assert.Assert(t, !restarted.Receive(now, r))
	l.Apply(now, "c", r.Sequence, State{Resend: true})
	assert.Assert(t, l.Report(now, "c").Full)
}

func BenchmarkTake(b *testing.B) {
	now := time.Now()
	l := NewLedger(DefaultLimits(), "n", "z", 1, now, rand.Float64)
	l.SetWorkspaces(now, []config.Workspace{workspace(562)})
	b.ReportAllocs()
	for range b.N {
		l.Take(now, "w")
		now = now.Add(time.Millisecond)
	}
}

// BenchmarkExchange measures the work of all roles for one exchange of 12 nodes,
// each with calls of 8 workspaces.
func BenchmarkExchange(b *testing.B) {
	for _, count := range []int{77, 1_000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) { benchmarkExchange(b, count) })
	}
}

func benchmarkExchange(b *testing.B, count int) {
	now := time.Now()
	workspaces := make([]config.Workspace, count)
	for i := range workspaces {
		workspaces[i] = config.Workspace{Name: config.WorkspaceName(strconv.Itoa(i)), Rate: 50, Burst: 50}
	}
	holder, collector := NewHolder(DefaultLimits()), NewCollector(DefaultLimits(), "c", "z", 1)
	holder.SetWorkspaces(now, workspaces)
	ledgers := make([]*Ledger, 12)
	for i := range ledgers {
		ledgers[i] = NewLedger(DefaultLimits(), strconv.Itoa(i), "z", 1, now, rand.Float64)
		ledgers[i].SetWorkspaces(now, workspaces)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(CalmInterval)
		for _, l := range ledgers {
			for i := range 8 {
				l.Take(now, workspaces[i].Name)
			}
			r := l.Report(now, "c")
			collector.Receive(now, r)
			l.Apply(now, "c", r.Sequence, collector.State(now))
		}
		r := collector.Report(now, "h")
		holder.Receive(now, r)
		collector.Apply(now, "h", r.Sequence, holder.State(now))
	}
}

// Guards against a fixed share that can't be computed: a rate that is given to
// mean "no limit", or one of far less than a call a year, made Take panic or
// admit all calls.
func TestExtremeRates(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		rate     float64
		admitted int
	}{{1e10, 3}, {1e15, 3}, {1e-12, 1}} {
		l := NewLedger(DefaultLimits(), "n", "z", 1, start, rand.Float64)
		l.SetWorkspaces(start, []config.Workspace{{Name: "w", Rate: test.rate, Burst: 1}})
		admitted := 0
		for i := range 3 {
			ok, retryAfter := l.Take(start.Add(time.Duration(i+1)*time.Second), "w")
			assert.Assert(t, ok || retryAfter == l.limits.Window, "rate %g: %s", test.rate, retryAfter)
			if ok {
				admitted++
			}
		}
		assert.Equal(t, admitted, test.admitted, "rate %g", test.rate)
	}
}
