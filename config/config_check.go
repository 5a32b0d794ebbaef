package config

import (
	"fmt"
	"strings"

	"lentilferry.example/lentilferry/common/faults"
)

// Check returns all faults of the configuration, or nil if every reference can
// be resolved and every limit is kept.
func Check(c Config) faults.List {
	k := checker{
		config:   c,
		services: make(map[ServiceName]bool, len(c.Services)),
		versions: make(map[Version]bool, len(c.Versions)),
	}
	k.checkNames()
	k.checkServices()
	k.checkRoutes()
	k.checkPolicies()
	k.checkWorkspaces()
	return k.found
}

// checker collects the faults of a configuration.
type checker struct {
	config   Config
	services map[ServiceName]bool
	versions map[Version]bool
	found    faults.List
}

func (k *checker) faultf(field, format string, args ...any) {
	k.found.Addf(field, format, args...)
}

// checkName checks the name of a resource.
func (k *checker) checkName(field, name string) {
	switch {
	case name == "":
		k.faultf(field, "is empty; set a name")
	case len(name) > MaxNameBytes:
		k.faultf(field, "has %d bytes; shorten it to %d or fewer", len(name), MaxNameBytes)
	case strings.ContainsAny(name, "/ \t\r\n\"?#%"):
		k.faultf(field, "%q contains a character that is not allowed in names; use letters, digits, '-', '_' and '.'", name)
	}
}

// checkNames checks the names of services and versions, and collects them so
// that references to them can be checked.
func (k *checker) checkNames() {
	if len(k.config.Services) > MaxServices {
		k.faultf("services", "has %d entries; the maximum is %d", len(k.config.Services), MaxServices)
	}
	for _, s := range k.config.Services {
		field := fmt.Sprintf("services[%s]", s.Name)
		k.checkName(field+".name", string(s.Name))
		if k.services[s.Name] {
			k.faultf(field, "is defined twice; remove one")
		}
		k.services[s.Name] = true
	}
	counts := make(map[ServiceName]int, len(k.config.Services))
	for _, v := range k.config.Versions {
		field := fmt.Sprintf("versions[%s/%s]", v.Service, v.Name)
		k.checkName(field+".name", string(v.Name))
		if k.versions[v] {
			k.faultf(field, "is defined twice; remove one")
		}
		if !k.services[v.Service] {
			k.faultf(field+".service", "service %q does not exist; add it to services or correct the name", v.Service)
		}
		k.versions[v] = true
		counts[v.Service]++
		if counts[v.Service] == MaxVersionsPerService+1 {
			k.faultf(field, "service %q has more than %d versions; remove old ones", v.Service, MaxVersionsPerService)
		}
	}
}

func (k *checker) checkServices() {
	for _, s := range k.config.Services {
		k.checkWeights(s)
	}
}

// checkWeights checks the shares of a service, and that the versions of its
// active rollout still exist.
func (k *checker) checkWeights(s Service) {
	field := fmt.Sprintf("services[%s].weights", s.Name)
	if s.AnyVersion {
		if len(s.Weights) > 0 {
			k.faultf(field, "are set for a service with anyVersion; remove either")
		}
		return
	}
	var sum Share
	seen := make(map[VersionName]bool, len(s.Weights))
	for _, w := range s.Weights {
		if seen[w.Version] {
			k.faultf(field, "names version %q twice; remove one", w.Version)
		}
		seen[w.Version] = true
		if !k.versions[Version{Service: s.Name, Name: w.Version}] {
			k.faultf(field, "version %q does not exist in the service; add it to versions or move its share away first", w.Version)
		}
		if w.Share > FullShare {
			k.faultf(field, "version %q has a share above 100%%; lower it", w.Version)
			return
		}
		sum += w.Share
	}
	for _, v := range []VersionName{s.Rollout.Baseline, s.Rollout.Candidate} {
		if s.Rollout.ID != "" && !k.versions[Version{Service: s.Name, Name: v}] {
			k.faultf(field, "rollout %s needs version %q; keep it until the rollout has ended", s.Rollout.ID, v)
		}
	}
	if sum != FullShare {
		k.faultf(field, "shares add up to %g%%; they must add up to 100%%", sum.Percent())
	}
}

