// Package objectstore holds the types and the HTTP client of the platform's
// object API: versioned objects, conditional writes and watches.
package objectstore

import (
	"github.com/cockroachdb/errors"
)

// Kind names a collection of objects.
type Kind string

// The kinds of objects that the system keeps on the platform.
const (
	// KindHead holds a single object with the current revision.
	KindHead Kind = "head"
	// KindResource holds configuration resources by content hash.
	KindResource Kind = "resource"
	// KindRollout holds the last rollout of each service that has had one.
	KindRollout Kind = "rollout"
	// KindLease holds leases.
	KindLease Kind = "lease"
	// KindRoster holds the addresses of nodes that a starting node contacts
	// first, one object for each zone.
	KindRoster Kind = "roster"
	// KindDeparture holds the confirmed departures of upstreams, one object for
	// each node.
	KindDeparture Kind = "departure"
)

// MaxValueBytes is the maximum size of an object's value, in bytes.
const MaxValueBytes = 1 << 20

// Key identifies an object.
type Key struct {
	Kind Kind
	Name string
}

// String returns the key as "kind/name".
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Object is a stored value and its version. Versions grow across the whole
// store and its eras, so that no two writes have the same one.
type Object struct {
	Key     Key
	Version uint64
	Value   []byte
}

// Event is a change of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// EventBatch is the result of one watch call.
type EventBatch struct {
	Events []Event
	// Next is the version that the next watch starts after.
	Next uint64
}

// WriteResult says whether a write took effect.
type WriteResult int

// The results of a write.
const (
	// Written means that the write took effect.
	Written WriteResult = iota + 1
	// NotWritten means that the write did not and will not take effect.
	NotWritten
	// Unknown means that the write may have taken effect, or may still do so.
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

// WriteOutcome is the result of a write with its version or error.
type WriteOutcome struct {
	Result WriteResult
	// Version is the object's new version; 0 unless Result is Written.
	Version uint64
	// Err is the cause; nil when Result is Written.
	Err error
}

// Errors of reads and writes.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the condition of a write did not hold.
	ErrConflict = errors.New("object version conflict")
	// ErrCompacted means that the history a watch asked for is no longer kept;
	// list the objects again.
	ErrCompacted = errors.New("watch history compacted")
	// ErrUnavailable means that the platform gave no usable response.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)
