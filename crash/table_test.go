package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/internal/testseed"
)

var (
	_start = time.Unix(1_800_000_000, 0)
	_v1    = Runner{Service: "desk", Version: "v1"}
	_v2    = Runner{Service: "desk", Version: "v2"}
)

func TestMain(m *testing.M) { testseed.Main(m) }

// testCall returns the call with the given body.
func testCall(body string) Call {
	target := NewTarget(Request{Method: "GET", Host: "h", URI: "/p?q", SourceService: "s"})
	return Call{Target: target, Content: NewContent(target, []byte(body)), Label: "GET h/p"}
}

// crashAt returns the crash of a process that ran a call for 50 ms.
func crashAt(process uint64, runner Runner, at time.Time) Crash {
	return Crash{Process: process, Runner: runner, StartedAt: at.Add(-50 * time.Millisecond), At: at}
}

// block makes a call crash Threshold processes of a runner, one a second, and
// returns when that was done.
func block(t *testing.T, table *Table, call Call, runner Runner, from time.Time) time.Time {
	t.Helper()
	for i := range Threshold {
		verdict, _ := table.Check(from, call.Content, runner, 1)
		assert.Equal(t, verdict, Allowed, "crash %d", i)
		from = from.Add(time.Second)
		table.RecordCrash(from, call, crashAt(uint64(from.UnixNano()), runner, from))
	}
	verdict, _ := table.Check(from, call.Content, runner, 1)
	assert.Equal(t, verdict, Blocked)
	return from
}

func TestRepeatedCrashesBlockCall(t *testing.T) {
	table := New("n")
	assert.Assert(t, table.Empty())
	call, other := testCall("bad"), testCall("good")
	now := block(t, table, call, _v1, _start)
	assert.Assert(t, !table.Empty() && table.Suspects(call.Target))
	verdict, _ := table.Check(now, other.Content, _v1, 1)
	assert.Equal(t, verdict, Allowed, "another body")
	wait, blocked := table.IsBlocked(now, call.Content, _v1)
	assert.Assert(t, blocked && wait == _minBlock)
	assert.Equal(t, table.BlockedCount(now), 1)
	assert.Equal(t, table.RefusedCount(), uint64(2))
	assert.Equal(t, table.Records(now)[0].Label, "GET h/p")
}

// Upstreams that crash together were not crashed by the calls on them.
func TestCrashesForAnotherReasonBlockNoCall(t *testing.T) {
	for name, test := range map[string]struct {
		crashes []Crash
		trips   uint32
	}{
		"all at once": {crashes: []Crash{crashAt(1, _v1, _start), crashAt(2, _v1, _start), crashAt(3, _v1, _start), crashAt(4, _v1, _start)}},
		"one after the other, all runs older": {crashes: []Crash{
			{Process: 1, StartedAt: _start, At: _start.Add(time.Second)},
			{Process: 2, StartedAt: _start, At: _start.Add(2 * time.Second)},
			{Process: 3, StartedAt: _start, At: _start.Add(3 * time.Second)},
		}},
		"the same process": {crashes: []Crash{
			crashAt(1, _v1, _start), crashAt(1, _v1, _start.Add(time.Second)), crashAt(1, _v1, _start.Add(2*time.Second)),
		}},
		"each run after the crash before": {crashes: []Crash{
			crashAt(1, _v1, _start), crashAt(2, _v1, _start.Add(_minCrashDistance)), crashAt(3, _v1, _start.Add(2*_minCrashDistance)),
		}, trips: 1},
		"each run after the crash before, at about the same moment": {crashes: []Crash{
			crashAt(1, _v1, _start), crashAt(2, _v1, _start.Add(50*time.Millisecond)), crashAt(3, _v1, _start.Add(100*time.Millisecond)),
			crashAt(4, _v1, _start.Add(150*time.Millisecond)), crashAt(5, _v1, _start.Add(200*time.Millisecond)),
		}},
	} {
		t.Run(name, func(t *testing.T) {
			table, call := New("n"), testCall("x")
			var record Record
			for _, c := range test.crashes {
				record, _ = table.RecordCrash(c.At, call, c)
			}
			assert.Equal(t, record.Trips, test.trips)
		})
	}
}

func TestAnswerClearsCall(t *testing.T) {
	table, call := New("n"), testCall("x")
	now := _start
	for i := range 4 * Threshold {
		now = now.Add(time.Second)
		if i%Threshold == Threshold-1 {
			assert.Assert(t, table.RecordAnswer(now, call.Content, _v1))
		} else {
			table.RecordCrash(now, call, crashAt(uint64(i), _v1, now))
		}
		verdict, _ := table.Check(now, call.Content, _v1, 1)
		assert.Equal(t, verdict, Allowed, "step %d", i)
	}
	assert.Assert(t, !table.RecordAnswer(now, call.Content, _v1), "cleared before")
	// A record of before the answer doesn't bring the crashes back.
	old := New("m")
	block(t, old, call, _v1, _start)
	changed, _ := table.Merge(now, old.Records(now)[0])
	assert.Assert(t, !changed)
}

