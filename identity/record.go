// Package identity remembers the identities of calls that must run at most
// once, for as long as a duplicate can still arrive.
package identity

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Result tells what a record knows of an identity.
type Result int

// The results of claiming an identity.
const (
	// First means that the identity was not claimed before.
	First Result = iota + 1
	// Duplicate means that the identity was claimed before.
	Duplicate
	// Full means that the record has no room: the call must not run.
	Full
)

const _shards = 16

// Record remembers identities for at least its lifetime, and for less than
// twice that. It is safe for concurrent use; its memory is bounded.
type Record struct {
	shards [_shards]shard
}

type shard struct {
	mu       sync.Mutex
	lifetime time.Duration
	// most bounds the identities in one generation.
	most    int
	current map[string]struct{}
	older   map[string]struct{}
	// rotated is when current was begun.
	rotated time.Time
}

// New returns a record that remembers at most the given number of identities
// in each lifetime.
func New(now time.Time, lifetime time.Duration, most int) *Record {
	r := &Record{}
	for i := range r.shards {
		s := &r.shards[i]
		s.lifetime = lifetime
		s.most = max(1, most/_shards)
		s.current = make(map[string]struct{})
		s.rotated = now
	}
	return r
}

// Claim claims an identity.
func (r *Record) Claim(now time.Time, id string) Result {
	s := &r.shards[xxhash.Sum64String(id)%_shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if _, ok := s.current[id]; ok {
		return Duplicate
	}
	if _, ok := s.older[id]; ok {
		return Duplicate
	}
	if len(s.current) >= s.most {
		return Full
	}
	s.current[id] = struct{}{}
	return First
}

// Len returns how many identities are remembered.
func (r *Record) Len() int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		n += len(s.current) + len(s.older)
		s.mu.Unlock()
	}
	return n
}

func (s *shard) rotate(now time.Time) {
	age := now.Sub(s.rotated)
	if age < s.lifetime {
		return
	}
	s.older = s.current
	if age >= 2*s.lifetime {
		s.older = nil
	}
	s.current = make(map[string]struct{})
	s.rotated = now
}
