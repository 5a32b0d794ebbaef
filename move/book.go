package move

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lentilferry.example/lentilferry/config"
)

// Book holds the orders that a node knows, and which version each service is
// served by. It is safe for concurrent use.
type Book struct {
	mu     sync.RWMutex
	orders map[config.ServiceName]known
	// serving holds the version that a service is served by when no order
	// says otherwise.
	serving map[config.ServiceName]config.VersionName
}

// NewBook returns a book without orders.
func NewBook() *Book {
	return &Book{orders: make(map[config.ServiceName]known), serving: make(map[config.ServiceName]config.VersionName)}
}

// Learn takes in an order and reports whether it was news. An older one than
// is known changes nothing.
func (b *Book) Learn(now time.Time, o Order) bool {
	o = o.settle()
	b.mu.Lock()
	defer b.mu.Unlock()
	old, found := b.orders[o.Service]
	if found && old.order.Revision >= o.Revision {
		return false
	}
	k := known{order: o, seen: now, started: now, deadline: now.Add(o.Progress.Left)}
	if found && old.order.Candidate == o.Candidate && !old.order.Progress.State.Ended() {
		k.started, k.deadline = old.started, old.deadline
	}
	b.orders[o.Service] = k
	if o.Progress.State == Complete {
		b.serving[o.Service] = o.Candidate
	}
	return true
}

// Order returns the order of a service and when its last change was learnt.
func (b *Book) Order(service config.ServiceName) (Order, time.Time, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	k, ok := b.orders[service]
	return k.order, k.seen, ok
}

// Orders returns all known orders as they are told to others at the given
// time, sorted by service.
func (b *Book) Orders(now time.Time) []Order {
	b.mu.RLock()
	defer b.mu.RUnlock()
	orders := make([]Order, 0, len(b.orders))
	for _, k := range b.orders {
		o := k.order
		o.Progress.Left = k.deadline.Sub(now)
		orders = append(orders, o)
	}
	slices.SortFunc(orders, func(x, y Order) int { return cmp.Compare(x.Service, y.Service) })
	return orders
}

// Under is an order that is being carried out.
type Under struct {
	Order Order
	// Seen is when the order's last change was learnt, Started when the order
	// was, and Deadline when it is to be complete.
	Seen, Started, Deadline time.Time
}

// UnderWay returns the orders that have not ended, sorted by service.
func (b *Book) UnderWay() []Under {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var orders []Under
	for _, k := range b.orders {
		if !k.order.Progress.State.Ended() {
			orders = append(orders, Under{Order: k.order, Seen: k.seen, Started: k.started, Deadline: k.deadline})
		}
	}
	slices.SortFunc(orders, func(x, y Under) int { return cmp.Compare(x.Order.Service, y.Order.Service) })
	return orders
}

// UnderWayOf returns the ID of the order that is being carried out for a
// service, empty when none is.
func (b *Book) UnderWayOf(service config.ServiceName) string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	k, ok := b.orders[service]
	if !ok || k.order.Progress.State.Ended() {
		return ""
	}
	return k.order.ID()
}

// Serving takes in how many upstreams of each version of a service there are.
// Without an order the version that was there first goes on serving, until
// none of its upstreams is left.
func (b *Book) Serving(service config.ServiceName, upstreams map[config.VersionName]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.serving[service]; current != "" && upstreams[current] > 0 {
		return
	}
	order := b.orders[service].order
	var best config.VersionName
	for version, count := range upstreams {
		isCandidate := version == order.Candidate && order.Progress.State != Complete
		if version == "" || isCandidate {
			continue
		}
		if best == "" || count > upstreams[best] || count == upstreams[best] && version < best {
			best = version
		}
	}
	if best != "" {
		b.serving[service] = best
	}
}

// Choose returns the versions that a call of a service may go to, first and,
// where the first has no upstream, second. The point is in the unit interval
// and gives the call to the candidate when it is below the candidate's share.
func (b *Book) Choose(service config.ServiceName, point float64) (first, second config.VersionSet) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	serving := config.VersionSet{Only: b.serving[service]}
	k, ok := b.orders[service]
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
		if point*float64(config.FullShare) < float64(order.Progress.Share) {
			candidate.UpstreamFraction = float64(order.Progress.Share) / float64(config.FullShare)
			return candidate, baseline
		}
		return baseline, baseline
	default:
		return baseline, baseline
	}
}
