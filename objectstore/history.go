package objectstore

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// An era of a store lasts until the store is restored from a copy. What the
// store acknowledged after the copy was made is then lost, and its revisions
// are given out again, so that a revision has a meaning only within its era.

const (
	// _revisionsPerEra is the number of versions of an era; a power of ten, so
	// that era and revision can be read off a version.
	_revisionsPerEra = 1_000_000_000_000
	// _maxEra is the highest era whose versions are representable.
	_maxEra = 1_000_000
)

// VersionAt returns the version of the change that has a revision in an era.
// Versions of a later era are higher than all those of the eras before. The
// error is that of an era or a revision that is out of range.
func VersionAt(era, revision uint64) (uint64, error) {
	if era > _maxEra || revision >= _revisionsPerEra {
		return 0, errors.Newf("revision %d of era %d is out of range", revision, era)
	}
	return era*_revisionsPerEra + revision, nil
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 {
	return version / _revisionsPerEra
}

// RevisionOf returns the revision that a version has in its era.
func RevisionOf(version uint64) uint64 {
	return version % _revisionsPerEra
}

// EraRelation is how the era of a response relates to the newest known era.
type EraRelation int

// The relations of a response's era.
const (
	// CurrentEra means that the response is of the newest known era.
	CurrentEra EraRelation = iota + 1
	// NewEra means that the store was restored since the responses before.
	NewEra
	// EndedEra means that the response is of an era that has ended; what it says
	// may have been lost since.
	EndedEra
	// UnstatedEra means that the response doesn't say its era although those
	// before did. It is not the store's own.
	UnstatedEra
)

// History is what a client knows of the eras of its store. It is safe for
// concurrent use.
type History struct {
	mu    sync.Mutex
	era   uint64
	known bool
}

// Observe records the era of a response.
func (h *History) Observe(era uint64) EraRelation {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.known || era == h.era:
		h.era, h.known = era, true
		return CurrentEra
	case era > h.era:
		h.era = era
		return NewEra
	default:
		return EndedEra
	}
}

// ObserveUnstated records a response that doesn't say its era, as those of a
// store without eras do.
func (h *History) ObserveUnstated() EraRelation {
	if era, known := h.Era(); known && era > 0 {
		return UnstatedEra
	}
	return h.Observe(0)
}

// Era returns the newest known era, and false before the first response.
func (h *History) Era() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.era, h.known
}
