// Package objectstore holds the types and the HTTP client for the platform's
// object API: objects with versions, conditional updates and watches.
package objectstore

import (
	"github.com/cockroachdb/errors"
)

// Kind names a collection of objects.
type Kind string

// The kinds of objects that the system keeps on the platform.
const (
	// KindHead holds the one object that carries the current revision.
	KindHead Kind = "head"
	// KindResource holds configuration resources by content hash.
	KindResource Kind = "resource"
	// KindRollout holds one object for each service that has been moved.
	KindRollout Kind = "rollout"
	// KindLease holds leases.
	KindLease Kind = "lease"
	// KindRoster holds first-contact addresses, an object for each zone.
	KindRoster Kind = "roster"
)

// MaxValueBytes is the largest value of an object, in bytes.
const MaxValueBytes = 1 << 20

// Key names an object.
type Key struct {
	Kind Kind
	Name string
}

// String returns the key as kind/name.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Object is a stored value and its version. Versions grow over the whole
// store, so that no two writes share one.
type Object struct {
	Key     Key
	Version uint64
	Value   []byte
}

// Event is one change of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// EventBatch is what one waiting watch returned.
type EventBatch struct {
	Events []Event
	// Next is the version to watch from next.
	Next uint64
}

// WriteResult tells whether a write took effect.
type WriteResult int

// The results of a write.
const (
	// Written means that the write took effect.
	Written WriteResult = iota + 1
	// NotWritten means that the write did not and will not take effect.
	NotWritten
	// Unknown means that the write may have taken effect.
	Unknown
)

// String returns the name of the result.
func (r WriteResult) String() string {
	switch r {
	case Written:
		return "written"
	case NotWritten:
		return "not written"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// WriteOutcome is the outcome of a write.
type WriteOutcome struct {
	Result WriteResult
	// Version is the version written; 0 unless Result is Written.
	Version uint64
	// Err is the cause; nil when Result is Written.
	Err error
}

// Errors of reads and causes of writes that did not take effect.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the condition of a write did not hold.
	ErrConflict = errors.New("object version conflict")
	// ErrCompacted means that a watch asked for history that is gone; list anew.
	ErrCompacted = errors.New("watch history compacted")
	// ErrUnavailable means that the platform gave no usable answer.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that a value is over MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)
