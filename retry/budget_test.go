package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetriesStayAShareOfTheCalls(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := New(now, DefaultLimits())
	retries := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		b.Called(now)
		if b.Take(now) {
			retries++
		}
	}
	// 50 saved up, one for five calls, and one for each of 10 s.
	assert.Assert(t, retries <= 50+2000+10, "%d", retries)
	assert.Assert(t, retries >= 2000, "%d", retries)
}

func TestFewCallsStillGetRetries(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	budgets := NewBudgets[string](Limits{Ratio: 0.2, PerSecond: 1, Most: 1})
	b := budgets.For(now, "s")
	assert.Assert(t, b.Take(now))
	assert.Assert(t, !b.Take(now))
	assert.Assert(t, budgets.For(now.Add(time.Second), "s").Take(now.Add(time.Second)))
	assert.Assert(t, budgets.For(now, "other").Take(now))
}
