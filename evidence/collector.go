package evidence

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lentilferry.example/lentilferry/membership"
)

// Report holds one node's cumulative counts for one rollout.
type Report struct {
	Rollout     string
	Node        membership.NodeID
	Incarnation uint64
	// Sequence grows with each report of an incarnation.
	Sequence uint64
	Tallies  []Tally
	// AppliedRevision is the newest revision of the rollout that the node has
	// applied.
	AppliedRevision uint64
	// InFlight is the number of calls in flight to the node's upstream.
	InFlight int
	// ReceivedAt is when the collector received the report.
	ReceivedAt time.Time
}

// _reportLifetime is how long the counts of a rollout are kept without new
// reports.
const _reportLifetime = 5 * time.Minute

// Collector keeps the reports of a zone. Reports are cumulative, so that
// repeated and late ones are not counted twice. It is safe for concurrent use.
type Collector struct {
	mu       sync.Mutex
	rollouts map[string]*rolloutReports
}

// rolloutReports holds the reports on one rollout.
type rolloutReports struct {
	// latest holds the newest report of each reporter.
	latest map[reporter]Report
	// updatedAt is when the last new report was received.
	updatedAt time.Time
}

// reporter identifies one incarnation of a node.
type reporter struct {
	node        membership.NodeID
	incarnation uint64
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{rollouts: make(map[string]*rolloutReports)}
}

// Add stores a report and reports whether it was newer than the stored one.
func (c *Collector) Add(now time.Time, r Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired(now)
	stored, ok := c.rollouts[r.Rollout]
	if !ok {
		stored = &rolloutReports{latest: make(map[reporter]Report)}
		c.rollouts[r.Rollout] = stored
	}
	key := reporter{node: r.Node, incarnation: r.Incarnation}
	if last, ok := stored.latest[key]; ok && last.Sequence >= r.Sequence {
		return false
	}
	r.ReceivedAt = now
	stored.latest[key] = r
	stored.updatedAt = now
	return true
}

// dropExpired drops the rollouts without new reports for _reportLifetime.
func (c *Collector) dropExpired(now time.Time) {
	for rollout, stored := range c.rollouts {
		if now.Sub(stored.updatedAt) > _reportLifetime {
			delete(c.rollouts, rollout)
		}
	}
}

// Reports returns the newest report on a rollout of each incarnation of each
// node, sorted by node and incarnation.
func (c *Collector) Reports(rollout string) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	stored, ok := c.rollouts[rollout]
	if !ok {
		return nil
	}
	reports := make([]Report, 0, len(stored.latest))
	for _, report := range stored.latest {
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return reports
}

// Rollouts returns the IDs of the rollouts with reports, in no particular
// order.
func (c *Collector) Rollouts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.rollouts))
	for id := range c.rollouts {
		ids = append(ids, id)
	}
	return ids
}