// checkRoutes checks all routes, and that no two match the same host and path
// prefix.
func (k *checker) checkRoutes() {
	if len(k.config.Routes) > MaxRoutes {
		k.faultf("routes", "has %d entries; the maximum is %d", len(k.config.Routes), MaxRoutes)
	}
	type match struct{ host, prefix string }
	names := make(map[RouteName]bool, len(k.config.Routes))
	matches := make(map[match]RouteName, len(k.config.Routes))
	for _, r := range k.config.Routes {
		field := fmt.Sprintf("routes[%s]", r.Name)
		k.checkName(field+".name", string(r.Name))
		if names[r.Name] {
			k.faultf(field, "is defined twice; remove one")
		}
		names[r.Name] = true
		m := match{host: r.Host, prefix: r.PathPrefix}
		if other, ok := matches[m]; ok && other != r.Name {
			k.faultf(field, "has the same host and pathPrefix as route %q; change one", other)
		}
		matches[m] = r.Name
		k.checkRoute(field, r)
	}
}

func (k *checker) checkRoute(field string, r Route) {
	if !k.services[r.Service] {
		k.faultf(field+".service", "service %q does not exist; add it to services or correct the name", r.Service)
	}
	for _, b := range r.Backends {
		if !k.services[b.Service] {
			k.faultf(field+".backends", "service %q does not exist; add it to services or correct the name", b.Service)
		}
		if b.Weight == 0 {
			k.faultf(field+".backends", "service %q has weight 0; use 1 or more, or remove it", b.Service)
		}
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		k.faultf(field+".pathPrefix", "%q does not begin with '/'; add a leading '/'", r.PathPrefix)
	}
	if r.Host != strings.ToLower(r.Host) || strings.ContainsAny(r.Host, "/: ") {
		k.faultf(field+".host", "%q is not a plain host name; use lower case without port or path", r.Host)
	}
	if r.Class != ClassLookup && r.Class != ClassCommand {
		k.faultf(field+".class", "is unknown; use lookup or command")
	}
	if r.Timeout <= 0 || r.Timeout > MaxTimeout {
		k.faultf(field+".timeout", "%s is out of range; use more than 0s and at most %s", r.Timeout, MaxTimeout)
	}
	if r.Objective < 0 {
		k.faultf(field+".objective", "%s is negative; use 0s or more", r.Objective)
	}
}

func (k *checker) checkPolicies() {
	seen := make(map[ServiceName]bool, len(k.config.Policies))
	for _, p := range k.config.Policies {
		field := fmt.Sprintf("policies[%s]", p.Service)
		if seen[p.Service] {
			k.faultf(field, "is defined twice; remove one")
		}
		seen[p.Service] = true
		if !k.services[p.Service] {
			k.faultf(field+".service", "service %q does not exist; add it to services or correct the name", p.Service)
		}
		k.checkPolicy(field, p)
	}
}

func (k *checker) checkPolicy(field string, p Policy) {
	var last Share
	for _, s := range p.Stages {
		if s <= last {
			k.faultf(field+".stages", "do not increase; list the shares in ascending order up to 100")
			break
		}
		last = s
	}
	if last != FullShare {
		k.faultf(field+".stages", "end at %g%%; the last stage must be 100", last.Percent())
	}
	if p.MinDwell <= 0 {
		k.faultf(field+".minDwell", "%s is too short; use more than 0s", p.MinDwell)
	}
	if p.ConvergenceAllowance <= 0 {
		k.faultf(field+".convergenceAllowance", "%s is too short; use more than 0s", p.ConvergenceAllowance)
	}
}