func TestBlockEndsWithTrialCall(t *testing.T) {
	table, call := New("n"), testCall("x")
	now := block(t, table, call, _v1, _start)
	var wait time.Duration
	for trial, duration := range []time.Duration{time.Second, 6 * time.Second, 36 * time.Second, time.Minute, time.Minute} {
		_, wait = table.Check(now, call.Content, _v1, 1)
		assert.Assert(t, wait >= duration && wait <= duration+_trialSpacing, "trial %d after %s", trial, wait)
		now = now.Add(wait)
		verdict, _ := table.Check(now, call.Content, _v1, 1)
		assert.Equal(t, verdict, Trial)
		verdict, _ = table.Check(now, call.Content, _v1, 1)
		assert.Equal(t, verdict, Blocked, "one trial at a time")
		now = now.Add(100 * time.Millisecond)
		table.RecordCrash(now, call, crashAt(uint64(100+trial), _v1, now))
	}
	_, wait = table.Check(now, call.Content, _v1, 1)
	now = now.Add(wait)
	verdict, _ := table.Check(now, call.Content, _v1, 1)
	assert.Equal(t, verdict, Trial)
	table.EndTrial(call.Content, _v1)
	verdict, _ = table.Check(now, call.Content, _v1, 1)
	assert.Equal(t, verdict, Trial, "the trial showed nothing")
	assert.Assert(t, table.RecordAnswer(now, call.Content, _v1))
	verdict, _ = table.Check(now, call.Content, _v1, 1)
	assert.Equal(t, verdict, Allowed)
}

func TestBlockIsForTheVersionThatCrashed(t *testing.T) {
	table, call := New("n"), testCall("x")
	now := block(t, table, call, _v1, _start)
	verdict, _ := table.Check(now, call.Content, _v2, 1)
	assert.Equal(t, verdict, Trial)
	verdict, _ = table.Check(now, call.Content, _v2, 1)
	assert.Equal(t, verdict, Blocked, "one trial at a time")
	assert.Assert(t, !table.RecordAnswer(now, call.Content, _v2))
	for _, want := range []struct {
		runner  Runner
		verdict Verdict
	}{{_v2, Allowed}, {_v2, Allowed}, {_v1, Blocked}} {
		verdict, _ = table.Check(now, call.Content, want.runner, 1)
		assert.Equal(t, verdict, want.verdict)
	}
	table.RecordCrash(now, call, crashAt(77, _v2, now))
	verdict, _ = table.Check(now, call.Content, _v2, 1)
	assert.Equal(t, verdict, Blocked, "one crash is enough for a further version")
}

func TestLiftEndsBlockOnAllNodes(t *testing.T) {
	table, peer, call := New("n"), New("m"), testCall("x")
	now := block(t, table, call, _v1, _start)
	changed, blocked := peer.Merge(now, table.Shared(now)[0])
	assert.Assert(t, changed && blocked)
	record, lifted := peer.Lift(now, call.Content)
	assert.Assert(t, lifted && record.Label == call.Label)
	_, lifted = peer.Lift(now, call.Content)
	assert.Assert(t, !lifted)
	changed, _ = table.Merge(now, peer.Shared(now)[0])
	assert.Assert(t, changed)
	verdict, _ := table.Check(now, call.Content, _v1, 1)
	assert.Equal(t, verdict, Allowed)
	changed, _ = peer.Merge(now, table.Shared(now)[0])
	assert.Assert(t, !changed)
}

func TestRecordsExpire(t *testing.T) {
	table, call := New("n"), testCall("x")
	table.RecordCrash(_start, call, crashAt(1, _v1, _start))
	assert.Equal(t, len(table.Records(_start.Add(_memory))), 1)
	assert.Equal(t, len(table.Records(_start.Add(_memory+1))), 0)
	assert.Assert(t, table.Empty() && !table.Suspects(call.Target))
	now := block(t, table, call, _v1, _start)
	assert.Equal(t, len(table.Records(now.Add(_minBlock+_memory))), 1)
	assert.Equal(t, len(table.Records(now.Add(_minBlock+_memory+1))), 0)
}

func TestNodesTryOneAfterTheOther(t *testing.T) {
	table, peer, call := New("n"), New("m"), testCall("x")
	now := block(t, table, call, _v1, _start).Add(time.Minute)
	peer.Merge(now, table.Shared(now)[0])
	verdict, _ := table.Check(now, call.Content, _v1, 2)
	assert.Equal(t, verdict, Trial)
	changed, blocked := peer.Merge(now, table.Shared(now)[0])
	assert.Assert(t, changed && !blocked)
	verdict, wait := peer.Check(now, call.Content, _v1, 2)
	assert.Assert(t, verdict == Blocked && wait == _trialTimeout)
	now = now.Add(wait)
	verdict, _ = peer.Check(now, call.Content, _v1, 2)
	assert.Equal(t, verdict, Trial, "the trial of the other node is forgotten")
}

