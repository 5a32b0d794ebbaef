// Package retry bounds retries to a share of the calls, so that a fault does
// not multiply the load that it meets.
package retry

import (
	"sync"
	"time"
)

// Limits bounds the retries of one service over all nodes together.
type Limits struct {
	// Ratio is how many retries there may be for each call.
	Ratio float64
	// Slack is how many retries there may be beside those.
	Slack float64
	// Window is the time in which calls and retries are counted.
	Window time.Duration
}

// DefaultLimits returns limits of one retry for five calls.
func DefaultLimits() Limits {
	return Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
}

const (
	// _usableShare is the part of the limits that nodes spend. The rest is for the
	// calls that a repeated run makes again, which no node can tell from others.
	_usableShare = 0.7
	// _bucketsPerWindow is how many parts a window has. One part more is kept: what is in
	// the oldest counts until the whole part has left the window.
	_bucketsPerWindow = 20
	_bucketCount      = _bucketsPerWindow + 1
)

// Budget is one node's part of what the nodes may retry for one service. It is
// safe for concurrent use.
type Budget struct {
	limits Limits

	mu sync.Mutex
	// calls and retries hold the counts of the newest parts of the window.
	calls   [_bucketCount]int
	retries [_bucketCount]int
	// newestBucket is the number of the newestBucket part since the epoch.
	newestBucket int64
}

// New returns a budget of which nothing is spent.
func New(limits Limits) *Budget {
	return &Budget{limits: limits}
}

// RecordCall takes in one call to the service.
func (b *Budget) RecordCall(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.calls[b.newestBucket%_bucketCount]++
}

// AllowRetry reports whether a retry is allowed, and spends it. The slack is shared
// by the given number of nodes.
func (b *Budget) AllowRetry(now time.Time, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	calls, retries := 0, 0
	for i := range _bucketCount {
		calls += b.calls[i]
		retries += b.retries[i]
	}
	allowed := _usableShare * (b.limits.Ratio*float64(calls) + b.limits.Slack/float64(max(1, nodes)))
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.newestBucket%_bucketCount]++
	return true
}

// advance drops the parts that have left the window.
func (b *Budget) advance(now time.Time) {
	part := now.UnixNano() / int64(b.limits.Window/_bucketsPerWindow)
	steps := part - b.newestBucket
	if steps <= 0 {
		return
	}
	for i := range min(steps, _bucketCount) {
		place := (part - i) % _bucketCount
		b.calls[place] = 0
		b.retries[place] = 0
	}
	b.newestBucket = part
}

// Budgets holds a budget for each service.
type Budgets[K comparable] struct {
	limits Limits
	byKey  sync.Map
}

// NewBudgets returns budgets of which nothing is spent.
func NewBudgets[K comparable](limits Limits) *Budgets[K] {
	return &Budgets[K]{limits: limits}
}

// For returns the budget of a key.
func (b *Budgets[K]) For(key K) *Budget {
	if found, ok := b.byKey.Load(key); ok {
		return found.(*Budget) //nolint:forcetypeassert // The map holds budgets only.
	}
	found, _ := b.byKey.LoadOrStore(key, New(b.limits))
	return found.(*Budget) //nolint:forcetypeassert // The map holds budgets only.
}
