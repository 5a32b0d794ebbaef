package membership

import (
	"slices"
	"time"
)

// NextProbe returns the next member of this node's zone to probe. Each is
// probed once per round, in random order. It returns false if the round has no
// live member left.
func (t *Table) NextProbe() (Member, bool) {
	t.probeMu.Lock()
	defer t.probeMu.Unlock()
	self := t.Self()
	if len(t.probeOrder) == 0 {
		for _, m := range t.ZoneMembers(self.Zone) {
			t.probeOrder = append(t.probeOrder, m.ID)
		}
		t.rnd.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	}
	for len(t.probeOrder) > 0 {
		id := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
		m, ok := t.Member(self.Zone, id)
		if ok && id != self.ID && !m.State.Gone() {
			return m, true
		}
	}
	return Member{}, false
}

// RandomMember returns a random member of a zone, never this node nor one that
// has left. It prefers live members, but occasionally returns a failed one, so
// that partitioned zones find each other again. It returns false if there is no
// such member.
func (t *Table) RandomMember(zone Zone) (Member, bool) {
	self := t.Self()
	var live, failed []Member
	for _, m := range t.ZoneMembers(zone) {
		switch {
		case m.ID == self.ID || m.State == Left:
		case m.State == Failed:
			failed = append(failed, m)
		default:
			live = append(live, m)
		}
	}
	t.probeMu.Lock()
	defer t.probeMu.Unlock()
	if len(live) == 0 || len(failed) > 0 && t.rnd.IntN(_failedMemberOdds) == 0 {
		live = failed
	}
	if len(live) == 0 {
		return Member{}, false
	}
	return live[t.rnd.IntN(len(live))], true
}

// OtherZones returns the known zones except this node's own, sorted.
func (t *Table) OtherZones() []Zone {
	own := t.Self().Zone
	return slices.DeleteFunc(t.zoneNames(), func(z Zone) bool { return z == own })
}

// RandomPeers returns up to n random members of this node's zone, without the
// given one and those that are suspected, failed or have left. They serve, for
// example, as helpers for indirect probes.
func (t *Table) RandomPeers(except NodeID, n int) []Member {
	self := t.Self()
	members := slices.DeleteFunc(t.ZoneMembers(self.Zone), func(m Member) bool {
		return m.ID == self.ID || m.ID == except || m.State.Gone() || m.Suspected
	})
	t.probeMu.Lock()
	t.rnd.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	t.probeMu.Unlock()
	return members[:min(n, len(members))]
}

// Suspect marks a member of this node's zone as suspected after it answered
// neither a direct nor an indirect probe.
func (t *Table) Suspect(now time.Time, id NodeID) {
	m, ok := t.Member(t.Self().Zone, id)
	if !ok || m.State.Gone() || m.Suspected {
		return
	}
	m.Suspected = true
	t.Merge(now, m)
}

// Tick marks the members of this node's zone as failed whose suspicion timeout
// has passed, drops expired tombstones, and returns the newly failed members.
func (t *Table) Tick(now time.Time) []Member {
	self := t.Self()
	var failed []Member
	for _, zone := range t.zoneNames() {
		s := t.shard(zone)
		s.mu.Lock()
		for id, r := range s.members {
			switch {
			case zone == self.Zone && r.member.Suspected && !r.member.State.Gone() && now.Sub(r.updatedAt) >= t.timing.SuspicionTimeout:
				m := r.member
				m.State = Failed
				m.Suspected = false
				failed = append(failed, m)
			case r.member.State.Gone() && now.Sub(r.updatedAt) >= t.timing.TombstoneTTL:
				s.hash ^= r.member.Hash()
				delete(s.members, id)
				t.markChanged()
			}
		}
		if zone == self.Zone {
			s.asOf = now
		}
		s.mu.Unlock()
	}
	for _, m := range failed {
		t.Merge(now, m)
	}
	return failed
}