// A node that has missed that a call was cleared learns it when it tells of the
// crashes.
func TestOldRecordIsAnswered(t *testing.T) {
	table, peer, call := New("n"), New("m"), testCall("x")
	now := block(t, table, call, _v1, _start)
	peer.Merge(now, table.Shared(now)[0])
	peer.RecordAnswer(now, call.Content, _v1)
	now = now.Add(_shareFor)
	assert.Equal(t, len(peer.Shared(now)), 0)
	changed, _ := peer.Merge(now, table.Shared(now)[0])
	assert.Assert(t, !changed)
	changed, _ = table.Merge(now, peer.Shared(now)[0])
	assert.Assert(t, changed)
	assert.Equal(t, table.BlockedCount(now), 0)
}

func TestLiftSpreadsBesideManyBlocks(t *testing.T) {
	table, peer := New("n"), New("m")
	lifted := testCall("0")
	var now time.Time
	for i := range 2 * _maxSharedRecords {
		now = block(t, table, testCall(fmt.Sprint(i)), _v1, _start)
		for _, r := range table.Shared(now) {
			peer.Merge(now, r)
		}
	}
	_, blocked := peer.IsBlocked(now, lifted.Content, _v1)
	assert.Assert(t, blocked)
	now = now.Add(time.Millisecond)
	_, done := table.Lift(now, lifted.Content)
	assert.Assert(t, done)
	for _, r := range table.Shared(now) {
		peer.Merge(now, r)
	}
	verdict, _ := peer.Check(now, lifted.Content, _v1, 1)
	assert.Equal(t, verdict, Allowed)
}

// A flood of calls that were running at crashes leaves blocked ones in place.
func TestTableIsBounded(t *testing.T) {
	table, call := New("n"), testCall("bad")
	now := block(t, table, call, _v1, _start)
	for i := range 4 * _maxRecords {
		table.RecordCrash(now, testCall(fmt.Sprint(i)), crashAt(uint64(i), _v1, now))
	}
	assert.Equal(t, len(table.Records(now)), _maxRecords)
	shared := table.Shared(now)
	assert.Equal(t, len(shared), _maxSharedRecords)
	assert.Equal(t, shared[0].Content, call.Content)
	verdict, _ := table.Check(now, call.Content, _v1, 1)
	assert.Equal(t, verdict, Blocked)
}

// Records that nodes pass on to each other keep their age.
func TestGossipDoesNotProlongBlock(t *testing.T) {
	a, b, call := New("a"), New("b"), testCall("x")
	now := block(t, a, call, _v1, _start)
	end := a.Records(now)[0].BlockedUntil()
	trialAt := now.Add(2 * time.Second)
	verdict, _ := a.Check(trialAt, call.Content, _v1, 1)
	assert.Equal(t, verdict, Trial)
	for range 100 {
		for _, pair := range [][2]*Table{{a, b}, {b, a}} {
			r := pair[0].Shared(now)[0]
			r.ChangedAt = r.ChangedAt.Add(20 * time.Millisecond)
			if !r.TrialAt.IsZero() {
				r.TrialAt = r.TrialAt.Add(20 * time.Millisecond)
			}
			pair[1].Merge(now, r)
		}
		now = now.Add(100 * time.Millisecond)
	}
	for _, table := range []*Table{a, b} {
		record := table.Records(now)[0]
		assert.Assert(t, record.BlockedUntil().Sub(end) <= 20*time.Millisecond)
		assert.Assert(t, record.TrialAt.Sub(trialAt) <= 20*time.Millisecond)
	}
}

// Nodes that see crashes, answers and each other's records in any order agree.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{New("a"), New("b"), New("c")}
		now, call := _start, testCall("x")
		exchange := func(from, to *Table) {
			for _, r := range from.Records(now) {
				to.Merge(now, r)
			}
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, time.Second, 30 * time.Second}).Draw(t, "wait"))
			table := rapid.SampledFrom(tables).Draw(t, "table")
			runner := rapid.SampledFrom([]Runner{_v1, _v2}).Draw(t, "runner")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				table.RecordAnswer(now, call.Content, runner)
			case 1:
				table.Lift(now, call.Content)
			case 2, 3, 4:
				exchange(table, rapid.SampledFrom(tables).Draw(t, "to"))
			default:
				table.RecordCrash(now, call, crashAt(uint64(i), runner, now))
			}
		}
		for range 2 * len(tables) {
			for _, from := range tables {
				for _, to := range tables {
					exchange(from, to)
				}
			}
		}
		for _, table := range tables[1:] {
			want, got := tables[0].Records(now), table.Records(now)
			if len(want) == 0 || len(want[0].Crashes) == 0 {
				// An empty record needs no copy.
				continue
			}
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Generation, want[0].Generation)
			assert.Equal(t, got[0].Trips, want[0].Trips)
		}
	})
}
