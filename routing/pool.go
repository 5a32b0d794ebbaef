package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/membership"
)

const (
	// _crossZonePenalty is what the way to another zone of the region counts for:
	// how much longer a call waits in the own zone instead.
	_crossZonePenalty = 60 * time.Millisecond
	// _crossRegionPenalty is the same for another region: the way takes 20 ms and is
	// paid by volume.
	_crossRegionPenalty = 300 * time.Millisecond
)

// _fastEnoughShare is the part of a route's objective within which it does not
// matter how soon an answer is expected: calls of a route differ.
const _fastEnoughShare = 0.4

// Query is what an upstream is chosen for.
type Query struct {
	Service  config.ServiceName
	Versions config.VersionSet
	// Objective is the time within which an answer is of full use; 0 for as
	// soon as possible.
	Objective time.Duration
	// Tried are the upstreams that the call was sent to before.
	Tried []*Endpoint
}

type endpointsByService map[config.ServiceName][]*Endpoint

// Pool holds the upstreams that a sender can choose from.
type Pool struct {
	zone   membership.Zone
	region membership.Region
	view   atomic.Pointer[endpointsByService]

	mu sync.Mutex
	// endpoints holds each known upstream, so that what was learnt of it
	// outlives an update.
	endpoints map[membership.NodeID]*Endpoint
}

// NewPool returns an empty pool for a sender in the given zone.
func NewPool(zone membership.Zone, region membership.Region) *Pool {
	p := &Pool{zone: zone, region: region, endpoints: make(map[membership.NodeID]*Endpoint)}
	p.view.Store(&endpointsByService{})
	return p
}

// Update replaces the members that can be chosen.
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

// endpointFor returns the known endpointFor of a member, or a new one when the
// member was changed in what a choice depends on.
func (p *Pool) endpointFor(m membership.Member) *Endpoint {
	known, ok := p.endpoints[m.ID]
	if ok && sameUpstream(known.Member, m) {
		return known
	}
	e := &Endpoint{Member: m, Address: m.PeerAddress.String(), Owner: m.Instance(), penalty: p.penalty(m)}
	if ok && known.Member.Incarnation == m.Incarnation && known.Member.Version == m.Version {
		e.load, e.reportedAt = known.lastReport()
	}
	return e
}

func (p *Pool) penalty(m membership.Member) time.Duration {
	switch {
	case m.Zone == p.zone:
		return 0
	case m.Region == p.region:
		return _crossZonePenalty
	default:
		return _crossRegionPenalty
	}
}

func sameUpstream(a, b membership.Member) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.PeerAddress == b.PeerAddress &&
		a.Service == b.Service && a.Version == b.Version && a.Slots == b.Slots && a.Suspected == b.Suspected
}

// CountByVersion returns how many upstreams of each version of a service take work.
func (p *Pool) CountByVersion(service config.ServiceName) map[config.VersionName]int {
	versions := make(map[config.VersionName]int)
	for _, e := range (*p.view.Load())[service] {
		versions[e.Member.Version]++
	}
	return versions
}

// Choose returns the upstream of the versions from which an answer is expected
// soonest, in the own zone where that is about the same, and that is not
// among the tried ones. It returns false when there is none.
func (p *Pool) Choose(now time.Time, q Query) (*Endpoint, bool) {
	candidates := eligible(now, subset((*p.view.Load())[q.Service], q.Versions), q)
	comfortable := time.Duration(_fastEnoughShare * float64(q.Objective))
	if len(candidates) == 0 {
		return nil, false
	}
	// Starting at a random place takes any of those that are alike.
	first := rand.IntN(len(candidates))
	var best *Endpoint
	var soonest time.Duration
	for i := range candidates {
		e := candidates[(first+i)%len(candidates)]
		if expected := e.cost(now, comfortable); best == nil || expected < soonest {
			best, soonest = e, expected
		}
	}
	return best, true
}

// subset returns the endpoints that take calls when only a subset of a version's
// upstreams do. All senders take the same ones.
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
	most := max(1, int(versions.UpstreamFraction*float64(len(chosen))))
	return chosen[:min(most, len(chosen))]
}

// eligible returns the endpoints to choose from. Ejected and suspected ones are
// among them only when they are more than half, so that a sender never ejects
// all upstreams of a version.
func eligible(now time.Time, endpoints []*Endpoint, q Query) []*Endpoint {
	usable := make([]*Endpoint, 0, len(endpoints))
	sound := make([]*Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !q.Versions.Allows(e.Member.Version) || contains(q.Tried, e) {
			continue
		}
		usable = append(usable, e)
		if !e.ejected(now) && !e.Member.Suspected {
			sound = append(sound, e)
		}
	}
	if 2*len(sound) < len(usable) || len(sound) == 0 {
		return usable
	}
	return sound
}

func contains(endpoints []*Endpoint, e *Endpoint) bool {
	for _, other := range endpoints {
		if other.Member.ID == e.Member.ID {
			return true
		}
	}
	return false
}
