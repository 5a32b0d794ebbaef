// Package quarantine excludes a bad candidate version from a zone's traffic
// without waiting for the platform. A quarantine belongs to one rollout and can
// only lower the candidate's share.
package quarantine

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
)

// AllZones is the zone of a quarantine that applies in all zones.
const AllZones membership.Zone = ""

// Quarantine excludes one candidate version from the traffic of one zone, or of
// all zones.
type Quarantine struct {
	Rollout string
	Zone    membership.Zone
	Service config.ServiceName
	Version config.VersionName
	Reason  string
}

// key identifies a quarantine: there is at most one for a rollout and zone.
type key struct {
	rollout string
	zone    membership.Zone
}

// _maxQuarantines bounds the number of stored quarantines.
const _maxQuarantines = 256

// Set holds the known quarantines. The sets of different nodes converge
// regardless of the order in which they exchange quarantines. It is safe for
// concurrent use.
type Set struct {
	mu          sync.Mutex
	quarantines map[key]Quarantine
	// view is a copy of quarantines for lock-free reads.
	view atomic.Pointer[map[key]Quarantine]
}

// New returns an empty set.
func New() *Set {
	s := &Set{quarantines: make(map[key]Quarantine)}
	s.publish()
	return s
}

// publish replaces the view. The caller holds s.mu.
func (s *Set) publish() {
	view := make(map[key]Quarantine, len(s.quarantines))
	for k, q := range s.quarantines {
		view[k] = q
	}
	s.view.Store(&view)
}

// Add adds a quarantine and reports whether it was added. It is not added if it
// is already known or the set is full.
func (s *Set) Add(q Quarantine) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{rollout: q.Rollout, zone: q.Zone}
	if _, ok := s.quarantines[k]; ok || len(s.quarantines) >= _maxQuarantines {
		return false
	}
	s.quarantines[k] = q
	s.publish()
	return true
}

// Prune drops the quarantines of rollouts that are not active. If a rollout is
// merely not known to this node yet, its quarantine arrives again with the next
// exchange.
func (s *Set) Prune(isActive func(rollout string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.quarantines {
		if !isActive(k.rollout) {
			delete(s.quarantines, k)
		}
	}
	s.publish()
}

// InAllZones reports whether a rollout's candidate is quarantined in all zones.
func (s *Set) InAllZones(rollout string) bool {
	_, ok := (*s.view.Load())[key{rollout: rollout, zone: AllZones}]
	return ok
}

// ExcludedVersion returns the version of a service that is quarantined in a
// zone, empty if none is.
func (s *Set) ExcludedVersion(zone membership.Zone, service config.Service) config.VersionName {
	if service.Rollout.ID == "" {
		return ""
	}
	q, ok := (*s.view.Load())[key{rollout: service.Rollout.ID, zone: zone}]
	if !ok || q.Version != service.Rollout.Candidate {
		return ""
	}
	return q.Version
}

// All returns the quarantines, sorted by rollout and zone.
func (s *Set) All() []Quarantine {
	view := *s.view.Load()
	all := make([]Quarantine, 0, len(view))
	for _, q := range view {
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b Quarantine) int {
		if c := strings.Compare(a.Rollout, b.Rollout); c != 0 {
			return c
		}
		return strings.Compare(string(a.Zone), string(b.Zone))
	})
	return all
}
