package evidence

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lentilferry.example/lentilferry/membership"
)

// Report is one node's cumulative counts for one rollout.
type Report struct {
	Rollout     string
	Node        membership.NodeID
	Incarnation uint64
	// Sequence grows with each report of the incarnation.
	Sequence uint64
	Tallies  []Tally
	// AppliedRevision is the newest revision of the rollout that the node acts on.
	AppliedRevision uint64
	// InFlight is how many calls the node's upstream has in flight.
	InFlight int
	// ReceivedAt is when the collector took the report in.
	ReceivedAt time.Time
}

// _reportLifetime is how long the counts of a rollout that nobody reports on
// are kept.
const _reportLifetime = 5 * time.Minute

// Collector keeps the reports of a zone. Reports are cumulative, so that a
// repeated or late one counts once. It is safe for concurrent use.
type Collector struct {
	mu       sync.Mutex
	rollouts map[string]*rolloutReports
}

type rolloutReports struct {
	// latest holds each incarnation's newest report.
	latest map[reporter]Report
	// updatedAt is when the newest report came.
	updatedAt time.Time
}

type reporter struct {
	node        membership.NodeID
	incarnation uint64
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{rollouts: make(map[string]*rolloutReports)}
}

// Add takes in a report and reports whether it was news.
func (c *Collector) Add(now time.Time, r Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired(now)
	held, ok := c.rollouts[r.Rollout]
	if !ok {
		held = &rolloutReports{latest: make(map[reporter]Report)}
		c.rollouts[r.Rollout] = held
	}
	who := reporter{node: r.Node, incarnation: r.Incarnation}
	if known, ok := held.latest[who]; ok && known.Sequence >= r.Sequence {
		return false
	}
	r.ReceivedAt = now
	held.latest[who] = r
	held.updatedAt = now
	return true
}

func (c *Collector) dropExpired(now time.Time) {
	for rollout, held := range c.rollouts {
		if now.Sub(held.updatedAt) > _reportLifetime {
			delete(c.rollouts, rollout)
		}
	}
}

// Reports returns the newest report of each incarnation of each node on a
// rollout, sorted.
func (c *Collector) Reports(rollout string) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.rollouts[rollout]
	if !ok {
		return nil
	}
	reports := make([]Report, 0, len(held.latest))
	for _, report := range held.latest {
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return reports
}

// Rollouts returns the rollouts with reports.
func (c *Collector) Rollouts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.rollouts))
	for id := range c.rollouts {
		ids = append(ids, id)
	}
	return ids
}
