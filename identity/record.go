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

const _shardCount = 16

// Record remembers identities for at least its lifetime, and for less than
// twice that. It is safe for concurrent use; its memory is bounded.
type Record struct {
	shards [_shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	lifetime time.Duration
	// maxPerGeneration bounds the identities in one generation.
	maxPerGeneration int
	current          map[string]struct{}
	previous         map[string]struct{}
	// rotatedAt is when current was begun.
	rotatedAt time.Time
}

// New returns a record that remembers at most the given number of identities
// in each lifetime.
func New(now time.Time, lifetime time.Duration, maxIdentities int) *Record {
	r := &Record{}
	for i := range r.shards {
		s := &r.shards[i]
		s.lifetime = lifetime
		s.maxPerGeneration = max(1, maxIdentities/_shardCount)
		s.current = make(map[string]struct{})
		s.rotatedAt = now
	}
	return r
}

// Claim claims an identity.
func (r *Record) Claim(now time.Time, id string) Result {
	s := &r.shards[xxhash.Sum64String(id)%_shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if _, ok := s.current[id]; ok {
		return Duplicate
	}
	if _, ok := s.previous[id]; ok {
		return Duplicate
	}
	if len(s.current) >= s.maxPerGeneration {
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
		n += len(s.current) + len(s.previous)
		s.mu.Unlock()
	}
	return n
}

func (s *shard) rotate(now time.Time) {
	age := now.Sub(s.rotatedAt)
	if age < s.lifetime {
		return
	}
	s.previous = s.current
	if age >= 2*s.lifetime {
		s.previous = nil
	}
	s.current = make(map[string]struct{})
	s.rotatedAt = now
}
