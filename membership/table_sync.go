package membership

import "time"

// ZoneDigest sums up what a node knows of one zone.
type ZoneDigest struct {
	Zone Zone
	Hash uint64
	// Age is the time since the state left the zone.
	Age time.Duration
}

// Digests sums up each zone.
func (t *Table) Digests(now time.Time) []ZoneDigest {
	names := t.zoneNames()
	digests := make([]ZoneDigest, 0, len(names))
	for _, zone := range names {
		s := t.shard(zone)
		s.mu.Lock()
		if !s.asOf.IsZero() {
			digests = append(digests, ZoneDigest{Zone: zone, Hash: s.hash, Age: now.Sub(s.asOf)})
		}
		s.mu.Unlock()
	}
	return digests
}

// RecordsToSync takes in another node's digests and returns the records of the
// zones in which the two differ. A zone is returned at most once each
// SyncEvery.
func (t *Table) RecordsToSync(now time.Time, digests []ZoneDigest) []Member {
	theirs := make(map[Zone]ZoneDigest, len(digests))
	for _, d := range digests {
		theirs[d.Zone] = d
	}
	var members []Member
	for _, zone := range t.zoneNames() {
		digest, known := theirs[zone]
		if t.syncDue(now, zone, digest, known) {
			members = append(members, t.ZoneMembers(zone)...)
		}
	}
	return members
}

func (t *Table) syncDue(now time.Time, zone Zone, theirs ZoneDigest, known bool) bool {
	s := t.shard(zone)
	s.mu.Lock()
	defer s.mu.Unlock()
	if known && theirs.Hash == s.hash {
		return false
	}
	if known && !s.lastSync.IsZero() && now.Sub(s.lastSync) < t.timing.SyncInterval {
		return false
	}
	s.lastSync = now
	return true
}

// ObserveAges takes in how old another node's state of each zone is.
func (t *Table) ObserveAges(now time.Time, digests []ZoneDigest) {
	for _, d := range digests {
		s := t.shard(d.Zone)
		at := now.Add(-d.Age)
		s.mu.Lock()
		if at.After(s.asOf) {
			s.asOf = at
		}
		s.mu.Unlock()
	}
}
