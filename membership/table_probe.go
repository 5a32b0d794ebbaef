package membership

import (
	"slices"
	"time"
)

// NextProbe returns the member of this zone to probe next, in a random order
// in which each is probed once a round.
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

// RandomMember returns a random member of a zone that has not left: a live one
// where there is one, and now and then one that counts as failed, so that
// zones that were cut apart find each other again.
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

// OtherZones returns the known zones but this node's, sorted.
func (t *Table) OtherZones() []Zone {
	own := t.Self().Zone
	return slices.DeleteFunc(t.zoneNames(), func(z Zone) bool { return z == own })
}

// RandomPeers returns up to n members to probe a silent one indirectly.
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

// Suspect records that a member answered neither a direct nor an indirect
// probe: it becomes suspected.
func (t *Table) Suspect(now time.Time, id NodeID) {
	m, ok := t.Member(t.Self().Zone, id)
	if !ok || m.State.Gone() || m.Suspected {
		return
	}
	m.Suspected = true
	t.Merge(now, m)
}

// Tick fails the members of this zone whose suspicion has lasted too long,
// forgets old tombstones and returns the newly failed.
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
