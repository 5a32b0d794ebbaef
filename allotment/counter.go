package allotment

import "time"

// pair is what was counted for one workspace.
type pair struct{ asked, admitted uint64 }

// counter counts for one workspace and remembers what was reported of it.
type counter struct {
	pair
	// sent is what the last report contained, and answered what the last one
	// that was answered contained.
	sent, answered pair
	ring           ring
}

// appendTo appends the count to a report if it belongs there.
func (c *counter) appendTo(r *Report, id WorkspaceID, now time.Time, window time.Duration) {
	c.sent = c.pair
	if !r.Full {
		if c.pair != c.answered {
			r.Counts = append(r.Counts, Count{Workspace: id, Asked: c.asked, Admitted: c.admitted})
		}
		return
	}
	count := Count{Workspace: id, Asked: c.asked, Admitted: c.admitted}
	for i, n := range c.ring.recent(now, window) {
		if n <= 0 {
			continue
		}
		for len(count.Recent) <= i {
			count.Recent = append(count.Recent, 0)
		}
		count.Recent[i] = uint32(n)
	}
	if c.pair != (pair{}) || len(count.Recent) > 0 {
		r.Counts = append(r.Counts, count)
	}
}

// sender numbers the reports of one source and decides which are full.
type sender struct {
	sequence uint64
	// receiver is the node that answered the last report; empty if the next
	// report has to be full.
	receiver string
}

func (s *sender) next(receiver string) (sequence uint64, full bool) {
	s.sequence++
	return s.sequence, s.receiver != receiver
}

// answered records the answer to a report and returns whether the receiver has
// taken its counts.
func (s *sender) answered(receiver string, st State) bool {
	s.receiver = receiver
	if st.Resend {
		s.receiver = ""
	}
	return !st.Resend
}

// source is what a receiver knows of the sender of reports.
type source struct {
	zone     string
	epoch    uint64
	sequence uint64
	nodes    int
	// vouchedSince is when the source's counts begin.
	vouchedSince time.Time
	heardAt      time.Time
	// late is set if no report has come for _lateAfter, and stale if none has
	// come for StaleAfter. A stale source is only kept for its counts.
	late, stale bool
	// continued is set if the last report continues earlier counts.
	continued bool
	counts    map[WorkspaceID]pair
}

// sources are the sources that a receiver has heard from, by name.
type sources map[string]*source

// accept records a report. It returns the previous state of the source, nil if
// there is none, and whether the report is to be counted. If resend is set, the
// source has to send a full report first.
func (s sources) accept(now time.Time, r Report) (src *source, counted, resend bool) {
	src, known := s[r.Source]
	if known && src.epoch == r.Epoch && r.Sequence <= src.sequence {
		return src, false, false
	}
	continued := known && src.epoch == r.Epoch
	if !r.Full && (!continued || src.stale || now.Sub(src.heardAt) > StaleAfter) {
		return nil, false, true
	}
	if !continued {
		src = &source{epoch: r.Epoch, counts: make(map[WorkspaceID]pair, len(r.Counts))}
		s[r.Source] = src
	}
	src.zone, src.sequence, src.nodes, src.heardAt = r.Zone, r.Sequence, r.Nodes, now
	src.late, src.stale, src.continued = false, false, continued
	src.vouchedSince = now.Add(-r.Vouched)
	return src, true, false
}

// take stores a count and returns what was added since the last one. The number of admitted calls may have decreased.
func (s *source) take(c Count) (asked, admitted int64) {
	before := s.counts[c.Workspace]
	s.counts[c.Workspace] = pair{asked: c.Asked, admitted: c.Admitted}
	return int64(c.Asked - before.asked), int64(c.Admitted - before.admitted)
}

// expire marks the sources that weren't heard for too long, and drops those whose
// counts have left the window. It returns whether any is left that isn't stale.
func (s sources) expire(now time.Time, window time.Duration) bool {
	anyHeard := false
	for name, src := range s {
		switch silence := now.Sub(src.heardAt); {
		case silence > window:
			delete(s, name)
		case silence > StaleAfter:
			src.stale = true
		default:
			anyHeard = true
		}
	}
	return anyHeard
}

// nodes returns the number of nodes of the sources that aren't late, and for how
// long their counts go back on average, at most one window.
func (s sources) nodes(now time.Time, window time.Duration) (count int, vouched time.Duration) {
	total := time.Duration(0)
	for _, src := range s {
		if src.late || src.stale {
			continue
		}
		count += src.nodes
		total += time.Duration(src.nodes) * min(window, now.Sub(src.vouchedSince))
	}
	return count, total / time.Duration(max(1, count))
}

// hasZone reports whether there is a source of the zone that isn't stale.
func (s sources) hasZone(zone string) bool {
	for _, src := range s {
		if src.zone == zone && !src.stale {
			return true
		}
	}
	return false
}
