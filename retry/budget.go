// Package retry bounds retries to a share of the calls, so that a fault does
// not multiply the load that it meets.
package retry

import (
	"sync"
	"time"
)

// Limits bounds the retries of one service.
type Limits struct {
	// Ratio is how many retries each call earns.
	Ratio float64
	// PerSecond is how many retries are earned each second without calls.
	PerSecond float64
	// Most is how many retries can be saved up.
	Most float64
}

// DefaultLimits returns limits of one retry for five calls.
func DefaultLimits() Limits {
	return Limits{Ratio: 0.2, PerSecond: 1, Most: 50}
}

// Budget holds what is left for the retries of one service. It is safe for
// concurrent use.
type Budget struct {
	limits Limits

	mu sync.Mutex
	// left is from 0 to Most.
	left float64
	// refilled is when PerSecond was last added.
	refilled time.Time
}

// New returns a full budget.
func New(now time.Time, limits Limits) *Budget {
	return &Budget{limits: limits, left: limits.Most, refilled: now}
}

// Called adds what one call earns.
func (b *Budget) Called(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.left = min(b.limits.Most, b.left+b.limits.Ratio)
}

// Take reports whether a retry is allowed, and spends it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.left = min(b.limits.Most, b.left+elapsed.Seconds()*b.limits.PerSecond)
		b.refilled = now
	}
}

// Budgets holds a budget for each service.
type Budgets[K comparable] struct {
	limits Limits
	byKey  sync.Map
}

// NewBudgets returns budgets that start full at first use.
func NewBudgets[K comparable](limits Limits) *Budgets[K] {
	return &Budgets[K]{limits: limits}
}

// For returns the budget of a key.
func (b *Budgets[K]) For(now time.Time, key K) *Budget {
	if found, ok := b.byKey.Load(key); ok {
		return found.(*Budget) //nolint:forcetypeassert // The map holds budgets only.
	}
	found, _ := b.byKey.LoadOrStore(key, New(now, b.limits))
	return found.(*Budget) //nolint:forcetypeassert // The map holds budgets only.
}
