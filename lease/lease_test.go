package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// object is the stored lease.
type object struct {
	record  Record
	version uint64
}

// write applies an action under its condition.
func (o *object) write(a Action) bool {
	if a.Kind == Create && o.version != 0 || a.Kind == Update && a.Version != o.version {
		return false
	}
	o.record = a.Record
	o.version++
	return true
}

// candidate is a lease whose clock is off by a skew, and whose writes may take
// effect late or lose their answers.
type candidate struct {
	lease *Lease
	skew  time.Duration
	// pausedUntil is until when the candidate does nothing.
	pausedUntil time.Time
}

// step lets the candidate act and returns whether it wrote.
func (c *candidate) step(now time.Time, o *object, down, loseAnswer bool) {
	local := now.Add(c.skew)
	action := c.lease.Next(local)
	if down {
		if action.Kind == Create || action.Kind == Update {
			c.lease.WriteUnconfirmed()
		}
		return
	}
	switch action.Kind {
	case Read:
		if o.version == 0 {
			c.lease.ObserveAbsent(local)
		} else {
			c.lease.Observe(local, o.record, o.version)
		}
	case Create, Update:
		written := o.write(action)
		if written && !loseAnswer {
			c.lease.WriteSucceeded(local, action.Record, o.version)
		} else {
			c.lease.WriteUnconfirmed()
		}
	default:
	}
}

// At no time do two candidates hold the lease, whatever their clocks, pauses,
// outages and lost answers; epochs only grow; and once all is well, one holds
// it within two lifetimes.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := DefaultTiming()
		now := time.Unix(1_800_000_000, 0)
		o := &object{}
		candidates := make([]*candidate, 3)
		for i := range candidates {
			skew := time.Duration(rapid.IntRange(-600, 600).Draw(t, "skew")) * time.Second
			candidates[i] = &candidate{lease: New(timing, string(rune('a'+i))), skew: skew}
		}
		epoch := uint64(0)
		run := func(steps int, withFaults bool) {
			for range steps {
				now = now.Add(time.Duration(rapid.IntRange(50, 700).Draw(t, "pass")) * time.Millisecond)
				for _, c := range candidates {
					if withFaults && rapid.IntRange(0, 19).Draw(t, "sleeps") == 0 {
						c.pausedUntil = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "sleep")) * time.Second)
					}
					if withFaults && now.Before(c.pausedUntil) {
						continue
					}
					c.step(now, o, withFaults && rapid.IntRange(0, 9).Draw(t, "down") == 0, withFaults && rapid.IntRange(0, 9).Draw(t, "lose") == 0)
				}
				holders := 0
				for _, c := range candidates {
					if held, ok := c.lease.Held(now.Add(c.skew)); ok {
						holders++
						assert.Assert(t, held >= epoch, "epoch %d after %d", held, epoch)
						epoch = held
					}
				}
				assert.Assert(t, holders <= 1, "%d hold the lease", holders)
			}
		}
		run(rapid.IntRange(10, 120).Draw(t, "steps"), true)
		run(60, false)
		holders := 0
		for _, c := range candidates {
			if _, ok := c.lease.Held(now.Add(c.skew)); ok {
				holders++
			}
		}
		assert.Equal(t, holders, 1)
	})
}

func TestReleaseFreesLeaseAtOnce(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	stored := &object{}
	a, b := &candidate{lease: New(DefaultTiming(), "a")}, &candidate{lease: New(DefaultTiming(), "b")}
	for range 2 {
		a.step(now, stored, false, false)
		b.step(now, stored, false, false)
	}
	_, held := a.lease.Held(now)
	assert.Assert(t, held)
	action, ok := a.lease.Release(now)
	assert.Assert(t, ok && stored.write(action))
	a.lease.WriteSucceeded(now, action.Record, stored.version)
	_, held = a.lease.Held(now)
	assert.Assert(t, !held)
	now = now.Add(DefaultTiming().RenewInterval)
	b.step(now, stored, false, false)
	b.step(now, stored, false, false)
	epoch, held := b.lease.Held(now)
	assert.Assert(t, held)
	assert.Equal(t, epoch, uint64(2))
}
