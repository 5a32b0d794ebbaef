// Package config holds the domain model of a mesh configuration: services,
// their upstream versions, routes and rollout policies, and the rules that a
// whole configuration must meet before any node may use it.
package config

import (
	"time"
)

// ServiceName identifies a service.
type ServiceName string

// VersionName identifies an upstream version within its service.
type VersionName string

// RouteName identifies a route.
type RouteName string

// Share is a part of a service's calls in basis points.
type Share uint32

// FullShare is the whole of a service's calls, in basis points.
const FullShare Share = 10_000

// SharePerPercent converts per cent to basis points.
const SharePerPercent Share = 100

// Percent returns the share in per cent.
func (s Share) Percent() float64 {
	return float64(s) / float64(SharePerPercent)
}

// Class tells how long a call may wait for a slot of its upstream.
type Class int

// The classes of calls.
const (
	// ClassLookup is for short reads, which are shed early.
	ClassLookup Class = iota + 1
	// ClassCommand is for work that waits longer, such as a print batch.
	ClassCommand
)

// String returns the name of the class as it stands in configuration files.
func (c Class) String() string {
	switch c {
	case ClassLookup:
		return "lookup"
	case ClassCommand:
		return "command"
	default:
		return "unknown"
	}
}

// Weight gives one upstream version its share of a service's calls.
type Weight struct {
	Version VersionName
	Share   Share
}

// VersionSet says which versions of a service a call may go to. The zero value
// allows all.
type VersionSet struct {
	// Only is the one version that is allowed; empty for all but Except.
	Only VersionName
	// Except is a version that is not allowed; empty for none.
	Except VersionName
	// UpstreamFraction is the part of the upstreams of Only that take calls, so that each
	// of them has its usual load when the version has a small share; 0 for all.
	UpstreamFraction float64
}

// Allows reports whether a version may take the call.
func (v VersionSet) Allows(version VersionName) bool {
	return (v.Only == "" || version == v.Only) && (v.Except == "" || version != v.Except)
}

// String returns the set as it stands in logs.
func (v VersionSet) String() string {
	switch {
	case v.Only != "":
		return string(v.Only)
	case v.Except != "":
		return "not " + string(v.Except)
	default:
		return "any"
	}
}

// RolloutRef names the rollout that is moving a service.
type RolloutRef struct {
	ID        string
	Baseline  VersionName
	Candidate VersionName
}

// Service is one service and the shares of its versions.
type Service struct {
	Name ServiceName
	// Weights are sorted by version and add up to FullShare.
	Weights []Weight
	// Rollout is the zero value when no rollout is active.
	Rollout RolloutRef
	// AnyVersion is set for a service whose versions are known only from its
	// upstreams; it has no weights.
	AnyVersion bool
}

// Version is one upstream version of a service.
type Version struct {
	Service ServiceName
	Name    VersionName
}

// Backend gives one service its part of a route's calls.
type Backend struct {
	Service ServiceName
	// Weight is above zero; the parts are in proportion to the weights.
	Weight uint32
}

// Route sends the calls of a host and path prefix to a service.
type Route struct {
	Name RouteName
	// Service takes all calls of a route without backends.
	Service ServiceName
	// Backends divides the calls between services; empty for one service.
	Backends []Backend
	// Host is empty for a route that takes calls for any host.
	Host string
	// PathPrefix begins with a slash.
	PathPrefix string
	Class      Class
	// Timeout is above zero and at most MaxTimeout.
	Timeout time.Duration
	// Idempotent calls may be run more than once whatever their method.
	Idempotent bool
	// Objective is the time within which an answer is of full use to the
	// caller; 0 when the route states none.
	Objective time.Duration
	// Rank orders the routes of a service by urgency; 0 is the most urgent.
	Rank uint32
	// Attempts is how many upstreams a call is sent to at most; 0 for the
	// system's own limit.
	Attempts uint32
}

// Limits bounds what a caller may send and how long it may be idle. A zero
// field leaves the bound to the node.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Policy bounds the rollouts of a service.
type Policy struct {
	Service ServiceName
	// Stages rise strictly and end at FullShare.
	Stages []Share
	// MinDwell is the least time that a stage is observed for.
	MinDwell time.Duration
	// MinStageCalls is the least number of the candidate's calls in a stage.
	MinStageCalls uint64
	// ConvergenceAllowance is the time planned for a stage to be in force.
	ConvergenceAllowance time.Duration
}

// Bounds of a configuration.
const (
	// MaxTimeout is the longest timeout of a route.
	MaxTimeout = 2 * time.Minute
	// MaxServices is the largest number of services.
	MaxServices = 1_000
	// MaxRoutes is the largest number of routes.
	MaxRoutes = 10_000
	// MaxVersionsPerService is the largest number of versions of a service.
	MaxVersionsPerService = 16
	// MaxNameBytes is the longest name of a resource, in bytes.
	MaxNameBytes = 128
)

// DefaultPolicy returns the policy of a service that states none.
func DefaultPolicy(service ServiceName) Policy {
	return Policy{
		Service:              service,
		Stages:               []Share{100, 500, 2_500, 5_000, FullShare},
		MinDwell:             30 * time.Second,
		MinStageCalls:        50,
		ConvergenceAllowance: 13 * time.Second,
	}
}

// Config is a whole configuration. It is not changed after it was built.
type Config struct {
	Services []Service
	Versions []Version
	Routes   []Route
	Policies []Policy
	Limits   Limits
}

// Service returns the service of the given name.
func (c Config) Service(name ServiceName) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// HasVersion reports whether the service has the version.
func (c Config) HasVersion(service ServiceName, version VersionName) bool {
	for _, v := range c.Versions {
		if v.Service == service && v.Name == version {
			return true
		}
	}
	return false
}

// Policy returns the service's policy, or the default one.
func (c Config) Policy(service ServiceName) Policy {
	for _, p := range c.Policies {
		if p.Service == service {
			return p
		}
	}
	return DefaultPolicy(service)
}

// WithService returns a copy of the configuration in which the service of
// the same name is replaced.
func (c Config) WithService(service Service) Config {
	services := make([]Service, 0, len(c.Services))
	for _, s := range c.Services {
		if s.Name == service.Name {
			s = service
		}
		services = append(services, s)
	}
	c.Services = services
	return c
}

// ShareOf returns the version's share of the service's calls.
func (s Service) ShareOf(version VersionName) Share {
	for _, w := range s.Weights {
		if w.Version == version {
			return w.Share
		}
	}
	return 0
}

// Split returns the weights that give the candidate its share and the
// baseline the rest.
func Split(baseline, candidate VersionName, share Share) []Weight {
	weights := []Weight{
		{Version: baseline, Share: FullShare - share},
		{Version: candidate, Share: share},
	}
	if candidate < baseline {
		weights[0], weights[1] = weights[1], weights[0]
	}
	kept := weights[:0]
	for _, w := range weights {
		if w.Share > 0 {
			kept = append(kept, w)
		}
	}
	return kept
}
