// Package retry limits retries to a share of the calls, so that they don't
// amplify the load during a fault.
package retry

import (
	"sync"
	"time"
)

// Limits bounds the retries to one service by all nodes together.
type Limits struct {
	// Ratio is the number of retries allowed for each call.
	Ratio float64
	// Slack is the number of retries allowed in each window in addition to
	// those.
	Slack float64
	// Window is the sliding time window in which calls and retries are counted.
	Window time.Duration
}

// DefaultLimits returns limits of one retry for every five calls.
func DefaultLimits() Limits {
	return Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
}

const (
	// _usableShare is the share of the limits that nodes spend. The rest covers
	// the calls that a retried call in turn makes again, which no node can tell
	// from first calls.
	_usableShare = 0.7
	// _bucketsPerWindow is the number of buckets that a window is divided into.
	// One more is kept: the counts of the oldest bucket stay until all of it
	// has left the window.
	_bucketsPerWindow = 20
	_bucketCount      = _bucketsPerWindow + 1
)

// Budget is one node's part of the retry budget for one service. It is safe for
// concurrent use.
type Budget struct {
	limits Limits

	mu sync.Mutex
	// calls and retries hold the counts of the newest buckets, indexed by
	// bucket number modulo _bucketCount.
	calls   [_bucketCount]int
	retries [_bucketCount]int
	// newestBucket is the number of the newest bucket since the Unix epoch.
	newestBucket int64
}

// New returns an unspent budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits}
}

// RecordCall counts one call to the service.
func (b *Budget) RecordCall(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.calls[b.newestBucket%_bucketCount]++
}

// AllowRetry reports whether a retry is allowed, and if so spends it. The slack
// is divided evenly between the given number of nodes.
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

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	newest := now.UnixNano() / int64(b.limits.Window/_bucketsPerWindow)
	steps := newest - b.newestBucket
	if steps <= 0 {
		return
	}
	for i := range min(steps, _bucketCount) {
		bucket := (newest - i) % _bucketCount
		b.calls[bucket] = 0
		b.retries[bucket] = 0
	}
	b.newestBucket = newest
}

// Budgets holds a budget for each key, such as a service name.
type Budgets[K comparable] struct {
	limits Limits
	byKey  sync.Map
}

// NewBudgets returns an empty set of budgets with the given limits each.
func NewBudgets[K comparable](limits Limits) *Budgets[K] {
	return &Budgets[K]{limits: limits}
}

// For returns the budget of a key, and creates it on first use.
func (b *Budgets[K]) For(key K) *Budget {
	if found, ok := b.byKey.Load(key); ok {
		return found.(*Budget) //nolint:forcetypeassert // The map holds budgets only.
	}
	found, _ := b.byKey.LoadOrStore(key, New(b.limits))
	return found.(*Budget) //nolint:forcetypeassert // The map holds budgets only.
}
