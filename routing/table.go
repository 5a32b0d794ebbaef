// Package routing decides where a call goes: its route, the version of the
// service according to the shares in force, and the upstream.
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

// Target is the destination of a route's calls.
type Target struct {
	// Route and Service point into the configuration, which is immutable.
	// Service takes the calls of a route without backends.
	Route   *config.Route
	Service *config.Service
	// backends divides the calls between services; empty for a single service.
	backends []backend
	// versionSplit divides the calls between the versions of a service.
	versionSplit *splitter
	// backendSplit divides the calls between the backends.
	backendSplit *splitter
	// longestTimeout is the longest remaining time, in nanoseconds, that a
	// caller of the route stated.
	longestTimeout *atomic.Int64
}

// backend is one of the services that a route's calls are divided between.
type backend struct {
	service *config.Service
	// upperBound is the end of the service's part of the unit interval.
	upperBound float64
}

// Table matches calls to routes. It is built from one configuration and
// immutable except for the counters of its targets.
type Table struct {
	// Limits bounds what callers may send.
	Limits config.Limits
	// Revision is the number of the configuration; 0 if it is not known.
	Revision uint64
	// workspaces holds the workspace of each key. It points into the
	// configuration, which is immutable.
	workspaces map[config.KeyHash]*config.Workspace
	// workspacesByName holds all workspaces, also those that have no keys.
	workspacesByName map[config.WorkspaceName]*config.Workspace
	// byHost holds the targets of each host, longest path prefix first. The
	// empty host takes the calls that match no route of their own host.
	byHost map[string][]*Target
}

// NewTable returns the table of a valid configuration. Routes that the previous
// table, if any, also has keep their positions in the split sequences and their
// longest timeout.
func NewTable(c config.Config, previous *Table, rnd *rand.Rand) *Table {
	t := &Table{Limits: c.Limits, byHost: make(map[string][]*Target)}
	t.workspaces, t.workspacesByName = newWorkspaces(c.Workspaces)
	services := make(map[config.ServiceName]*config.Service, len(c.Services))
	for i := range c.Services {
		services[c.Services[i].Name] = &c.Services[i]
	}
	known := previous.targets()
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

// newWorkspaces returns the workspaces by their keys and by their names.
func newWorkspaces(workspaces []config.Workspace) (byKey map[config.KeyHash]*config.Workspace, byName map[config.WorkspaceName]*config.Workspace) {
	byKey = make(map[config.KeyHash]*config.Workspace)
	byName = make(map[config.WorkspaceName]*config.Workspace, len(workspaces))
	for i := range workspaces {
		byName[workspaces[i].Name] = &workspaces[i]
		for _, key := range workspaces[i].KeyHashes {
			byKey[key] = &workspaces[i]
		}
	}
	return byKey, byName
}

// HasWorkspaces reports whether calls need a workspace's key, except on public
// routes.
func (t *Table) HasWorkspaces() bool {
	return len(t.workspacesByName) > 0
}

// Workspace returns the workspace of a name. It returns false if there is none.
func (t *Table) Workspace(name config.WorkspaceName) (*config.Workspace, bool) {
	w, ok := t.workspacesByName[name]
	return w, ok
}

// WorkspaceOf returns the workspace of a key, in a time that doesn't depend on
// the number of keys. It returns false if no workspace has the key.
func (t *Table) WorkspaceOf(key config.KeyHash) (*config.Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// newBackends returns the backends of a route with their parts of the unit
// interval, nil if the route has a single service.
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

// targets returns the targets by route name; none for a nil table.
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
// its path. It returns false if no route matches.
func (t *Table) Match(host, path string) (*Target, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if target, ok := match(t.byHost[strings.ToLower(host)], path); ok {
		return target, true
	}
	return match(t.byHost[""], path)
}

// match returns the first target whose path prefix covers the path.
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

// EstimateElapsed estimates how long a caller has already waited from the time
// that it still waits: the difference to the longest time that callers of the
// route stated. A caller that was refused and retries has that much less time
// left.
func (t *Target) EstimateElapsed(remaining time.Duration) time.Duration {
	for {
		longest := t.longestTimeout.Load()
		if int64(remaining) <= longest {
			return time.Duration(longest) - remaining
		}
		if t.longestTimeout.CompareAndSwap(longest, int64(remaining)) {
			return 0
		}
	}
}

// _statedSpread is the share by which the times that callers state for their
// first attempts differ: some callers are less patient than others.
const _statedSpread = 0.2

// EstimateRetryElapsed is like EstimateElapsed, and allows for callers that are
// less patient than others: it returns 0 unless the remaining time is so short
// that the caller must have waited already. Times beyond the route's timeout count
// as the timeout, since a single caller may state any time.
func (t *Target) EstimateRetryElapsed(remaining time.Duration) time.Duration {
	t.EstimateElapsed(remaining)
	longest := min(t.longestTimeout.Load(), int64(t.Route.Timeout))
	least := time.Duration((1 - _statedSpread) * float64(longest))
	return max(0, least-remaining)
}

// NextService returns the service that takes the next call on the route.
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

// NextPoint returns the next point of the route's sequence in the unit
// interval, which decides between two versions for a call.
func (t *Target) NextPoint() float64 {
	return t.versionSplit.nextPoint()
}

// NextVersion returns the version of the service that takes the next call on
// the route, empty for any. Calls of the excluded version go to the baseline if
// it is the candidate of a rollout.
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
// shares are accurate over a few hundred calls and not only over many
// thousands.
type splitter struct {
	offset float64
	count  atomic.Uint64
}

// newSplitter returns a splitter that starts at a random point.
func newSplitter(rnd *rand.Rand) *splitter {
	return &splitter{offset: rnd.Float64()}
}

// nextPoint returns the next point of the sequence, from 0 to below 1. Steps of
// the golden ratio spread the points evenly.
func (s *splitter) nextPoint() float64 {
	n := s.count.Add(1)
	_, point := math.Modf(s.offset + float64(n)*(math.Phi-1))
	return point
}

// nextVersion returns the version whose share covers the next point.
func (s *splitter) nextVersion(weights []config.Weight) config.VersionName {
	point := config.Share(s.nextPoint() * float64(config.FullShare))
	var sum config.Share
	for _, w := range weights {
		sum += w.Share
		if point < sum {
			return w.Version
		}
	}
	return weights[len(weights)-1].Version
}
