package allotment

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/config"
)

// Ledger admits calls at one node and counts them. It is safe for concurrent
// use.
type Ledger struct {
	limits Limits
	name   string
	zone   string
	// startedAt is when the node started, and so the time from which its counts
	// begin.
	startedAt time.Time
	// random returns numbers from 0 to 1, 1 excluded.
	random func() float64

	// entries holds the workspaces that have a rate. The map isn't changed.
	entries atomic.Pointer[map[config.WorkspaceName]*entry]
	// freshUntil is when the newest state of the holder becomes stale, in
	// nanoseconds since the Unix epoch.
	freshUntil atomic.Int64
	// answeredAt is when the newest state of the holder was determined.
	answeredAt atomic.Int64
	// urgent holds a token after demand has jumped at this node.
	urgent chan struct{}

	mu     sync.Mutex
	epoch  uint64
	sender sender
	// reportedAt is when the last report was taken.
	reportedAt time.Time
	nodes      int
	scarce     int
}

// NewLedger returns a ledger that knows of no workspaces. The epoch is higher
// than those of earlier processes of this node.
func NewLedger(limits Limits, name, zone string, epoch uint64, now time.Time, random func() float64) *Ledger {
	l := &Ledger{limits: limits, name: name, zone: zone, epoch: epoch, startedAt: now, random: random, urgent: make(chan struct{}, 1), reportedAt: now, nodes: 1}
	l.entries.Store(&map[config.WorkspaceName]*entry{})
	l.freshUntil.Store(now.UnixNano())
	l.answeredAt.Store(now.UnixNano())
	return l
}

// Take takes one call from a workspace's allotment. If none is left, it returns
// false and the time after which a call is expected to be admitted.
func (l *Ledger) Take(now time.Time, name config.WorkspaceName) (ok bool, retryAfter time.Duration) {
	e, limited := (*l.entries.Load())[name]
	if !limited {
		return true, 0
	}
	ok, wait, jumped := e.take(now, l.freshUntil.Load(), l.limits.Window)
	if jumped {
		select {
		case l.urgent <- struct{}{}:
		default:
		}
	}
	if ok {
		return true, 0
	}
	// Between half and one and a half times the wait, so that callers don't come
	// back together.
	spread := time.Duration((0.5 + l.random()) * float64(wait))
	return false, min(l.limits.Window, max(_minRetryAfter, spread))
}

// GiveBack returns a call that has not run.
func (l *Ledger) GiveBack(now time.Time, name config.WorkspaceName) {
	if e, limited := (*l.entries.Load())[name]; limited {
		e.giveBack(now, l.limits.Window)
	}
}

// Active reports whether any workspace has a rate. Otherwise no reports are
// needed.
func (l *Ledger) Active() bool {
	return len(*l.entries.Load()) > 0
}

// Urgent returns a channel that receives a token when demand has jumped, so that
// the next report should not wait.
func (l *Ledger) Urgent() <-chan struct{} {
	return l.urgent
}

// IsFresh reports whether the node acts on a state of the holder, and not on
// fixed shares.
func (l *Ledger) IsFresh(now time.Time) bool {
	return now.UnixNano() < l.freshUntil.Load()
}

// SinceAnswer returns the time since the newest state of the holder was
// determined, or since the start of the node.
func (l *Ledger) SinceAnswer(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - l.answeredAt.Load())
}

// SetWorkspaces sets the workspaces and their limits. What was admitted before
// stays counted.
func (l *Ledger) SetWorkspaces(now time.Time, workspaces []config.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := *l.entries.Load()
	entries := make(map[config.WorkspaceName]*entry, len(before))
	kept := 0
	for _, w := range workspaces {
		if w.Rate <= 0 {
			continue
		}
		e, known := before[w.Name]
		if !known {
			e = newEntry(w.Name, now, l.random)
		} else {
			kept++
		}
		e.setLimits(now, w, l.fallback(w))
		entries[w.Name] = e
	}
	if kept < len(before) {
		// The counters of a workspace start at zero if it is configured again.
		l.epoch++
		l.sender = sender{}
	}
	l.entries.Store(&entries)
}

