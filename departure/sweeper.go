package departure

import (
	"time"

	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/objectstore"
)

// _logRetention is how long the log of a node that is gone is kept. It is far
// longer than an upstream runs on after its departure.
const _logRetention = time.Hour

// Sweeper finds the stored logs of nodes that are gone for good. It does no I/O.
type Sweeper struct {
	// orphaned holds the logs whose node was no member at the last call.
	orphaned map[objectstore.Key]orphan
}

// orphan is a log whose node is no member.
type orphan struct {
	version uint64
	// since is when it was first found at this version.
	since time.Time
}

// NewSweeper returns a sweeper that knows no logs.
func NewSweeper() *Sweeper {
	return &Sweeper{orphaned: make(map[objectstore.Key]orphan)}
}

// Expired returns those of the stored logs that have not changed and whose nodes
// have been no members at any call for _logRetention.
func (s *Sweeper) Expired(now time.Time, logs []objectstore.Object, isMember func(membership.NodeID) bool) []objectstore.Object {
	orphaned := make(map[objectstore.Key]orphan)
	var expired []objectstore.Object
	for _, log := range logs {
		if isMember(membership.NodeID(log.Key.Name)) {
			continue
		}
		found, known := s.orphaned[log.Key]
		if !known || found.version != log.Version {
			found = orphan{version: log.Version, since: now}
		}
		orphaned[log.Key] = found
		if now.Sub(found.since) >= _logRetention {
			expired = append(expired, log)
		}
	}
	s.orphaned = orphaned
	return expired
}
