package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/config"
)

// byCost returns the limits of an upstream whose calls are ordered by cost.
func byCost(slots int) Limits {
	limits := ExactLimits(slots)
	limits.ByCost = true
	return limits
}

// play is a random sequence of calls at a gate.
type play struct {
	t                *rapid.T
	gate             *Gate
	now              time.Time
	waiting, running []*Ticket
}

// sort moves the admitted calls from waiting to running, and drops those that
// were refused. It calls refused for each of them.
func (p *play) sort(refused func(*Ticket)) {
	var undecided []*Ticket
	for _, ticket := range p.waiting {
		switch {
		case !decided(ticket):
			undecided = append(undecided, ticket)
		case ticket.Reason() == "":
			p.running = append(p.running, ticket)
		default:
			refused(ticket)
		}
	}
	p.waiting = undecided
}

// arrive asks for a slot for a random call.
func (p *play) arrive() {
	workspaces := []config.WorkspaceName{"", "a", "b"}
	useful := time.Duration(rapid.IntRange(50, 2000).Draw(p.t, "useful ms")) * time.Millisecond
	p.waiting = append(p.waiting, p.gate.Acquire(p.now, Request{
		Class: config.ClassCommand, Route: rapid.SampledFrom([]config.RouteName{"x", "y"}).Draw(p.t, "route"),
		Rank:        uint32(rapid.IntRange(0, 2).Draw(p.t, "rank")),
		Workspace:   rapid.SampledFrom(workspaces).Draw(p.t, "workspace"),
		UsefulUntil: p.now.Add(useful), Deadline: p.now.Add(2 * useful),
		WorkspaceRank: uint32(rapid.IntRange(0, 1).Draw(p.t, "workspace rank")),
	}))
}

// release ends the call that has run for the longest time.
func (p *play) release() {
	if len(p.running) > 0 {
		p.gate.Release(p.now, p.running[0], Completed)
		p.running = p.running[1:]
	}
}

// Guards against a slot that stays free while a call waits, a call that waits
// past its deadline after the queue was looked at, and a queue that refuses a
// call for one of a lower rank that it could have refused instead.
func TestOrderByCostKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := byCost(rapid.IntRange(1, 3).Draw(t, "slots"))
		limits.MaxQueue = rapid.IntRange(1, 6).Draw(t, "queue")
		p := &play{t: t, gate: New(limits), now: _start}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			p.now = p.now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "gap ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				p.release()
			case 1:
				p.gate.Expire(p.now)
			default:
				p.arrive()
			}
			p.sort(func(refused *Ticket) {
				if refused.Reason() != ReasonDisplaced && refused.Reason() != ReasonQueueFull {
					return
				}
				for _, kept := range p.waiting {
					assert.Assert(t, decided(kept) || kept.late || kept.level <= refused.level || refused.late,
						"refused a call of level %d and kept one of level %d", refused.level, kept.level)
				}
			})
			assert.Assert(t, len(p.running) <= limits.Slots)
			assert.Assert(t, len(p.waiting) <= limits.MaxQueue)
			assert.Assert(t, len(p.waiting) == 0 || len(p.running) == limits.Slots, "%d calls wait beside free slots", len(p.waiting))
		}
		p.now = p.now.Add(time.Minute)
		p.gate.Expire(p.now)
		p.sort(func(*Ticket) {})
		assert.Equal(t, len(p.waiting), 0)
	})
}

// Guards against a workspace that takes the slots of the others by asking for
// many times its usual: the calls of the others are served as if it weren't there.
func TestHotWorkspaceDoesNotHurtOthers(t *testing.T) {
	call := func(name config.WorkspaceName, perSecond float64) offeredRoute {
		return offeredRoute{
			name: config.RouteName("route-" + name), workspace: name, rank: 1, perSecond: perSecond,
			duration: 200 * time.Millisecond, useful: 800 * time.Millisecond, deadline: 3 * time.Second,
		}
	}
	load := []offeredRoute{call("a", 6), call("b", 6), call("c", 6), call("hot", 42)}
	shares := playLoad(New(byCost(6)), load)
	for _, name := range []config.RouteName{"route-a", "route-b", "route-c"} {
		assert.Assert(t, shares[name].inTime > 0.95, "%s: %.2f of the calls were in time", name, shares[name].inTime)
	}
	plain := playLoad(New(ExactLimits(6)), load)
	assert.Assert(t, plain["route-a"].inTime < 0.9, "the present order serves the others too, %.2f in time", plain["route-a"].inTime)
}

