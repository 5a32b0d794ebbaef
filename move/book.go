package move

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lentilferry.example/lentilferry/config"
)

// OrderTable holds the orders that a node knows, and which version each service is
// served by. It is safe for concurrent use.
type OrderTable struct {
	mu     sync.RWMutex
	orders map[config.ServiceName]orderEntry
	// serving holds the version that a service is served by when no order
	// says otherwise.
	serving map[config.ServiceName]config.VersionName
}

// NewOrderTable returns a book without orders.
func NewOrderTable() *OrderTable {
	return &OrderTable{orders: make(map[config.ServiceName]orderEntry), serving: make(map[config.ServiceName]config.VersionName)}
}

// Merge takes in an order and reports whether it was news. An older one than
// is known changes nothing.
func (t *OrderTable) Merge(now time.Time, o Order) bool {
	o = o.dropForeignProgress()
	t.mu.Lock()
	defer t.mu.Unlock()
	old, found := t.orders[o.Service]
	if found && old.order.Revision >= o.Revision {
		return false
	}
	k := orderEntry{order: o, updatedAt: now, startedAt: now, deadline: now.Add(o.Progress.Remaining)}
	if found && old.order.Candidate == o.Candidate && !old.order.Progress.State.Ended() {
		k.startedAt, k.deadline = old.startedAt, old.deadline
	}
	t.orders[o.Service] = k
	if o.Progress.State == Complete {
		t.serving[o.Service] = o.Candidate
	}
	return true
}

// Order returns the order of a service and when its last change was learnt.
func (t *OrderTable) Order(service config.ServiceName) (Order, time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	k, ok := t.orders[service]
	return k.order, k.updatedAt, ok
}

// Orders returns all known orders as they are told to others at the given
// time, sorted by service.
func (t *OrderTable) Orders(now time.Time) []Order {
	t.mu.RLock()
	defer t.mu.RUnlock()
	orders := make([]Order, 0, len(t.orders))
	for _, k := range t.orders {
		o := k.order
		o.Progress.Remaining = k.deadline.Sub(now)
		orders = append(orders, o)
	}
	slices.SortFunc(orders, func(x, y Order) int { return cmp.Compare(x.Service, y.Service) })
	return orders
}

// ActiveOrder is an order that is being carried out.
type ActiveOrder struct {
	Order Order
	// UpdatedAt is when the order's last change was learnt, StartedAt when the order
	// was, and Deadline when it is to be complete.
	UpdatedAt, StartedAt, Deadline time.Time
}

// Active returns the orders that have not ended, sorted by service.
func (t *OrderTable) Active() []ActiveOrder {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var orders []ActiveOrder
	for _, k := range t.orders {
		if !k.order.Progress.State.Ended() {
			orders = append(orders, ActiveOrder{Order: k.order, UpdatedAt: k.updatedAt, StartedAt: k.startedAt, Deadline: k.deadline})
		}
	}
	slices.SortFunc(orders, func(x, y ActiveOrder) int { return cmp.Compare(x.Order.Service, y.Order.Service) })
	return orders
}

// ActiveID returns the ID of the order that is being carried out for a
// service, empty when none is.
func (t *OrderTable) ActiveID(service config.ServiceName) string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	k, ok := t.orders[service]
	if !ok || k.order.Progress.State.Ended() {
		return ""
	}
	return k.order.ID()
}

// UpdateServing takes in how many upstreams of each version of a service there are.
// Without an order the version that was there first goes on serving, until
// none of its upstreams is left.
func (t *OrderTable) UpdateServing(service config.ServiceName, counts map[config.VersionName]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.serving[service]; current != "" && counts[current] > 0 {
		return
	}
	order := t.orders[service].order
	var best config.VersionName
	for version, count := range counts {
		isCandidate := version == order.Candidate && order.Progress.State != Complete
		if version == "" || isCandidate {
			continue
		}
		if best == "" || count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	if best != "" {
		t.serving[service] = best
	}
}

// ChooseVersions returns the versions that a call of a service may go to, first and,
// where the first has no upstream, second. The point is in the unit interval
// and gives the call to the candidate when it is below the candidate's share.
func (t *OrderTable) ChooseVersions(service config.ServiceName, sample float64) (first, second config.VersionSet) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	serving := config.VersionSet{Only: t.serving[service]}
	k, ok := t.orders[service]
	if !ok {
		return serving, serving
	}
	order := k.order
	baseline := config.VersionSet{Except: order.Candidate}
	candidate := config.VersionSet{Only: order.Candidate}
	switch order.Progress.State {
	case Complete:
		return candidate, candidate
	case Running:
		if order.Progress.Share >= config.FullShare {
			return candidate, candidate
		}
		if sample*float64(config.FullShare) < float64(order.Progress.Share) {
			candidate.UpstreamFraction = float64(order.Progress.Share) / float64(config.FullShare)
			return candidate, baseline
		}
		return baseline, baseline
	default:
		return baseline, baseline
	}
}
