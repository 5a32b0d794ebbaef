package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
)

const (
	// _crossZonePenalty is the cost of a call to another zone of the region:
	// how much longer a call waits in the sender's own zone instead.
	_crossZonePenalty = 60 * time.Millisecond
	// _crossRegionPenalty is the same for another region: the network path
	// takes 20 ms, and its traffic is paid by volume.
	_crossRegionPenalty = 300 * time.Millisecond
)

// _fastEnoughShare is the share of a route's objective within which a sooner
// expected answer has no advantage, since the durations of a route's calls
// vary.
const _fastEnoughShare = 0.4

// Query describes the call that an upstream is chosen for.
type Query struct {
	Service  config.ServiceName
	Versions config.VersionSet
	Route    config.RouteName
	// Objective is the time within which an answer is of full use; 0 means as
	// soon as possible.
	Objective time.Duration
	// Tried holds the upstreams that the call was already sent to.
	Tried []*Endpoint
}

// endpointsByService is an immutable view of the endpoints that accept calls.
type endpointsByService map[config.ServiceName][]*Endpoint

// Pool holds the upstreams that a sender can choose from. It is safe for
// concurrent use.
type Pool struct {
	zone   membership.Zone
	region membership.Region
	view   atomic.Pointer[endpointsByService]

	mu sync.Mutex
	// endpoints holds the endpoints that accept calls, by member, so that an
	// update keeps their state, such as loads and failures.
	endpoints map[membership.NodeID]*Endpoint
	// models holds what was learned of each service.
	models map[config.ServiceName]*serviceModel
}

// NewPool returns an empty pool for a sender in the given zone and region.
func NewPool(zone membership.Zone, region membership.Region) *Pool {
	p := &Pool{zone: zone, region: region, endpoints: make(map[membership.NodeID]*Endpoint), models: make(map[config.ServiceName]*serviceModel)}
	p.view.Store(&endpointsByService{})
	return p
}

// Update replaces the members to choose from. Those that accept no calls or
// have no upstream are excluded.
func (p *Pool) Update(members []membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := make(endpointsByService)
	endpoints := make(map[membership.NodeID]*Endpoint, len(members))
	for _, m := range members {
		if !m.State.AcceptsCalls() || m.Service == "" {
			continue
		}
		e := p.endpointFor(m)
		endpoints[m.ID] = e
		view[m.Service] = append(view[m.Service], e)
	}
	p.endpoints = endpoints
	p.view.Store(&view)
}

// endpointFor returns the known endpoint of a member, or a new one if the
// member changed in a way that affects the choice. The history is kept as long
// as the upstream is the same incarnation and version.
func (p *Pool) endpointFor(m membership.Member) *Endpoint {
	known, ok := p.endpoints[m.ID]
	if ok && sameUpstream(known.Member, m) {
		return known
	}
	learned := &history{model: p.model(m.Service)}
	if ok && known.Member.Incarnation == m.Incarnation && known.Member.Version == m.Version && known.Member.Service == m.Service {
		learned = known.history
	}
	e := &Endpoint{Member: m, Address: m.PeerAddress.String(), Instance: m.Instance(), history: learned}
	switch {
	case m.Zone == p.zone:
	case m.Region == p.region:
		e.penalty, e.distance = _crossZonePenalty, _zoneRoundTrip+_zonePrice
	default:
		e.penalty, e.distance, e.bytePrice = _crossRegionPenalty, _regionRoundTrip+_regionPrice, float64(_regionBytePrice)
	}
	return e
}

// model returns the model of a service. The caller holds p.mu.
func (p *Pool) model(service config.ServiceName) *serviceModel {
	m, ok := p.models[service]
	if !ok {
		m = newServiceModel()
		p.models[service] = m
	}
	return m
}

// sameUpstream reports whether two members are equal in all that affects the
// choice.
func sameUpstream(a, b membership.Member) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.PeerAddress == b.PeerAddress &&
		a.Service == b.Service && a.Version == b.Version && a.Slots == b.Slots && a.Suspected == b.Suspected
}

