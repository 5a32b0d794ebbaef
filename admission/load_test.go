package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/config"
)

// offeredRoute is a route's part of a played load.
type offeredRoute struct {
	name config.RouteName
	rank uint32
	// perSecond is the rate of calls, which arrive at random.
	perSecond        float64
	duration         time.Duration
	useful, deadline time.Duration
	workspace        config.WorkspaceName
	workspaceRank    uint32
}

// servedShares holds the shares of a route's calls that were served, and served
// while of full use.
type servedShares struct{ served, inTime float64 }

// playLoad offers the routes' calls to a gate for a minute and returns
// what their callers get.
func playLoad(g *Gate, routes []offeredRoute) map[config.RouteName]servedShares {
	type pending struct {
		ticket *Ticket
		route  offeredRoute
		// end is when the call ends; zero while it waits.
		end time.Time
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	gap := func(perSecond float64) time.Duration {
		return time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
	}
	next := make([]time.Time, len(routes))
	for i, r := range routes {
		next[i] = _start.Add(gap(r.perSecond))
	}
	var calls []*pending
	arrived, served, inTime := map[config.RouteName]int{}, map[config.RouteName]int{}, map[config.RouteName]int{}
	const step = time.Millisecond
	for now := _start; now.Before(_start.Add(time.Minute)); now = now.Add(step) {
		for i, r := range routes {
			for ; !next[i].After(now); next[i] = next[i].Add(gap(r.perSecond)) {
				arrived[r.name]++
				ticket := g.Acquire(now, Request{
					Class: config.ClassCommand, Route: r.name, Rank: r.rank, UsefulUntil: now.Add(r.useful), Deadline: now.Add(r.deadline),
					Workspace: r.workspace, WorkspaceRank: r.workspaceRank,
				})
				calls = append(calls, &pending{ticket: ticket, route: r})
			}
		}
		var left []*pending
		for _, c := range calls {
			switch {
			case !c.end.IsZero() && !c.end.After(now):
				g.Release(now, c.ticket, Completed)
				served[c.route.name]++
				if !now.After(c.ticket.request.UsefulUntil) {
					inTime[c.route.name]++
				}
				continue
			case c.end.IsZero() && admitted(c.ticket):
				c.end = now.Add(c.route.duration)
			case c.end.IsZero() && decided(c.ticket):
				continue
			}
			left = append(left, c)
		}
		calls = left
	}
	shares := make(map[config.RouteName]servedShares)
	for _, r := range routes {
		n := float64(arrived[r.name])
		shares[r.name] = servedShares{served: float64(served[r.name]) / n, inTime: float64(inTime[r.name]) / n}
	}
	return shares
}

// An upstream that is asked for a little more than it can run, by long urgent
// calls and by short calls of a lower rank that calls running elsewhere wait
// for: the short calls are served, and the urgent ones lose no more than the
// excess.
func TestShortCallsAreServedUnderLoad(t *testing.T) {
	shares := playLoad(New(ExactLimits(6)), []offeredRoute{
		{name: "order", rank: 0, perSecond: 19, duration: 250 * time.Millisecond, useful: 600 * time.Millisecond, deadline: 1200 * time.Millisecond},
		{name: "stock", rank: 1, perSecond: 24, duration: 55 * time.Millisecond, useful: 200 * time.Millisecond, deadline: 600 * time.Millisecond},
	})
	assert.Assert(t, shares["stock"].served > 0.95, "%.2f of the short calls were served", shares["stock"].served)
	assert.Assert(t, shares["order"].served > 0.9, "%.2f of the urgent calls were served", shares["order"].served)
	assert.Assert(t, shares["order"].inTime > 0.8, "%.2f of the urgent calls were in time", shares["order"].inTime)
}

// Rank still decides between calls that take about the same time.
func TestRankDecidesBetweenEqualCalls(t *testing.T) {
	shares := playLoad(New(ExactLimits(6)), []offeredRoute{
		{name: "urgent", rank: 1, perSecond: 12, duration: 300 * time.Millisecond, useful: 800 * time.Millisecond, deadline: 1500 * time.Millisecond},
		{name: "other", rank: 2, perSecond: 16, duration: 250 * time.Millisecond, useful: 800 * time.Millisecond, deadline: 1500 * time.Millisecond},
	})
	assert.Assert(t, shares["urgent"].served > 0.97, "%.2f of the urgent calls were served", shares["urgent"].served)
	assert.Assert(t, shares["other"].served > 0.3, "%.2f of the less urgent calls were served", shares["other"].served)
}
