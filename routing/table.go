// Package routing chooses where a call goes: its route, the version of its
// service by the shares in force, and the upstream.
package routing

import (
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"lentilferry.example/lentilferry/config"
)

// Target is where a route's calls go.
type Target struct {
	// Route and Service are the configuration's own, which does not change.
	// Service takes the calls of a route without backends.
	Route   *config.Route
	Service *config.Service
	// backends divides the calls between services; empty for one service.
	backends     []backend
	versionSplit *splitter
	// backendSplit divides the calls backendSplit the backends.
	backendSplit *splitter
	// longestTimeout is the longest time, in nanoseconds, that a caller of the route
	// said it waits.
	longestTimeout *atomic.Int64
}

// backend is one service that a route's calls are divided between.
type backend struct {
	service *config.Service
	// upperBound is where the service's part of the unit interval ends.
	upperBound float64
}

// Table matches calls to routes. It is built from one configuration and not
// changed afterwards but for the counters of its splits.
type Table struct {
	// Limits bounds what callers may send.
	Limits config.Limits
	// byHost holds each host's targets, longest path prefix first; the empty
	// host takes the calls that no other host's routes match.
	byHost map[string][]*Target
}

// NewTable returns the table of a checked configuration. Routes whose shares
// are those of the table before keep their place in the split.
func NewTable(c config.Config, before *Table, rnd *rand.Rand) *Table {
	t := &Table{Limits: c.Limits, byHost: make(map[string][]*Target)}
	services := make(map[config.ServiceName]*config.Service, len(c.Services))
	for i := range c.Services {
		services[c.Services[i].Name] = &c.Services[i]
	}
	known := before.targets()
	for i := range c.Routes {
		r := &c.Routes[i]
		target := &Target{Route: r, Service: services[r.Service], backends: newBackends(r, services)}
		if old, ok := known[r.Name]; ok {
			target.versionSplit, target.backendSplit, target.longestTimeout = old.versionSplit, old.backendSplit, old.longestTimeout
		} else {
			target.versionSplit, target.backendSplit, target.longestTimeout = newSplitter(rnd), newSplitter(rnd), new(atomic.Int64)
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], target)
	}
	for _, targets := range t.byHost {
		slices.SortFunc(targets, func(a, b *Target) int {
			return len(b.Route.PathPrefix) - len(a.Route.PathPrefix)
		})
	}
	return t
}

func newBackends(r *config.Route, services map[config.ServiceName]*config.Service) []backend {
	if len(r.Backends) == 0 {
		return nil
	}
	var total, sum float64
	for _, b := range r.Backends {
		total += float64(b.Weight)
	}
	backends := make([]backend, 0, len(r.Backends))
	for _, b := range r.Backends {
		sum += float64(b.Weight)
		backends = append(backends, backend{service: services[b.Service], upperBound: sum / total})
	}
	return backends
}

func (t *Table) targets() map[config.RouteName]*Target {
	known := make(map[config.RouteName]*Target)
	if t == nil {
		return known
	}
	for _, targets := range t.byHost {
		for _, target := range targets {
			known[target.Route.Name] = target
		}
	}
	return known
}

// Match returns the target of a call by its host, with or without a port, and
// its path.
func (t *Table) Match(host, path string) (*Target, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if target, ok := match(t.byHost[strings.ToLower(host)], path); ok {
		return target, true
	}
	return match(t.byHost[""], path)
}

func match(targets []*Target, path string) (*Target, bool) {
	for _, target := range targets {
		if hasPrefix(path, target.Route.PathPrefix) {
			return target, true
		}
	}
	return nil, false
}

// hasPrefix reports whether the path lies under the prefix: /slips covers
// /slips and /slips/7 but not /slipshod.
func hasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// EstimateElapsed returns how long a caller that waits for the given time has waited
// already: what the most patient callers wait longer. A caller that was refused
// and comes back has that much less time.
func (t *Target) EstimateElapsed(left time.Duration) time.Duration {
	for {
		most := t.longestTimeout.Load()
		if int64(left) <= most {
			return time.Duration(most) - left
		}
		if t.longestTimeout.CompareAndSwap(most, int64(left)) {
			return 0
		}
	}
}

// NextService returns the service that the next call on the route goes to.
func (t *Target) NextService() config.Service {
	if len(t.backends) == 0 {
		return *t.Service
	}
	point := t.backendSplit.nextPoint()
	for _, b := range t.backends {
		if point < b.upperBound {
			return *b.service
		}
	}
	return *t.backends[len(t.backends)-1].service
}

// NextPoint returns the next point of the route's sequence in the unit interval, by
// which a call is given to one of two versions.
func (t *Target) NextPoint() float64 {
	return t.versionSplit.nextPoint()
}

// NextVersion returns the version of the service that the next call on the route goes to, empty
// for any. Calls of a version that is excluded go to the rollout's baseline.
func (t *Target) NextVersion(service config.Service, excluded config.VersionName) config.VersionName {
	if len(service.Weights) == 0 {
		return ""
	}
	version := t.versionSplit.nextVersion(service.Weights)
	if version == excluded && service.Rollout.Candidate == excluded {
		return service.Rollout.Baseline
	}
	return version
}

// splitter divides a route's calls by a low-discrepancy sequence, so that the
// shares hold over a few hundred calls and not only over many thousands.
type splitter struct {
	offset float64
	count  atomic.Uint64
}

func newSplitter(rnd *rand.Rand) *splitter {
	return &splitter{offset: rnd.Float64()}
}

// nextPoint returns the next nextPoint of the sequence, from 0 to below 1.
func (s *splitter) nextPoint() float64 {
	n := s.count.Add(1)
	_, point := math.Modf(s.offset + float64(n)*(math.Phi-1))
	return point
}

func (s *splitter) nextVersion(weights []config.Weight) config.VersionName {
	target := config.Share(s.nextPoint() * float64(config.FullShare))
	var sum config.Share
	for _, w := range weights {
		sum += w.Share
		if target < sum {
			return w.Version
		}
	}
	return weights[len(weights)-1].Version
}
