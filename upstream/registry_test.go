package upstream

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	_start   = time.Unix(1_800_000_000, 0)
	_address = netip.MustParseAddrPort("10.0.0.7:8080")
)

// announcement returns a valid announcement with a change applied, if any.
func announcement(change func(*Announcement)) Announcement {
	a := Announcement{ID: "u1", Service: "desk", Version: "v1", Address: _address, Slots: 9, Sequence: 1, Incarnation: 100}
	if change != nil {
		change(&a)
	}
	return a
}

func stateAt(r *Registry, now time.Time) State {
	_, state := r.Current(now)
	return state
}

// An upstream is cold for the time that it announced, and absent once it has
// neither announced itself nor answered a call for _absentAfter.
func TestColdThenReadyThenAbsent(t *testing.T) {
	r := New("desk", _address)
	assert.Equal(t, stateAt(r, _start), Absent)
	assert.Equal(t, r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.ColdFor = time.Second })), Accepted)
	assert.Equal(t, stateAt(r, _start), Cold)
	assert.Equal(t, stateAt(r, _start.Add(time.Second)), Ready)
	r.MarkReachable(_start.Add(time.Second), "u1")
	assert.Equal(t, stateAt(r, _start.Add(_absentAfter)), Ready)
	assert.Equal(t, stateAt(r, _start.Add(_absentAfter+time.Second)), Absent)
}

// An instance that announced that it leaves accepts no more calls, regardless
// of its announcements that arrive later.
func TestLeavingIsFinal(t *testing.T) {
	r := New("desk", _address)
	r.HandleAnnouncement(_start, announcement(nil))
	assert.Equal(t, r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Sequence, a.Leaving = 3, true })), Accepted)
	assert.Equal(t, r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Sequence = 2 })), Stale)
	assert.Equal(t, stateAt(r, _start), Leaving)
	assert.Equal(t, r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Sequence = 4 })), Accepted)
	assert.Equal(t, stateAt(r, _start), Leaving)
	// The next incarnation under the same ID is another instance.
	assert.Equal(t, r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Incarnation = 200 })), Accepted)
	assert.Equal(t, stateAt(r, _start), Ready)
	// A delayed announcement of the previous incarnation changes nothing.
	assert.Equal(t, r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Sequence, a.Leaving = 9, true })), Stale)
	assert.Equal(t, stateAt(r, _start), Ready)
}

// An announcement of leaving takes effect even if a newer one overtook it.
func TestOutOfOrderLeavingIsHonored(t *testing.T) {
	r := New("desk", _address)
	r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Sequence = 5 }))
	assert.Equal(t, r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Sequence, a.Leaving = 4, true })), Stale)
	assert.Equal(t, stateAt(r, _start), Leaving)
}

// A reported departure only affects the upstream with that ID.
func TestHandleDeparture(t *testing.T) {
	r := New("desk", _address)
	r.HandleAnnouncement(_start, announcement(nil))
	assert.Equal(t, r.HandleDeparture("other"), Stale)
	assert.Equal(t, stateAt(r, _start), Ready)
	assert.Equal(t, r.HandleDeparture("u1"), Accepted)
	assert.Equal(t, stateAt(r, _start), Leaving)
}

// An announcement of another upstream has no effect, even if it says that its
// instance is leaving.
func TestForeignAnnouncements(t *testing.T) {
	r := New("desk", _address)
	r.HandleAnnouncement(_start, announcement(nil))
	for name, change := range map[string]func(*Announcement){
		"no ID":           func(a *Announcement) { a.ID = "" },
		"no slots":        func(a *Announcement) { a.Slots = 0 },
		"another service": func(a *Announcement) { a.Service = "other" },
		"another address": func(a *Announcement) { a.Address = netip.MustParseAddrPort("10.0.0.8:8080") },
	} {
		foreign := announcement(func(a *Announcement) { a.Sequence, a.Leaving = 9, true; change(a) })
		assert.Equal(t, r.HandleAnnouncement(_start, foreign), Foreign, name)
		assert.Equal(t, stateAt(r, _start), Ready, name)
	}
}

func TestUnreachableUntilNextAnnouncement(t *testing.T) {
	r := New("desk", _address)
	r.HandleAnnouncement(_start, announcement(nil))
	r.MarkUnreachable("u1")
	assert.Equal(t, stateAt(r, _start), Absent)
	r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Sequence = 2 }))
	assert.Equal(t, stateAt(r, _start), Ready)
}

// A departure that an earlier process of the node confirmed also applies in the
// next process, after RestoreDeparture, but only to that incarnation.
func TestRestoredDepartureIsHonored(t *testing.T) {
	r := New("desk", _address)
	r.RestoreDeparture(Instance{ID: "u1", Incarnation: 100})
	assert.Equal(t, r.HandleAnnouncement(_start, announcement(nil)), Accepted)
	assert.Equal(t, stateAt(r, _start), Leaving)
	assert.Equal(t, r.LastDeparted(), Instance{ID: "u1", Incarnation: 100})
	assert.Equal(t, r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Incarnation = 200 })), Accepted)
	assert.Equal(t, stateAt(r, _start), Ready)
}

// The departure of an unknown process applies to announcements that the process
// sent before; a process that starts later with the same ID is another
// instance.
func TestDepartureBeforeAnyAnnouncement(t *testing.T) {
	r := New("desk", _address)
	assert.Equal(t, r.HandleDeparture("u1"), Stale)
	r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Sequence = 5 }))
	assert.Equal(t, stateAt(r, _start), Leaving)
	r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.Incarnation = 200 }))
	assert.Equal(t, stateAt(r, _start), Ready)
}

func TestRefusedConnectionOfEarlierProcess(t *testing.T) {
	r := New("desk", _address)
	r.HandleAnnouncement(_start, announcement(nil))
	r.HandleAnnouncement(_start, announcement(func(a *Announcement) { a.ID, a.Incarnation = "u2", 200 }))
	r.MarkUnreachable("u1")
	assert.Equal(t, stateAt(r, _start), Ready)
}
