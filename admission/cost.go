package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lentilferry.example/lentilferry/config"
)

const (
	// _levelsPerWorkspaceRank separates the levels of workspaces with different
	// ranks. It exceeds the level of any route's calls with a usual rank: the
	// longest call takes 2^17 ms.
	_levelsPerWorkspaceRank = 64
	// _maxWorkspaceRank bounds the ranks that are told apart.
	_maxWorkspaceRank = 1 << 10
	// _lateLevels is by how many levels a late call is less urgent: a late answer
	// counts as worth half.
	_lateLevels = 1
	// _minTurnSeconds is the recent work below which a workspace takes no turns:
	// a few calls say nothing about its usual.
	_minTurnSeconds = 1.0
	// _forgottenSeconds is the recent work below which a workspace is forgotten.
	_forgottenSeconds = 0.001
	// _sumInterval is the time between the sums over all workspaces.
	_sumInterval = 100 * time.Millisecond
	// _shareTimeConstant is the time in which the weight of past calls in the
	// shares that were served falls to 1/e.
	_shareTimeConstant = 2 * time.Second
	// _minServedShare is the part of the average share served below which a level
	// is starved. Each kind of call is promised half of the average; the rest
	// makes up for the short time over which shares are measured.
	_minServedShare = 0.6
	// _minAskedForShare is how many recent calls a level needs before its share
	// says anything.
	_minAskedForShare = 4
	// _maxTrackedWorkspaces bounds the workspaces whose work is tracked; calls of
	// further ones take no turns.
	_maxTrackedWorkspaces = 10_000
)

// workspaceLevel returns what a workspace's rank adds to the levels of its
// calls, so that it goes before the ranks of routes.
func workspaceLevel(rank uint32) int {
	return int(min(rank, _maxWorkspaceRank)) * _levelsPerWorkspaceRank
}

// compare orders waiting calls according to the limits.
func (g *Gate) compare(a, b *Ticket) int {
	if g.limits.ByCost {
		return a.compareByCost(b)
	}
	return a.compare(b)
}

// compareByCost orders waiting calls by what a further wait costs their callers:
// by level, which is higher by _lateLevels for a call that can't be in time. So a
// late call, which has lost much of its use already, waits for those that it
// would make late, but short calls that running ones wait for still go first.
// Workspaces of one rank take turns. The first to lose its use goes first in the
// end.
func (t *Ticket) compareByCost(other *Ticket) int {
	late := func(t *Ticket) int {
		if t.late {
			return _lateLevels
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(t.level+late(t), other.level+late(other)),
		cmp.Compare(late(t), late(other)),
		cmp.Compare(t.request.Rank, other.request.Rank),
		cmp.Compare(t.turn, other.turn),
		cmp.Compare(t.callerBacklog, other.callerBacklog),
		t.usefulUntil().Compare(other.usefulUntil()),
		cmp.Compare(t.sequence, other.sequence),
	)
}

// displaceLast refuses the last waiting call of a full queue if it costs less to
// refuse than the given one, and reports whether it did. The caller of the last
// one learns of it at once, while it can still go elsewhere.
func (g *Gate) displaceLast(t *Ticket) bool {
	if !g.limits.ByCost || len(g.waiting) == 0 {
		return false
	}
	last := g.waiting[len(g.waiting)-1]
	if last.compareByCost(t) <= 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, len(g.waiting)-1, len(g.waiting))
	last.retryAfter = g.estimateWait(len(g.waiting))
	last.refuse(ReasonDisplaced)
	return true
}

// findStarved returns the position of the first waiting call whose level is
// starved, 0 if there is none. It may be of a more urgent level than the calls
// before it, all of whose calls are late.
func (g *Gate) findStarved(now time.Time) int {
	first := g.waiting[0].level
	checked := first
	for i, t := range g.waiting {
		if t.level == checked {
			continue
		}
		checked = t.level
		if t.level != first && g.shares.isStarved(now, t.level) {
			return i
		}
	}
	return 0
}

// countAhead returns how many of the waiting calls before a position have the
// given level: what a call of a starved level waits for.
func (g *Gate) countAhead(position, level int) int {
	count := 0
	for _, t := range g.waiting[:position] {
		if t.level == level {
			count++
		}
	}
	return count
}

// levelShares tracks the share of each level's recent calls that got a slot.
type levelShares struct {
	byLevel map[int]*levelShare
	// total is the sum of byLevel.
	total levelShare
	// updatedAt is when the counts were last decayed.
	updatedAt time.Time
}

