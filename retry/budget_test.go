package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lentilferry.example/lentilferry/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// In no window do all nodes together make more retries than the limits allow,
// for any sequence of calls and any distribution of the calls among the nodes.
func TestAllNodesTogetherStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		nodes := make([]*Budget, rapid.IntRange(1, 13).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = New(limits)
		}
		now := time.Unix(1_800_000_000, rapid.Int64Range(0, int64(time.Second)).Draw(t, "phase"))
		var calls, retries []time.Time
		countInWindow := func(times []time.Time) int {
			count := 0
			for _, at := range times {
				if now.Sub(at) < limits.Window {
					count++
				}
			}
			return count
		}
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "elapsed")) * time.Millisecond)
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "call") {
				node.RecordCall(now)
				calls = append(calls, now)
			}
			for node.AllowRetry(now, len(nodes)) {
				retries = append(retries, now)
			}
			maxRetries := limits.Ratio*float64(countInWindow(calls)) + limits.Slack
			assert.Assert(t, float64(countInWindow(retries)) <= maxRetries, "%d retries for %d calls within the window", countInWindow(retries), countInWindow(calls))
		}
	})
}

// Retries are allowed again once earlier ones have left the window, and each
// key has a budget of its own.
func TestWindowSlides(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	budgets := NewBudgets[string](Limits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
	b := budgets.For("s")
	taken := 0
	for b.AllowRetry(now, 1) {
		taken++
	}
	assert.Equal(t, taken, 7)
	assert.Assert(t, !b.AllowRetry(now.Add(9*time.Second), 1))
	assert.Assert(t, budgets.For("s").AllowRetry(now.Add(10500*time.Millisecond), 1))
	assert.Assert(t, budgets.For("other").AllowRetry(now, 1))
	for range 100 {
		b.RecordCall(now.Add(10500 * time.Millisecond))
	}
	for range 14 + 5 {
		assert.Assert(t, b.AllowRetry(now.Add(10500*time.Millisecond), 1))
	}
}
