package move

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/objectstore"
)

// OrderTable holds the newest known order of each service, and the version that
// a service's calls go to without an order. It is safe for concurrent use.
type OrderTable struct {
	mu     sync.RWMutex
	orders map[config.ServiceName]orderEntry
	// serving maps a service to the version that its calls go to while it has
	// no order.
	serving map[config.ServiceName]config.VersionName
}

// NewOrderTable returns an empty table.
func NewOrderTable() *OrderTable {
	return &OrderTable{orders: make(map[config.ServiceName]orderEntry), serving: make(map[config.ServiceName]config.VersionName)}
}

// Merge stores an order and reports whether it changed the table. An order
// whose revision is not above the known one changes nothing, with one exception:
// what was decided on a candidate is not lost when the store is restored from a
// copy. Of two orders for a candidate from different eras, or from a store whose
// progress is behind, the one with the higher revision is kept with the progress
// that is ahead.
func (t *OrderTable) Merge(now time.Time, o Order) bool {
	o = o.dropForeignProgress()
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := orderEntry{order: o, updatedAt: now, startedAt: now, deadline: now.Add(o.Progress.Remaining)}
	if old, found := t.orders[o.Service]; found {
		var changed bool
		if old.order.Candidate == o.Candidate {
			changed = entry.joinProgress(old)
		} else {
			changed = entry.supersede(old)
		}
		if !changed {
			return false
		}
	}
	t.orders[o.Service] = entry
	if entry.order.Progress.State == Complete {
		t.serving[o.Service] = o.Candidate
	}
	return true
}

// supersede completes the entry of an order that follows an order for another
// candidate, and reports whether it does. Progress on the candidate before the
// known one, from a store that was restored since, is that of the copy.
func (e *orderEntry) supersede(old orderEntry) bool {
	isRestored := objectstore.EraOf(e.order.Revision) > objectstore.EraOf(old.order.Revision)
	isCopy := isRestored && e.order.Candidate == old.superseded && e.order.Progress.State != Ordered
	e.superseded = old.order.Candidate
	return e.order.Revision > old.order.Revision && !isCopy
}

// joinProgress completes the entry of an order that was received for the known
// candidate, and reports whether anything changes.
func (e *orderEntry) joinProgress(old orderEntry) bool {
	received := *e
	era, oldEra := objectstore.EraOf(e.order.Revision), objectstore.EraOf(old.order.Revision)
	switch {
	case received.order.Revision > old.order.Revision:
		e.isStoreBehind = old.order.Progress.isAheadOf(received.order.Progress) && (era > oldEra || old.isStoreBehind)
		if e.isStoreBehind {
			e.order.Progress = old.order.Progress
		}
		// Another node may have kept the progress that was received.
		e.isUnsaved = era > oldEra || e.isStoreBehind
	case received.order.Progress.isAheadOf(old.order.Progress) && (era < oldEra || received.order.Revision == old.order.Revision):
		e.order = old.order
		e.order.Progress = received.order.Progress
		e.isUnsaved, e.isStoreBehind = true, true
	default:
		return false
	}
	e.superseded = old.superseded
	if !old.order.Progress.State.Ended() {
		e.startedAt, e.deadline = old.startedAt, old.deadline
	}
	return true
}

// MarkSaved records that the store holds the progress of a service's order at
// the given revision.
func (t *OrderTable) MarkSaved(service config.ServiceName, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry, ok := t.orders[service]; ok && entry.order.Revision <= revision {
		entry.isUnsaved, entry.isStoreBehind = false, false
		t.orders[service] = entry
	}
}

// Order returns the order of a service and the local time of its last update,
// and false when there is none.
func (t *OrderTable) Order(service config.ServiceName) (Order, time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entry, ok := t.orders[service]
	return entry.order, entry.updatedAt, ok
}

// Orders returns all known orders, sorted by service, as they are sent to other
// nodes: with the time that remains to their deadlines at now.
func (t *OrderTable) Orders(now time.Time) []Order {
	t.mu.RLock()
	defer t.mu.RUnlock()
	orders := make([]Order, 0, len(t.orders))
	for _, entry := range t.orders {
		o := entry.order
		o.Progress.Remaining = entry.deadline.Sub(now)
		orders = append(orders, o)
	}
	slices.SortFunc(orders, func(x, y Order) int { return cmp.Compare(x.Service, y.Service) })
	return orders
}

// ActiveOrder is an order on which something is left to be done, and its times
// on this node's clock.
type ActiveOrder struct {
	Order Order
	// UpdatedAt is when this node received the order's last change, StartedAt
	// when it first received the order, and Deadline when the order must be
	// complete.
	UpdatedAt, StartedAt, Deadline time.Time
	// IsUnsaved is set when the store may lack the order's progress because it
	// was restored from a copy.
	IsUnsaved bool
}

// Active returns the orders that have not ended, sorted by service.
func (t *OrderTable) Active() []ActiveOrder {
	return t.selectOrders(func(e orderEntry) bool { return !e.order.Progress.State.Ended() })
}

// UnsavedEnds returns the orders that have ended and whose end the store may
// lack, sorted by service.
func (t *OrderTable) UnsavedEnds() []ActiveOrder {
	return t.selectOrders(func(e orderEntry) bool { return e.isUnsaved && e.order.Progress.State.Ended() })
}

func (t *OrderTable) selectOrders(selects func(orderEntry) bool) []ActiveOrder {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var orders []ActiveOrder
	for _, e := range t.orders {
		if selects(e) {
			orders = append(orders, ActiveOrder{Order: e.order, UpdatedAt: e.updatedAt, StartedAt: e.startedAt, Deadline: e.deadline, IsUnsaved: e.isUnsaved})
		}
	}
	slices.SortFunc(orders, func(x, y ActiveOrder) int { return cmp.Compare(x.Order.Service, y.Order.Service) })
	return orders
}

// ActiveID returns the ID of a service's order that has not ended, empty when
// there is none.
func (t *OrderTable) ActiveID(service config.ServiceName) string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entry, ok := t.orders[service]
	if !ok || entry.order.Progress.State.Ended() {
		return ""
	}
	return entry.order.ID()
}

// UpdateServing chooses the version that a service's calls go to without an
// order, given the number of upstreams of each version. The present version
// stays until none of its upstreams is left; then the version with the most
// upstreams follows, with the lower name as the tie-break. The candidate of an
// order that is not complete does not follow.
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

// ChooseVersions returns the versions that a call of a service may go to: the
// first choice, and the second for when the first has no upstream. Sample is in
// the unit interval; the call goes to the candidate when it is below the
// candidate's share.
func (t *OrderTable) ChooseVersions(service config.ServiceName, sample float64) (first, second config.VersionSet) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	serving := config.VersionSet{Only: t.serving[service]}
	entry, ok := t.orders[service]
	if !ok {
		return serving, serving
	}
	order := entry.order
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