// SetNodes sets the number of nodes that may admit calls, for the fixed shares.
func (l *Ledger) SetNodes(nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if nodes = max(1, nodes); nodes == l.nodes {
		return
	}
	l.nodes = nodes
	for _, e := range *l.entries.Load() {
		e.mu.Lock()
		e.fixed = l.fallback(e.limits)
		e.mu.Unlock()
	}
}

// fallback returns a node's fixed share of a workspace's allotment.
func (l *Ledger) fallback(w config.Workspace) fixedShare {
	nodes := float64(l.nodes)
	burst := w.Burst + _fallbackSlack*l.limits.Slack
	return fixedShare{
		interval:  max(1, seconds(nodes/w.Rate)),
		validity:  seconds(burst / w.Rate),
		rate:      w.Rate / nodes,
		perWindow: (w.Rate*l.limits.Window.Seconds() + burst) / nodes,
	}
}

// Report returns what was counted, for the receiver with the given name.
func (l *Ledger) Report(now time.Time, receiver string) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Source: l.name, Zone: l.zone, Epoch: l.epoch, Nodes: 1, Vouched: min(l.limits.Window, now.Sub(l.startedAt))}
	r.Sequence, r.Full = l.sender.next(receiver)
	elapsed := now.Sub(l.reportedAt)
	l.reportedAt = now
	for _, e := range *l.entries.Load() {
		e.report(&r, now, elapsed, l.limits.Window)
	}
	return r
}

// Apply applies the answer to the report with the given sequence. It returns the
// workspaces that began and ended being refused since the last answer.
func (l *Ledger) Apply(now time.Time, receiver string, sequence uint64, st State) (began, ended []config.WorkspaceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sequence != l.sender.sequence {
		return nil, nil
	}
	taken := l.sender.answered(receiver, st)
	fractions := make(map[WorkspaceID]float64, len(st.Scarce))
	for _, f := range st.Scarce {
		fractions[f.Workspace] = f.Value
	}
	fresh := st.Ready && st.Age < StaleAfter
	if fresh {
		l.answeredAt.Store(now.Add(-st.Age).UnixNano())
		l.scarce = len(st.Scarce)
	}
	for name, e := range *l.entries.Load() {
		fraction, scarce := fractions[e.id]
		if !scarce {
			fraction = _scarceFraction
		}
		switch e.apply(now, taken, fresh, fraction) {
		case refusalBegan:
			began = append(began, name)
		case refusalEnded:
			ended = append(ended, name)
		case refusalUnchanged:
		}
	}
	if fresh {
		l.freshUntil.Store(now.Add(StaleAfter - st.Age).UnixNano())
	}
	return began, ended
}

// Interval returns the time until the next report is due.
func (l *Ledger) Interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.scarce > 0 {
		return ScarceInterval
	}
	return CalmInterval
}

// Totals returns how many calls of limited workspaces were admitted and refused
// at this node.
func (l *Ledger) Totals() (admitted, refused uint64) {
	for _, e := range *l.entries.Load() {
		e.mu.Lock()
		admitted += e.admitted
		refused += e.asked - min(e.asked, e.admitted)
		e.mu.Unlock()
	}
	return admitted, refused
}

// Scarce returns the fractions that may be admitted of at most n workspaces whose
// fractions are the lowest, among those that are scarce.
func (l *Ledger) Scarce(n int) map[config.WorkspaceName]float64 {
	type scarce struct {
		name     config.WorkspaceName
		fraction float64
	}
	var all []scarce
	for name, e := range *l.entries.Load() {
		e.mu.Lock()
		if e.fraction < _scarceFraction {
			all = append(all, scarce{name, e.fraction})
		}
		e.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b scarce) int {
		return cmp.Or(cmp.Compare(a.fraction, b.fraction), cmp.Compare(a.name, b.name))
	})
	lowest := make(map[config.WorkspaceName]float64, n)
	for _, s := range all[:min(n, len(all))] {
		lowest[s.name] = s.fraction
	}
	return lowest
}
