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

	"lentilferry.example/lentilferry/config"
)

// Target is where a route's calls go.
type Target struct {
	Route   config.Route
	Service config.Service
	split   *splitter
}

// Table matches calls to routes. It is built from one configuration and not
// changed afterwards but for the counters of its splits.
type Table struct {
	// byHost holds each host's targets, longest path prefix first; the empty
	// host takes the calls that no other host's routes match.
	byHost map[string][]*Target
}

// NewTable returns the table of a checked configuration. Routes whose shares
// are those of the table before keep their place in the split.
func NewTable(c config.Config, before *Table, rnd *rand.Rand) *Table {
	t := &Table{byHost: make(map[string][]*Target)}
	services := make(map[config.ServiceName]config.Service, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = s
	}
	splits := before.splits()
	for _, r := range c.Routes {
		split, ok := splits[r.Name]
		if !ok {
			split = newSplitter(rnd)
		}
		target := &Target{Route: r, Service: services[r.Service], split: split}
		t.byHost[r.Host] = append(t.byHost[r.Host], target)
	}
	for _, targets := range t.byHost {
		slices.SortFunc(targets, func(a, b *Target) int {
			return len(b.Route.PathPrefix) - len(a.Route.PathPrefix)
		})
	}
	return t
}

func (t *Table) splits() map[config.RouteName]*splitter {
	splits := make(map[config.RouteName]*splitter)
	if t == nil {
		return splits
	}
	for _, targets := range t.byHost {
		for _, target := range targets {
			splits[target.Route.Name] = target.split
		}
	}
	return splits
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

// Version returns the version that the next call on the route goes to. Calls
// of a version that is excluded go to the rollout's baseline.
func (t *Target) Version(excluded config.VersionName) config.VersionName {
	version := t.split.next(t.Service.Weights)
	if version == excluded && t.Service.Rollout.Candidate == excluded {
		return t.Service.Rollout.Baseline
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

func (s *splitter) next(weights []config.Weight) config.VersionName {
	n := s.count.Add(1)
	_, point := math.Modf(s.offset + float64(n)*(math.Phi-1))
	target := config.Share(point * float64(config.FullShare))
	var sum config.Share
	for _, w := range weights {
		sum += w.Share
		if target < sum {
			return w.Version
		}
	}
	return weights[len(weights)-1].Version
}