// levelShare counts calls, decayed by age.
type levelShare struct{ asked, served float64 }

func (s *levelShare) decay(factor float64) {
	s.asked *= factor
	s.served *= factor
}

func newLevelShares() levelShares {
	return levelShares{byLevel: make(map[int]*levelShare)}
}

func (s *levelShares) recordAsked(now time.Time, level int) {
	if share := s.level(now, level); share != nil {
		share.asked++
		s.total.asked++
	}
}

func (s *levelShares) recordServed(now time.Time, level int) {
	if share := s.level(now, level); share != nil {
		share.served++
		s.total.served++
	}
}

// isStarved reports whether less than _minServedShare of the average share of
// calls was served at a level.
func (s *levelShares) isStarved(now time.Time, level int) bool {
	share := s.level(now, level)
	if share == nil || share.asked < _minAskedForShare {
		return false
	}
	return share.served/share.asked < _minServedShare*s.total.served/s.total.asked
}

// level returns the counts of a level, nil if too many levels are tracked.
func (s *levelShares) level(now time.Time, level int) *levelShare {
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 && !s.updatedAt.IsZero() {
		factor := math.Exp(-float64(elapsed) / float64(_shareTimeConstant))
		for _, share := range s.byLevel {
			share.decay(factor)
		}
		s.total.decay(factor)
	}
	s.updatedAt = now
	share, ok := s.byLevel[level]
	if !ok && len(s.byLevel) < _maxLevels {
		share = &levelShare{}
		s.byLevel[level] = share
	}
	return share
}

// workspaceTurns finds the workspaces that ask for more than their part of an
// upstream. It keeps the recent work that each asked for, decayed by age.
type workspaceTurns struct {
	byName map[config.WorkspaceName]*workspaceWork
	// work and weight are the sums over all workspaces, as of summedAt.
	work, weight float64
	summedAt     time.Time
	// meanWeight is the weight of a workspace that has none of its own.
	meanWeight float64
}

// workspaceWork is the recent work that a workspace asked for.
type workspaceWork struct {
	// seconds is decayed as of updatedAt.
	seconds   float64
	updatedAt time.Time
	weight    float64
}

func newWorkspaceTurns() workspaceTurns {
	return workspaceTurns{byName: make(map[config.WorkspaceName]*workspaceWork), meanWeight: 1}
}

// take counts a call and returns its turn: 0 if its workspace asked for no more
// than twice its part, in proportion to the weights of the workspaces that asked
// for work lately, and one more for each further doubling. So a workspace that
// asks for many times its usual waits for the others, and they don't for it.
func (w *workspaceTurns) take(now time.Time, r Request, duration time.Duration) int {
	if r.Workspace == "" {
		return 0
	}
	own, ok := w.byName[r.Workspace]
	if !ok {
		if len(w.byName) >= _maxTrackedWorkspaces {
			return 0
		}
		own = &workspaceWork{updatedAt: now}
		w.byName[r.Workspace] = own
	}
	own.weight = r.WorkspaceWeight
	if own.weight <= 0 {
		own.weight = w.meanWeight
	}
	own.decay(now)
	own.seconds += duration.Seconds()
	if now.Sub(w.summedAt) >= _sumInterval {
		w.sum(now)
	}
	if own.seconds < _minTurnSeconds || w.work == 0 {
		return 0
	}
	excess := own.seconds / w.work * w.weight / own.weight
	return max(0, int(math.Log2(excess)))
}

// sum updates the sums, and forgets the workspaces that asked for no work lately.
func (w *workspaceTurns) sum(now time.Time) {
	w.work, w.weight, w.summedAt = 0, 0, now
	for name, own := range w.byName {
		own.decay(now)
		if own.seconds < _forgottenSeconds {
			delete(w.byName, name)
			continue
		}
		w.work += own.seconds
		w.weight += own.weight
	}
	if w.weight > 0 {
		w.meanWeight = w.weight / float64(len(w.byName))
	}
}

// decay reduces the work by the time passed since the last update.
func (w *workspaceWork) decay(now time.Time) {
	if elapsed := now.Sub(w.updatedAt); elapsed > 0 {
		w.seconds *= math.Exp(-float64(elapsed) / float64(_shareTimeConstant))
	}
	w.updatedAt = now
}
