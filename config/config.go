// Package config defines the model of a mesh configuration, with services,
// their upstream versions, routes and rollout policies, and the rules that a
// configuration must meet before any node may use it.
package config

import (
	"crypto/sha256"
	"time"
)

// ServiceName identifies a service.
type ServiceName string

// VersionName identifies an upstream version within its service.
type VersionName string

// RouteName identifies a route.
type RouteName string

// Share is a fraction of a service's calls, in basis points.
type Share uint32

// FullShare is all of a service's calls, in basis points.
const FullShare Share = 10_000

// SharePerPercent is one percent, in basis points.
const SharePerPercent Share = 100

// Percent returns the share in percent.
func (s Share) Percent() float64 {
	return float64(s) / float64(SharePerPercent)
}

// Class determines how long a call may wait for a slot of its upstream.
type Class int

// The classes of calls.
const (
	// ClassLookup is for short reads, which are shed early under load.
	ClassLookup Class = iota + 1
	// ClassCommand is for work that may wait longer, such as a print batch.
	ClassCommand
)

// String returns the name of the class in configuration files.
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

// Weight assigns a share of a service's calls to one upstream version.
type Weight struct {
	Version VersionName
	Share   Share
}

// VersionSet selects the versions of a service to which a call may be sent. The
// zero value allows all versions.
type VersionSet struct {
	// Only is the one version that is allowed. It is empty if all are allowed,
	// or all but Except.
	Only VersionName
	// Except is a version that is not allowed; empty for none.
	Except VersionName
	// UpstreamFraction is the fraction of the upstreams of Only that receive
	// calls; 0 for all. It gives each of them its usual load while the version
	// has a small share.
	UpstreamFraction float64
}

// Allows reports whether a version may receive the call.
func (v VersionSet) Allows(version VersionName) bool {
	return (v.Only == "" || version == v.Only) && (v.Except == "" || version != v.Except)
}

// String returns the set as it is logged.
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

// RolloutRef identifies the rollout that is shifting the traffic of a service.
type RolloutRef struct {
	ID        string
	Baseline  VersionName
	Candidate VersionName
}

// Service is a service and the shares of its versions.
type Service struct {
	Name ServiceName
	// Weights are sorted by version and add up to FullShare.
	Weights []Weight
	// Rollout is the zero value if no rollout is active.
	Rollout RolloutRef
	// AnyVersion is set if the versions of the service are only known from its
	// upstreams. Such a service has no weights.
	AnyVersion bool
}

// Version is one upstream version of a service.
type Version struct {
	Service ServiceName
	Name    VersionName
}

// Backend assigns a part of a route's calls to one service.
type Backend struct {
	Service ServiceName
	// Weight is above zero. Calls are divided in proportion to the weights.
	Weight uint32
}

// Route sends the calls for a host and path prefix to a service.
type Route struct {
	Name RouteName
	// Service receives all calls of a route without backends.
	Service ServiceName
	// Backends divides the calls between several services; empty for a single
	// one.
	Backends []Backend
	// Host is empty if the route matches any host.
	Host string
	// PathPrefix begins with a slash.
	PathPrefix string
	Class      Class
	// Timeout is above zero and at most MaxTimeout.
	Timeout time.Duration
	// Idempotent allows running calls more than once regardless of their
	// method.
	Idempotent bool
	// Objective is the latency within which an answer is of full use to the
	// caller; 0 if the route sets none.
	Objective time.Duration
	// Rank orders the routes of a service by urgency; 0 is the most urgent.
	Rank uint32
	// Attempts is the maximum number of upstreams to which a call is sent; 0
	// for the system's default limit.
	Attempts uint32
	// Public is set if calls need no key, where the configuration has
	// workspaces.
	Public bool
}

// WorkspaceName identifies a workspace.
type WorkspaceName string

// KeyHash is the SHA-256 hash of a workspace's key. Keys themselves are not
// part of a configuration, so that none can be read from one.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	// A key of the usual length stays on the stack.
	const usualBytes = 128
	var buffer [usualBytes]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

// Workspace is a customer's part of the callers. Its calls carry one of its
// keys.
type Workspace struct {
	Name WorkspaceName
	// KeyHashes are the hashes of the keys in force. No two workspaces share one.
	KeyHashes []KeyHash
	// Rank orders the calls of workspaces by urgency, before the ranks of their
	// routes; 0 is the most urgent.
	Rank uint32
	// Rate is the number of calls a second that the workspace may make, through
	// all nodes together; 0 for no limit.
	Rate float64
	// Burst is how many calls the workspace may make at once beyond Rate; at
	// least 1 where Rate is set.
	Burst float64
}

// Limits bounds the size of requests and the idle time of callers. The node
// sets its own limit for a field that is zero.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Policy sets the limits for the rollouts of a service.
type Policy struct {
	Service ServiceName
	// Stages are the shares of the stages, strictly increasing up to FullShare.
	Stages []Share
	// MinDwell is the minimum time for which a stage is observed.
	MinDwell time.Duration
	// MinStageCalls is the minimum number of calls that the candidate must
	// receive in a stage.
	MinStageCalls uint64
	// ConvergenceAllowance is the time that a plan allows for all nodes to
	// apply a stage.
	ConvergenceAllowance time.Duration
}

// Limits of a configuration.
const (
	// MaxTimeout is the maximum timeout of a route.
	MaxTimeout = 2 * time.Minute
	// MaxServices is the maximum number of services.
	MaxServices = 1_000
	// MaxRoutes is the maximum number of routes.
	MaxRoutes = 10_000
	// MaxVersionsPerService is the maximum number of versions of a service.
	MaxVersionsPerService = 16
	// MaxWorkspaces is the maximum number of workspaces.
	MaxWorkspaces = 10_000
	// MaxNameBytes is the maximum length of a resource name, in bytes.
	MaxNameBytes = 128
)

// DefaultPolicy returns the policy of a service that has none of its own.
func DefaultPolicy(service ServiceName) Policy {
	return Policy{
		Service:              service,
		Stages:               []Share{100, 500, 2_500, 5_000, FullShare},
		MinDwell:             30 * time.Second,
		MinStageCalls:        50,
		ConvergenceAllowance: 13 * time.Second,
	}
}

// Config is a complete configuration. It is immutable.
type Config struct {
	Services []Service
	Versions []Version
	Routes   []Route
	Policies []Policy
	Limits   Limits
	// Workspaces is empty if calls need no keys.
	Workspaces []Workspace
}

// Service returns the service with the given name.
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

// Policy returns the policy of the service, or the default policy.
func (c Config) Policy(service ServiceName) Policy {
	for _, p := range c.Policies {
		if p.Service == service {
			return p
		}
	}
	return DefaultPolicy(service)
}

// WithService returns a copy of the configuration in which the given service
// replaces the one of the same name.
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

// ShareOf returns the share of a version, 0 if it has no weight.
func (s Service) ShareOf(version VersionName) Share {
	for _, w := range s.Weights {
		if w.Version == version {
			return w.Share
		}
	}
	return 0
}

// Split returns the weights that assign the share to the candidate and the rest
// to the baseline, without versions whose share is zero.
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
