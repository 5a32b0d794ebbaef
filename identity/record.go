// Package identity remembers the identities of calls that must run at most
// once, for as long as a duplicate can still arrive.
package identity

import (
	"crypto/sha256"
	"sync"
	"time"
)

// Result is the result of claiming an identity.
type Result int

// The results of claiming an identity.
const (
	// First means that the identity was not claimed before.
	First Result = iota + 1
	// Duplicate means that the identity was already claimed.
	Duplicate
	// Full means that the record has no capacity left: the call must not run.
	Full
)

// _shardCount is the number of shards, which reduce lock contention.
const _shardCount = 16

// Record remembers each claimed identity for at least one lifetime and less
// than three. Its memory is bounded. It is safe for concurrent use.
type Record struct {
	shards [_shardCount]shard
}

// digest identifies an identity in the memory of one, however long it is. Only a
// cryptographic hash keeps callers from choosing identities that share one.
type digest [16]byte

func newDigest(id string) digest {
	sum := sha256.Sum256([]byte(id))
	return digest(sum[:len(digest{})])
}

// shard holds a part of the identities, selected by their hashes, in two
// generations. The first claim after the current generation is a lifetime old
// starts a new one and drops the older of the two as a whole.
type shard struct {
	mu       sync.Mutex
	lifetime time.Duration
	// maxPerGeneration bounds the number of identities in one generation.
	maxPerGeneration int
	current          map[digest]struct{}
	previous         map[digest]struct{}
	// rotatedAt is when current was started.
	rotatedAt time.Time
}

// New returns a record that accepts at most maxIdentities new identities in
// each lifetime.
func New(now time.Time, lifetime time.Duration, maxIdentities int) *Record {
	r := &Record{}
	for i := range r.shards {
		s := &r.shards[i]
		s.lifetime = lifetime
		s.maxPerGeneration = max(1, maxIdentities/_shardCount)
		s.current = make(map[digest]struct{})
		s.rotatedAt = now
	}
	return r
}

// Claim claims the identity of a call. The call may run only if the result is
// First.
func (r *Record) Claim(now time.Time, id string) Result {
	key := newDigest(id)
	s := &r.shards[key[0]%_shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if _, ok := s.current[key]; ok {
		return Duplicate
	}
	if _, ok := s.previous[key]; ok {
		return Duplicate
	}
	if len(s.current) >= s.maxPerGeneration {
		return Full
	}
	s.current[key] = struct{}{}
	return First
}

// Len returns the number of stored identities, including expired ones that were
// not dropped yet.
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

// rotate starts a new generation when the current one is a lifetime old.
func (s *shard) rotate(now time.Time) {
	age := now.Sub(s.rotatedAt)
	if age < s.lifetime {
		return
	}
	s.previous = s.current
	if age >= 2*s.lifetime {
		s.previous = nil
	}
	s.current = make(map[digest]struct{})
	s.rotatedAt = now
}
