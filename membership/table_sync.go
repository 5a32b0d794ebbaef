package membership

import "time"

// ZoneDigest summarizes a node's records of one zone.
type ZoneDigest struct {
	Zone Zone
	// Hash is the XOR of the hashes of all records of the zone.
	Hash uint64
	// Age is the time since the records were current in the zone itself.
	Age time.Duration
}

// Digests returns the digests of all zones whose age is known.
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

// RecordsToSync compares another node's digests with this table and returns all
// records of the zones that differ. For zones of which the other node sent a
// digest, it does so at most once per SyncInterval.
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

// syncDue reports whether the records of a zone are to be sent now, and stores
// the time if so. If known is false, the other node sent no digest of the zone.
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

// ObserveAges lowers the ages of this table's records to those of another node,
// for each zone in which that node has more recent ones.
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
