package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/common/faults"
)

// MaxAttempts is the maximum number of upstreams to which a call is sent,
// whatever its route allows: the default of 3, and 2 that refuse it.
const MaxAttempts = 5

// _minBurst is the time whose calls a burst should cover. A call affects the
// share of calls that nodes admit only after about 0.5 s (half of package
// allotment's repay time), and until then only the burst absorbs it.
const _minBurst = 500 * time.Millisecond

// Review is the result of reviewing a document.
type Review struct {
	// Errors are the faults for which the document would be refused.
	Errors faults.List
	// Warnings concern entries that are accepted but are probably mistakes.
	Warnings faults.List
	// Config is the reviewed configuration; the zero value if there are errors.
	Config Config
}

// ReviewYAML reviews a document that is to replace the configuration current,
// which is nil if it is not known. Without it, services without weights are
// assumed to have shares already. The faults contain no keys or hashes.
func ReviewYAML(document []byte, current *Config) Review {
	raw, err := decodeYAML(document)
	if err != nil {
		return Review{Errors: decodeFaults(err)}
	}
	if current == nil {
		assumed := assumeShares(raw)
		current = &assumed
	}
	c, found := convertYAML(raw, *current)
	review := Review{Errors: found, Warnings: warnings(c)}
	if len(found) == 0 {
		review.Config = c
	}
	return review
}

// decodeFaults returns the error of decodeYAML as faults.
func decodeFaults(err error) faults.List {
	var found faults.List
	if errors.As(err, &found) {
		return found
	}
	fault := faults.FieldError{Field: "document", Problem: err.Error()}
	var syntax *syntaxError
	if errors.As(err, &syntax) {
		fault.Line = syntax.line
	}
	return faults.List{fault}
}

// assumeShares returns a configuration in which each service that the document
// gives no weights has all of its share at its first version.
func assumeShares(raw yamlConfig) Config {
	var c Config
	for _, s := range raw.Services {
		first := slices.IndexFunc(raw.Versions, func(v yamlVersion) bool { return v.Service == s.Name })
		if len(s.Weights) == 0 && first >= 0 {
			weights := []Weight{{Version: VersionName(raw.Versions[first].Name), Share: FullShare}}
			c.Services = append(c.Services, Service{Name: ServiceName(s.Name), Weights: weights})
		}
	}
	return c
}

// warnings returns the entries of a configuration that Check accepts but that
// have no effect or contradict each other.
func warnings(c Config) faults.List {
	var found faults.List
	warnUnusedServices(&found, c)
	warnRoutes(&found, c.Routes)
	warnLimits(&found, c.Limits)
	for _, w := range c.Workspaces {
		warnWorkspace(&found, w)
	}
	return found
}

// warnUnusedServices finds services that no route sends calls to, and the
// versions and policies that have no effect.
func warnUnusedServices(found *faults.List, c Config) {
	routed := routedServices(c.Routes)
	anyVersion := make(map[ServiceName]bool, len(c.Services))
	for _, s := range c.Services {
		anyVersion[s.Name] = s.AnyVersion
		if !routed[s.Name] {
			found.Addf(fmt.Sprintf("services[%s]", s.Name), "no route sends calls to it")
		}
	}
	warn := func(field string, service ServiceName) {
		switch {
		case !routed[service]:
			found.Addf(field, "is not used, as no route sends calls to service %q", service)
		case anyVersion[service]:
			found.Addf(field, "is not used, as service %q has anyVersion", service)
		}
	}
	for _, v := range c.Versions {
		warn(fmt.Sprintf("versions[%s/%s]", v.Service, v.Name), v.Service)
	}
	for _, p := range c.Policies {
		warn(fmt.Sprintf("policies[%s]", p.Service), p.Service)
	}
}

// routedServices returns the services that receive calls of the routes.
func routedServices(routes []Route) map[ServiceName]bool {
	routed := make(map[ServiceName]bool)
	for _, r := range routes {
		if len(r.Backends) == 0 {
			routed[r.Service] = true
		}
		for _, b := range r.Backends {
			if b.Weight > 0 {
				routed[b.Service] = true
			}
		}
	}
	return routed
}

// warnRoutes finds routes that another route leaves a single path, and limits
// that have no effect. A longer prefix is matched first, so that no other route
// can be hidden; Check finds equal ones.
func warnRoutes(found *faults.List, routes []Route) {
	type match struct{ host, prefix string }
	names := make(map[match]RouteName, len(routes))
	for _, r := range routes {
		names[match{r.Host, r.PathPrefix}] = r.Name
	}
	for _, r := range routes {
		field := fmt.Sprintf("routes[%s]", r.Name)
		if other, ok := names[match{r.Host, r.PathPrefix + "/"}]; ok && !strings.HasSuffix(r.PathPrefix, "/") {
			found.Addf(field+".pathPrefix", "matches only the path %s itself, as route %q takes all paths below it", r.PathPrefix, other)
		}
		if r.Objective > r.Timeout {
			found.Addf(field+".objective", "%s is above the route's timeout of %s, at which calls end", r.Objective, r.Timeout)
		}
		if r.Attempts > MaxAttempts {
			found.Addf(field+".attempts", "%d is above %d, the maximum number of upstreams for any call", r.Attempts, MaxAttempts)
		}
	}
}

func warnLimits(found *faults.List, l Limits) {
	if l.BodyBytes > 0 && l.BodyBytes < l.HeaderBytes {
		found.Addf("limits.bodyBytes", "%d is below headerBytes, %d; check whether the two are swapped", l.BodyBytes, l.HeaderBytes)
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		found.Addf("limits.idleTimeout", "%s is below headerTimeout, %s; a connection counts as idle until a request's headers were read, so that it may end first", l.IdleTimeout, l.HeaderTimeout)
	}
}

func warnWorkspace(found *faults.List, w Workspace) {
	field := fmt.Sprintf("workspaces[%s]", w.Name)
	if len(w.KeyHashes) == 0 {
		found.Addf(field+".keys", "has no keys; calls belong to a workspace by its key, so that none belongs to this one")
	}
	if least := w.Rate * _minBurst.Seconds(); w.Rate > 0 && w.Burst < least {
		found.Addf(field+".burst", "%g is below %g, the calls of %s at its ratePerSecond; nodes learn of each other's calls only after about that time, so that calls may be refused below the rate", w.Burst, least, _minBurst)
	}
}

// CountNewKeys returns how many keys of the workspace in the configuration to
// it does not have in from. A missing workspace has no keys.
func CountNewKeys(from, to Config, name WorkspaceName) int {
	known := make(map[KeyHash]bool)
	for _, key := range from.keysOf(name) {
		known[key] = true
	}
	count := 0
	for _, key := range to.keysOf(name) {
		if !known[key] {
			count++
			known[key] = true
		}
	}
	return count
}

func (c Config) keysOf(name WorkspaceName) []KeyHash {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w.KeyHashes
		}
	}
	return nil
}
