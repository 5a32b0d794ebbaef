package call

import "sync/atomic"

// BufferBudget bounds the bytes of bodies that a node keeps in memory at the same
// time. It is safe for concurrent use. A nil budget has no bound.
type BufferBudget struct {
	limit int64
	held  atomic.Int64
	// whole is the budget that this one is a part of; nil for none.
	whole *BufferBudget
}

// NewBufferBudget returns a budget of the given number of bytes.
func NewBufferBudget(limit int64) *BufferBudget {
	return &BufferBudget{limit: limit}
}

// Part returns a budget of the given number of bytes, which count against b as
// well.
func (b *BufferBudget) Part(limit int64) *BufferBudget {
	return &BufferBudget{limit: limit, whole: b}
}

// Held returns the number of bytes that are kept now.
func (b *BufferBudget) Held() int64 {
	return b.held.Load()
}

// Reserve counts n more bytes and returns true if there is room for them.
func (b *BufferBudget) Reserve(n int) bool {
	if b == nil {
		return true
	}
	if b.held.Add(int64(n)) <= b.limit && b.whole.Reserve(n) {
		return true
	}
	b.held.Add(-int64(n))
	return false
}

// Release ends the reservation of n bytes.
func (b *BufferBudget) Release(n int) {
	if b != nil {
		b.held.Add(-int64(n))
		b.whole.Release(n)
	}
}

// heldBytes are the bytes that are reserved for one body.
type heldBytes struct {
	budget *BufferBudget
	bytes  int
}

// add reserves n more bytes and returns true if there is room for them.
func (h *heldBytes) add(n int) bool {
	if !h.budget.Reserve(n) {
		return false
	}
	h.bytes += n
	return true
}

// release ends the reservation.
func (h *heldBytes) release() {
	h.budget.Release(h.bytes)
	h.bytes = 0
}
