package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var _start = time.Unix(1_800_000_000, 0)

func decided(t *Ticket) bool {
	select {
	case <-t.Decided():
		return true
	default:
		return false
	}
}

func admitted(t *Ticket) bool { return decided(t) && t.Reason() == "" }

func request(class config.Class, caller string, now time.Time, patience time.Duration) Request {
	return Request{Class: class, Caller: caller, Deadline: now.Add(patience)}
}

// Whatever calls come, leave and give up, no more run than there are slots,
// no queue is longer than its limit, every call is decided in the end, and no
// slot is lost.
func TestGateKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		limits := DefaultLimits(slots)
		g := New(limits)
		now := _start
		var waiting, running []*Ticket
		sort := func() {
			var still []*Ticket
			for _, ticket := range waiting {
				switch {
				case !decided(ticket):
					still = append(still, ticket)
				case ticket.Reason() == "":
					running = append(running, ticket)
				}
			}
			waiting = still
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				class := config.Class(rapid.IntRange(1, 2).Draw(t, "class"))
				caller := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "caller"))
				patience := time.Duration(rapid.IntRange(1, 2000).Draw(t, "patience")) * time.Millisecond
				waiting = append(waiting, g.Enter(now, request(class, caller, now, patience)))
			case 2:
				if len(running) > 0 {
					g.Leave(now, running[0], Result(rapid.IntRange(1, 2).Draw(t, "result")))
					running = running[1:]
				}
			case 3:
				if len(waiting) > 0 {
					g.Abandon(waiting[0])
				}
			case 4:
				g.Expire(now)
			}
			sort()
			load := g.Load()
			assert.Assert(t, load.Running <= slots && load.Running == len(running), "%d run, %d known", load.Running, len(running))
			assert.Equal(t, load.Waiting, len(waiting))
			assert.Assert(t, load.Waiting <= limits.Lookup.Length+limits.Command.Length)
			assert.Assert(t, load.Limit >= 1)
		}
		g.Drain()
		sort()
		assert.Equal(t, len(waiting), 0)
		for _, ticket := range running {
			g.Leave(now, ticket, Done)
		}
		assert.Equal(t, g.Load().Running, 0)
	})
}

// warm teaches the gate how long a call takes.
func warm(g *Gate, took time.Duration) {
	for range 50 {
		g.Leave(_start.Add(took), g.Enter(_start, request(config.ClassLookup, "w", _start, time.Hour)), Done)
	}
}

func TestRefusesAtOnceWhatCantMakeIt(t *testing.T) {
	g := New(DefaultLimits(1))
	warm(g, 100*time.Millisecond)
	late := g.Enter(_start, request(config.ClassCommand, "c", _start, 50*time.Millisecond))
	assert.Equal(t, late.Reason(), ReasonTooLate)
	assert.Assert(t, admitted(g.Enter(_start, request(config.ClassCommand, "c", _start, time.Second))))
	for range 9 {
		g.Enter(_start, request(config.ClassCommand, "c", _start, time.Second))
	}
	behind := g.Enter(_start, request(config.ClassCommand, "c", _start, time.Second))
	assert.Equal(t, behind.Reason(), ReasonTooLate)
	patient := g.Enter(_start, request(config.ClassCommand, "c", _start, time.Minute))
	assert.Assert(t, !decided(patient))
}

func TestCommandsBeforeLookupsButNotAlways(t *testing.T) {
	g := New(DefaultLimits(1))
	first := g.Enter(_start, request(config.ClassLookup, "c", _start, time.Hour))
	lookup := g.Enter(_start, request(config.ClassLookup, "c", _start, time.Hour))
	var commands []*Ticket
	for range 5 {
		commands = append(commands, g.Enter(_start, request(config.ClassCommand, "c", _start, time.Hour)))
	}
	g.Leave(_start, first, Done)
	for i := range 3 {
		assert.Assert(t, admitted(commands[i]) && !decided(lookup))
		g.Leave(_start, commands[i], Done)
	}
	assert.Assert(t, admitted(lookup) && !decided(commands[3]))
}

func TestTurnsBetweenCallers(t *testing.T) {
	g := New(DefaultLimits(1))
	running := g.Enter(_start, request(config.ClassCommand, "greedy", _start, time.Hour))
	for range 10 {
		g.Enter(_start, request(config.ClassCommand, "greedy", _start, time.Hour))
	}
	modest := g.Enter(_start, request(config.ClassCommand, "modest", _start, time.Hour))
	g.Leave(_start, running, Done)
	assert.Assert(t, !decided(modest))
	assert.Equal(t, g.Load().Running, 1)
	next := g.commands.tickets()
	assert.Assert(t, next[0] == modest, "the greedy caller goes first again")
}

func TestLimitFollowsTheUpstream(t *testing.T) {
	g := New(DefaultLimits(10))
	warm(g, 10*time.Millisecond)
	now := _start.Add(time.Minute)
	for range 5 {
		now = now.Add(time.Second)
		g.Leave(now.Add(10*time.Millisecond), g.Enter(now, request(config.ClassLookup, "c", now, time.Hour)), Shed)
	}
	assert.Assert(t, g.Load().Limit <= 2, "limit %d", g.Load().Limit)
	for range 200 {
		g.Leave(now, g.Enter(now, request(config.ClassLookup, "c", now, time.Hour)), Done)
	}
	assert.Equal(t, g.Load().Limit, 10)
}

func BenchmarkEnterLeave(b *testing.B) {
	g := New(DefaultLimits(12))
	for b.Loop() {
		g.Leave(_start, g.Enter(_start, request(config.ClassLookup, "c", _start, time.Hour)), Done)
	}
}