// Guards against a rank that is starved by more urgent calls: it is served at
// least half as often as the average.
func TestNoRankIsStarved(t *testing.T) {
	call := func(name config.RouteName, rank, workspaceRank uint32, perSecond float64) offeredRoute {
		return offeredRoute{
			name: name, workspace: "w", rank: rank, workspaceRank: workspaceRank, perSecond: perSecond,
			duration: 200 * time.Millisecond, useful: 800 * time.Millisecond, deadline: 2 * time.Second,
		}
	}
	load := []offeredRoute{call("urgent", 0, 0, 30), call("other", 1, 0, 15), call("last", 2, 1, 5)}
	shares := playLoad(New(byCost(6)), load)
	var asked, served float64
	for _, r := range load {
		asked += r.perSecond
		served += r.perSecond * shares[r.name].served
	}
	for _, r := range load {
		assert.Assert(t, shares[r.name].served > 0.5*served/asked, "%s: %.2f of the calls were served, %.2f on average", r.name, shares[r.name].served, served/asked)
	}
	assert.Assert(t, shares["urgent"].served > shares["last"].served)
}

// Guards against an urgent route whose calls are all late, since its objective is
// shorter than its work, and that starves behind less urgent calls in time.
func TestLateRankIsNotStarved(t *testing.T) {
	call := func(name config.RouteName, rank uint32, perSecond float64, useful time.Duration) offeredRoute {
		return offeredRoute{
			name: name, workspace: "w", rank: rank, perSecond: perSecond,
			duration: 200 * time.Millisecond, useful: useful, deadline: 3 * time.Second,
		}
	}
	load := []offeredRoute{call("late", 0, 10, 100*time.Millisecond), call("in-time", 1, 40, 1500*time.Millisecond)}
	shares := playLoad(New(byCost(6)), load)
	average := 0.2*shares["late"].served + 0.8*shares["in-time"].served
	assert.Assert(t, shares["late"].served > 0.5*average, "%.3f of the late calls were served, %.2f on average", shares["late"].served, average)
	assert.Assert(t, shares["in-time"].inTime > shares["late"].served)
}

// Guards against an order by rank alone: a call that can't be in time waits for
// one that can and is less urgent by one rank.
func TestLateCallsWaitForThoseInTime(t *testing.T) {
	g := New(byCost(1))
	running := g.Acquire(_start, Request{Class: config.ClassCommand, Route: "x", Deadline: _start.Add(time.Minute), UsefulUntil: _start.Add(time.Minute)})
	g.Release(_start.Add(100*time.Millisecond), running, Completed)
	now := _start.Add(time.Second)
	running = g.Acquire(now, Request{Class: config.ClassCommand, Route: "x", Deadline: now.Add(time.Minute), UsefulUntil: now.Add(time.Minute)})
	late := g.Acquire(now, Request{Class: config.ClassCommand, Route: "x", Deadline: now.Add(time.Minute), UsefulUntil: now})
	inTime := g.Acquire(now, Request{Class: config.ClassCommand, Route: "x", Rank: 1, Deadline: now.Add(time.Minute), UsefulUntil: now.Add(time.Second)})
	g.Release(now.Add(100*time.Millisecond), running, Completed)
	assert.Assert(t, admitted(inTime) && !decided(late))
}

// BenchmarkAcquireManyLevels measures a call that arrives at a queue whose calls
// have as many levels as are tracked.
func BenchmarkAcquireManyLevels(b *testing.B) {
	limits := byCost(16)
	limits.MaxQueue = 1 << 30
	g := New(limits)
	request := func(i int) Request {
		return Request{
			Class: config.ClassCommand, Rank: uint32(i % _maxLevels), Route: "x",
			UsefulUntil: _start.Add(time.Minute), Deadline: _start.Add(time.Minute),
		}
	}
	for i := range 256 + limits.Slots {
		g.Acquire(_start, request(i))
	}
	for i := range b.N {
		g.Abandon(g.Acquire(_start, request(i)))
	}
}