// CountByVersion returns how many upstreams of each version of a service accept
// calls.
func (p *Pool) CountByVersion(service config.ServiceName) map[config.VersionName]int {
	versions := make(map[config.VersionName]int)
	for _, e := range (*p.view.Load())[service] {
		versions[e.Member.Version]++
	}
	return versions
}

// Choose returns the upstream with the lowest cost among those of the query's
// versions that were not tried; at about equal costs the penalty for distance
// favors the sender's own zone. Ties are broken at random. It returns false if
// there is none.
func (p *Pool) Choose(now time.Time, q Query) (*Endpoint, bool) {
	candidates := eligible(now, subset((*p.view.Load())[q.Service], q.Versions), q)
	if len(candidates) == 0 {
		return nil, false
	}
	if model := candidates[0].model; model.isReporting(now) {
		return chooseByCompletion(now, candidates, model.expectation(q.Route), rand.Float64()), true
	}
	fastEnough := time.Duration(_fastEnoughShare * float64(q.Objective))
	// A random start breaks ties between upstreams of equal cost.
	offset := rand.IntN(len(candidates))
	var best *Endpoint
	var lowest time.Duration
	for i := range candidates {
		e := candidates[(offset+i)%len(candidates)]
		if cost := e.cost(now, fastEnough); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best, true
}

// _similarShare is the share of the lowest expected cost by which that of another
// upstream may exceed it for the two to count as about equal, and
// _minSimilar the least such difference. Senders that know the same reports
// divide their calls among such upstreams in place of all choosing the best. A
// share of 0.05 made owners send four calls elsewhere in place of three.
const (
	_similarShare = 0.2
	_minSimilar   = 2 * time.Millisecond
	// _maxSimilarExcess is the multiple of that difference beyond which an upstream
	// gets no calls.
	_maxSimilarExcess = 5
)

// chooseByCompletion returns one of the upstreams with about the lowest expected
// cost. random is a random number between 0 and 1.
func chooseByCompletion(now time.Time, candidates []*Endpoint, x expectation, random float64) *Endpoint {
	var buffer [64]float64
	costs := buffer[:0]
	lowest := math.Inf(1)
	for _, e := range candidates {
		cost := float64(e.expect(now, x).total())
		lowest = min(lowest, cost)
		costs = append(costs, cost)
	}
	similar := max(_similarShare*lowest, float64(_minSimilar))
	var sum float64
	for i, cost := range costs {
		costs[i] = 0
		if excess := (cost - lowest) / similar; excess < _maxSimilarExcess {
			costs[i] = math.Exp(-excess)
		}
		sum += costs[i]
	}
	point := random * sum
	for i, weight := range costs {
		if point -= weight; point < 0 {
			return candidates[i]
		}
	}
	return candidates[len(candidates)-1]
}

// subset returns the endpoints that receive calls if only a fraction of a
// version's upstreams does. All senders choose the same ones.
func subset(endpoints []*Endpoint, versions config.VersionSet) []*Endpoint {
	if versions.UpstreamFraction == 0 {
		return endpoints
	}
	var chosen []*Endpoint
	for _, e := range endpoints {
		if versions.Allows(e.Member.Version) {
			chosen = append(chosen, e)
		}
	}
	slices.SortFunc(chosen, func(a, b *Endpoint) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	count := max(1, int(versions.UpstreamFraction*float64(len(chosen))))
	return chosen[:min(count, len(chosen))]
}

// eligible returns the endpoints to choose from. Ejected and suspected ones are
// excluded unless they are more than half, so that a sender never ejects all
// upstreams of a version.
func eligible(now time.Time, endpoints []*Endpoint, q Query) []*Endpoint {
	allowed := make([]*Endpoint, 0, len(endpoints))
	healthy := make([]*Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !q.Versions.Allows(e.Member.Version) || contains(q.Tried, e) {
			continue
		}
		allowed = append(allowed, e)
		if !e.ejected(now) && !e.Member.Suspected {
			healthy = append(healthy, e)
		}
	}
	if 2*len(healthy) < len(allowed) || len(healthy) == 0 {
		return allowed
	}
	return healthy
}

func contains(endpoints []*Endpoint, e *Endpoint) bool {
	for _, other := range endpoints {
		if other.Member.ID == e.Member.ID {
			return true
		}
	}
	return false
}
