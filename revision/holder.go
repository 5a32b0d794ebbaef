package revision

import (
	"sync"
	"sync/atomic"
)

// OfferResult is the result of offering a snapshot.
type OfferResult int

// The results of an offer.
const (
	// Applied means that the snapshot is now the current one.
	Applied OfferResult = iota + 1
	// Stale means that the current snapshot is the same or newer.
	Stale
)

// Refusal is a revision that could not be applied.
type Refusal struct {
	// Number is 0 if no revision newer than the current one was refused.
	Number uint64
	Reason string
}

// Holder holds a node's current snapshot, whose number never decreases. It is
// safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu sync.Mutex
	// recent holds the manifests of the revisions before the current one,
	// oldest first.
	recent []Manifest
	// refusal is the newest revision that could not be applied.
	refusal Refusal
	// changed is closed when the current snapshot is replaced.
	changed chan struct{}
}

// _recentManifests is the number of earlier manifests that diffs can start
// from. Nodes are a few revisions behind at most, and a manifest with 800
// routes takes 60 KB.
const _recentManifests = 4

// NewHolder returns a holder without a snapshot.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Current returns the current snapshot, or nil before the first one.
func (h *Holder) Current() *Snapshot {
	return h.current.Load()
}

// Number returns the number of the current revision, or 0 before the first one.
func (h *Holder) Number() uint64 {
	if s := h.Current(); s != nil {
		return s.Manifest.Number
	}
	return 0
}

// Offer makes the snapshot the current one if its number is higher.
func (h *Holder) Offer(s *Snapshot) OfferResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old != nil && old.Manifest.Number >= s.Manifest.Number {
		return Stale
	}
	if old != nil {
		h.recent = append(h.recent, old.Manifest)
	}
	if extra := len(h.recent) - _recentManifests; extra > 0 {
		h.recent = append([]Manifest(nil), h.recent[extra:]...)
	}
	if h.refusal.Number <= s.Manifest.Number {
		h.refusal = Refusal{}
	}
	h.current.Store(s)
	close(h.changed)
	h.changed = make(chan struct{})
	return Applied
}

// Refuse records a revision that could not be applied, with the reason.
// Revisions that are not newer than the current one are ignored.
func (h *Holder) Refuse(number uint64, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if number > h.Number() && number >= h.refusal.Number {
		h.refusal = Refusal{Number: number, Reason: reason}
	}
}

// Refusal returns the newest revision that could not be applied.
func (h *Holder) Refusal() Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusal
}

// Changed returns a channel that is closed when the current snapshot is next
// replaced.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// RecentManifest returns the manifest of one of the last revisions before the
// current one, and whether it is still held.
func (h *Holder) RecentManifest(number uint64) (Manifest, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.recent {
		if m.Number == number {
			return m, true
		}
	}
	return Manifest{}, false
}
