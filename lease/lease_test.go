package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// object is the stored record with its version.
type object struct {
	record  Record
	version uint64
}

// write applies an action if its condition is met, and reports whether it did.
func (o *object) write(a Action) bool {
	if a.Kind == Create && o.version != 0 || a.Kind == Update && a.Version != o.version {
		return false
	}
	o.record = a.Record
	o.version++
	return true
}

// candidate is a lease whose clock has a skew, and whose writes may fail or
// lose their answers.
type candidate struct {
	lease *Lease
	skew  time.Duration
	// pausedUntil is the time until which the candidate does nothing.
	pausedUntil time.Time
}

// step lets the candidate take its next step. With down, the store cannot be
// reached; with loseAnswer, a write takes effect without an answer.
func (c *candidate) step(now time.Time, stored *object, down, loseAnswer bool) {
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
		if stored.version == 0 {
			c.lease.ObserveAbsent(local)
		} else {
			c.lease.Observe(local, stored.record, stored.version)
		}
	case Create, Update:
		written := stored.write(action)
		if written && !loseAnswer {
			c.lease.WriteSucceeded(local, action.Record, stored.version)
		} else {
			c.lease.WriteUnconfirmed()
		}
	default:
	}
}

// At no time do two candidates hold the lease, despite clock skew, pauses,
// outages and lost answers. Epochs never decrease. Once the faults are over,
// one candidate holds the lease within two lifetimes.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := DefaultTiming()
		now := time.Unix(1_800_000_000, 0)
		stored := &object{}
		candidates := make([]*candidate, 3)
		for i := range candidates {
			skew := time.Duration(rapid.IntRange(-600, 600).Draw(t, "skew")) * time.Second
			candidates[i] = &candidate{lease: New(timing, string(rune('a'+i))), skew: skew}
		}
		epoch := uint64(0)
		run := func(steps int, withFaults bool) {
			for range steps {
				now = now.Add(time.Duration(rapid.IntRange(50, 700).Draw(t, "elapsed")) * time.Millisecond)
				for _, c := range candidates {
					if withFaults && rapid.IntRange(0, 19).Draw(t, "pauses") == 0 {
						c.pausedUntil = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "pauseSeconds")) * time.Second)
					}
					if withFaults && now.Before(c.pausedUntil) {
						continue
					}
					c.step(now, stored, withFaults && rapid.IntRange(0, 9).Draw(t, "down") == 0, withFaults && rapid.IntRange(0, 9).Draw(t, "loseAnswer") == 0)
				}
				holders := 0
				for _, c := range candidates {
					if held, ok := c.lease.Held(now.Add(c.skew)); ok {
						holders++
						assert.Assert(t, held >= epoch, "epoch decreased to %d from %d", held, epoch)
						epoch = held
					}
				}
				assert.Assert(t, holders <= 1, "%d candidates hold the lease", holders)
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

// After a release, another candidate can take the lease without waiting for it
// to expire.
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
